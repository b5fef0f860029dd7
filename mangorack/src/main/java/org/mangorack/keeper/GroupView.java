package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;

import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.View;

/**
 * The membership of the keeper group and its quorums. While a change of the group is in
 * progress, writes need a quorum of both the current and the next members.
 *
 * @param epoch the version of the view, incremented by each change
 * @param members the current members, whose disks hold all data that a member has to hold
 * @param next the members after the change in progress; empty if there is none
 * @param tolerance how many disks may be lost at once
 */
public record GroupView(long epoch, List<Member> members, List<Member> next, int tolerance) {

	/**
	 * Returns the initial view, in use until the view of the group is known.
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
	 * Returns whether a change of the group is in progress.
	 * @return {@code true} while quorums of both sets are required
	 */
	public boolean isChanging() {
		return !this.next.isEmpty();
	}

	/**
	 * Returns the current and the next members.
	 * @return the members of both sets, each disk once
	 */
	public List<Member> all() {
		List<Member> all = new ArrayList<>(this.members);
		this.next.stream().filter((m) -> !contains(this.members, m.getDisk())).forEach(all::add);
		return all;
	}

	/**
	 * Returns whether a disk belongs to a current member, which holds all data that a
	 * member has to hold.
	 * @param disk the disk
	 * @return {@code true} if it belongs to the current members
	 */
	public boolean isMember(String disk) {
		return contains(this.members, disk);
	}

	/**
	 * Returns whether a disk belongs to the members after the change in progress.
	 * @param disk the disk
	 * @return {@code true} if it belongs to the next members
	 */
	public boolean isNext(String disk) {
		return contains(this.next, disk);
	}

	// ---- Quorums

	/**
	 * Returns whether disks form a majority. Any two majorities have a member in common.
	 * @param disks the disks that agreed
	 * @return {@code true} if they are a majority of each set
	 */
	public boolean isMajority(Set<String> disks) {
		return (count(this.members, disks) > this.members.size() / 2)
				&& (!isChanging() || (count(this.next, disks) > this.next.size() / 2));
	}

	/**
	 * Returns whether data that these disks hold survives the loss of as many disks as
	 * are tolerated.
	 * @param disks the disks that synced the data
	 * @return {@code true} if at least one more disk of each set than the tolerated
	 * number holds it, which no disks of a smaller set do
	 */
	public boolean isWriteQuorum(Set<String> disks) {
		return (count(this.members, disks) > this.tolerance)
				&& (!isChanging() || (count(this.next, disks) > this.tolerance));
	}

	/**
	 * Returns whether the group has enough members for a write quorum.
	 * @return {@code true} if each set has more members than disks may be lost
	 */
	public boolean canConfirmTurns() {
		return (this.members.size() > this.tolerance) && (!isChanging() || (this.next.size() > this.tolerance));
	}

	/**
	 * Returns whether a read from these disks finds all data that a write quorum holds.
	 * Only current members count, as a joining disk may not hold older data yet.
	 * @param disks the disks that were read from
	 * @return {@code true} if the remaining members are too few for a write quorum, and
	 * at least one member was read from
	 */
	public boolean isReadQuorum(Set<String> disks) {
		return count(this.members, disks) >= readers(this.members);
	}

	/**
	 * Returns whether data that none of these disks holds was never confirmed. While the
	 * group changes, the next members may already have replaced the current ones and
	 * confirmed data without the members that leave.
	 * @param disks the disks of current members that lack the data
	 * @return {@code true} if the remaining disks of either set are too few for a write
	 * quorum
	 */
	public boolean isAbsenceQuorum(Set<String> disks) {
		return isReadQuorum(disks) && (!isChanging() || (count(this.next, disks) >= readers(this.next)));
	}

	private int readers(List<Member> set) {
		return Math.max(1, set.size() - this.tolerance);
	}

	private static int count(List<Member> set, Set<String> disks) {
		return (int) set.stream().filter((m) -> disks.contains(m.getDisk())).count();
	}

	private static boolean contains(Collection<Member> set, String disk) {
		return set.stream().anyMatch((m) -> m.getDisk().equals(disk));
	}

}
