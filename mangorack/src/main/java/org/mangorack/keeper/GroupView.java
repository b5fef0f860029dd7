package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.View;

/**
 * Which disks hold copies, and how many of them have to agree. While the group changes,
 * the old and the new set both have to.
 *
 * @param epoch grows with each change
 * @param members the disks that hold all that they have to
 * @param next the disks after a change under way; empty without one
 * @param tolerance how many disks may be lost at once
 */
public record GroupView(long epoch, List<Member> members, List<Member> next, int tolerance) {

	/**
	 * Returns the view before any is known.
	 * @param tolerance how many disks may be lost at once
	 * @return a view of epoch 0 without members
	 */
	public static GroupView unknown(int tolerance) {
		return new GroupView(0, List.of(), List.of(), tolerance);
	}

	static GroupView of(View view, int tolerance) {
		return new GroupView(view.getEpoch(), view.getMembersList(), view.getNextList(), tolerance);
	}

	View toProto() {
		return View.newBuilder().setEpoch(this.epoch).addAllMembers(this.members).addAllNext(this.next).build();
	}

	// ---- Accessors

	/**
	 * Tells whether a change of the group is under way.
	 * @return {@code true} while two sets have to agree
	 */
	public boolean isChanging() {
		return !this.next.isEmpty();
	}

	/**
	 * Returns the members of both sets.
	 * @return each disk once
	 */
	public List<Member> all() {
		List<Member> all = new ArrayList<>(this.members);
		this.next.stream().filter((m) -> !contains(this.members, m.getDisk())).forEach(all::add);
		return all;
	}

	/**
	 * Tells whether a disk holds all that a member has to hold.
	 * @param disk the disk
	 * @return {@code true} if it belongs to the present members
	 */
	public boolean isMember(String disk) {
		return contains(this.members, disk);
	}

	/**
	 * Tells whether a disk is about to become a member.
	 * @param disk the disk
	 * @return {@code true} if it belongs to the next set
	 */
	public boolean isNext(String disk) {
		return contains(this.next, disk);
	}

	// ---- Quorums

	/**
	 * Tells whether any two sets of disks of which this is true have a member in common.
	 * @param disks the disks that agreed
	 * @return {@code true} if they are a majority
	 */
	public boolean isMajority(Set<String> disks) {
		return (count(this.members, disks) > this.members.size() / 2)
				&& (!isChanging() || (count(this.next, disks) > this.next.size() / 2));
	}

	/**
	 * Tells whether what these disks hold outlives the loss of as many as are tolerated.
	 * @param disks the disks that synced it
	 * @return {@code true} if one more than the tolerated number hold it
	 */
	public boolean isWriteQuorum(Set<String> disks) {
		return (count(this.members, disks) >= copies(this.members))
				&& (!isChanging() || (count(this.next, disks) >= copies(this.next)));
	}

	/**
	 * Tells whether everything durable is held by one of these disks.
	 * @param disks the disks that were asked
	 * @return {@code true} if too few members remain to hold something alone
	 */
	public boolean isReadQuorum(Set<String> disks) {
		return !this.members.isEmpty()
				&& (count(this.members, disks) >= this.members.size() - copies(this.members) + 1);
	}

	private int copies(List<Member> set) {
		return Math.min(this.tolerance + 1, set.size());
	}

	private static int count(List<Member> set, Set<String> disks) {
		return (int) set.stream().filter((m) -> disks.contains(m.getDisk())).count();
	}

	private static boolean contains(Collection<Member> set, String disk) {
		return set.stream().anyMatch((m) -> m.getDisk().equals(disk));
	}

}
