package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The turns that a joining disk still lacks, and the members that hold them. The listing
 * of a member is kept until all of it is copied, so that a copy that was interrupted
 * continues where it ended. Not thread-safe.
 */
final class MissingTurns {

	// The disks that hold each turn, by its id, in the order of the listings.
	private final Map<String, Set<String>> holders = new LinkedHashMap<>();

	// The number of missing turns of each member that was listed, by its disk.
	private final Map<String, Integer> counts = new HashMap<>();

	/**
	 * Adds the listing of a member.
	 * @param disk the disk of the member
	 * @param listed the ids of the turns that it holds
	 * @param held the ids of the turns that are synced to this disk
	 */
	void add(String disk, Collection<String> listed, Set<String> held) {
		this.counts.putIfAbsent(disk, 0);
		for (String id : listed) {
			if (!held.contains(id) && this.holders.computeIfAbsent(id, (i) -> new HashSet<>(4)).add(disk)) {
				this.counts.merge(disk, 1, Integer::sum);
			}
		}
	}

	/**
	 * Removes turns that are synced to this disk.
	 * @param held the ids of the turns
	 */
	void removeAll(Collection<String> held) {
		for (String id : held) {
			Set<String> disks = this.holders.remove(id);
			if (disks != null) {
				disks.forEach(this::countDown);
			}
		}
	}

	/**
	 * Records that a member no longer holds a turn. The turn is not missing any more if
	 * no other member holds it.
	 * @param id the id of the turn
	 * @param disk the disk of the member
	 */
	void removeHolder(String id, String disk) {
		Set<String> disks = this.holders.get(id);
		if ((disks != null) && disks.remove(disk)) {
			countDown(disk);
			if (disks.isEmpty()) {
				this.holders.remove(id);
			}
		}
	}

	boolean contains(String id) {
		return this.holders.containsKey(id);
	}

	/**
	 * Returns the members that hold a missing turn.
	 * @param id the id of the turn
	 * @return their disks; empty if the turn is not missing
	 */
	Set<String> holders(String id) {
		return Set.copyOf(this.holders.getOrDefault(id, Set.of()));
	}

	/**
	 * Returns the missing turns that a member holds.
	 * @param disk the disk of the member
	 * @return their ids
	 */
	List<String> heldBy(String disk) {
		List<String> ids = new ArrayList<>(this.counts.getOrDefault(disk, 0));
		this.holders.forEach((id, disks) -> {
			if (disks.contains(disk)) {
				ids.add(id);
			}
		});
		return ids;
	}

	boolean isListed(String disk) {
		return this.counts.containsKey(disk);
	}

	/**
	 * Returns the members of which no turn is missing.
	 * @return the disks of those that were listed
	 */
	Set<String> complete() {
		Set<String> disks = new HashSet<>();
		this.counts.forEach((disk, count) -> {
			if (count == 0) {
				disks.add(disk);
			}
		});
		return disks;
	}

	private void countDown(String disk) {
		this.counts.merge(disk, -1, Integer::sum);
	}

}
