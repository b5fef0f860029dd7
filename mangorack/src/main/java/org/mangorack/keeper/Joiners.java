package org.mangorack.keeper;

import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.keeper.proto.Member;

/**
 * The disks that a change of the group adds: since which epoch each of them has taken
 * part in the change without a break, and whether it holds all data that a member has to
 * hold. Immutable.
 */
final class Joiners {

	private static final String SINCE_EPOCH = "joinsSince";

	private static final String CAUGHT_UP = "caughtUp";

	private static final String OPEN = "open";

	private static final Joiners NONE = new Joiners(Map.of(), true);

	private final Map<String, Joiner> byDisk;

	private final boolean open;

	private Joiners(Map<String, Joiner> byDisk, boolean open) {
		this.byDisk = byDisk;
		this.open = open;
	}

	static Joiners none() {
		return NONE;
	}

	/**
	 * Reads the joining disks of a change. If nothing is known of one of them, no other
	 * disk may join with it: a keeper that does not tell since when its disk takes part
	 * completes the change by itself.
	 * @param next the next members as {@link #write(Member, ObjectNode)} has amended them
	 * @param view the view of the change
	 * @return the joining disks
	 */
	static Joiners read(JsonNode next, GroupView view) {
		Map<String, Joiner> byDisk = new HashMap<>();
		boolean open = true;
		for (JsonNode item : next) {
			String disk = GroupDocument.member(item).getDisk();
			if (!view.isMember(disk)) {
				open &= item.path(OPEN).asBoolean(false);
				byDisk.put(disk,
						new Joiner(item.path(SINCE_EPOCH).asLong(view.epoch()), item.path(CAUGHT_UP).asBoolean(false)));
			}
		}
		return new Joiners(byDisk, open);
	}

	/**
	 * Adds what is known of a joining disk to its JSON.
	 * @param member the next member
	 * @param json the member in JSON, not changed if it does not join
	 */
	void write(Member member, ObjectNode json) {
		Joiner joiner = this.byDisk.get(member.getDisk());
		if (joiner != null) {
			json.put(SINCE_EPOCH, joiner.sinceEpoch());
			json.put(CAUGHT_UP, joiner.caughtUp());
			json.put(OPEN, this.open);
		}
	}

	// ---- Accessors

	/**
	 * Returns whether other disks may join in the same change.
	 * @return {@code true} if disks join and all of them wait for others
	 */
	boolean isOpen() {
		return this.open && !this.byDisk.isEmpty();
	}

	boolean contains(String disk) {
		return this.byDisk.containsKey(disk);
	}

	/**
	 * Returns since which epoch a disk has taken part in the change.
	 * @param disk a joining disk
	 * @return the epoch
	 */
	long sinceEpoch(String disk) {
		return this.byDisk.get(disk).sinceEpoch();
	}

	boolean isCaughtUp(String disk) {
		return contains(disk) && this.byDisk.get(disk).caughtUp();
	}

	/**
	 * Returns whether the next members may replace the current ones.
	 * @return {@code true} if disks join and all of them hold the data of members
	 */
	boolean areAllCaughtUp() {
		return !this.byDisk.isEmpty() && this.byDisk.values().stream().allMatch(Joiner::caughtUp);
	}

	// ---- Changes

	/**
	 * Adds a disk, or lets it begin anew.
	 * @param disk the disk
	 * @param sinceEpoch the epoch since which it takes part
	 * @return the joining disks with this one
	 */
	Joiners with(String disk, long sinceEpoch) {
		return withJoiner(disk, new Joiner(sinceEpoch, false));
	}

	Joiners withCaughtUp(String disk) {
		return withJoiner(disk, new Joiner(sinceEpoch(disk), true));
	}

	/**
	 * Lets all disks begin anew, without any other one.
	 * @param epoch the epoch since which they take part
	 * @return the joining disks, none of which is caught up
	 */
	Joiners restartedAt(long epoch) {
		Map<String, Joiner> restarted = new HashMap<>();
		this.byDisk.keySet().forEach((disk) -> restarted.put(disk, new Joiner(epoch, false)));
		return new Joiners(restarted, false);
	}

	private Joiners withJoiner(String disk, Joiner joiner) {
		Map<String, Joiner> changed = new HashMap<>(this.byDisk);
		changed.put(disk, joiner);
		return new Joiners(changed, this.open);
	}

	/**
	 * A joining disk.
	 *
	 * @param sinceEpoch the epoch since which it has taken part
	 * @param caughtUp whether it holds all data that a member has to hold
	 */
	private record Joiner(long sinceEpoch, boolean caughtUp) {
	}

}
