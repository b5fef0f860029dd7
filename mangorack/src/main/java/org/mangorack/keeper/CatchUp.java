package org.mangorack.keeper;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.mangorack.keeper.proto.ProgramCharges;

/**
 * The progress of a disk that copies the data of members during one change of the group.
 * Not thread-safe.
 */
final class CatchUp {

	private final long epoch;

	private final long startedAt;

	private final Set<String> read = new HashSet<>();

	private final CopiedCharges copiedCharges = new CopiedCharges();

	private int turns;

	private int charges;

	/**
	 * Creates the progress of a change at its start.
	 * @param epoch the epoch of the view that is changing
	 * @param startedAt when the change was first seen, on the monotonic clock
	 */
	CatchUp(long epoch, long startedAt) {
		this.epoch = epoch;
		this.startedAt = startedAt;
	}

	long epoch() {
		return this.epoch;
	}

	long startedAt() {
		return this.startedAt;
	}

	/**
	 * Returns the members that were read after they had adopted the view.
	 * @return their disks
	 */
	Set<String> read() {
		return this.read;
	}

	/**
	 * Returns how many turns were copied and synced.
	 * @return the number of turns
	 */
	int turns() {
		return this.turns;
	}

	/**
	 * Returns how many charges were copied and synced.
	 * @return the number of charges
	 */
	int charges() {
		return this.charges;
	}

	void addRead(String disk) {
		this.read.add(disk);
	}

	void addTurns(int count) {
		this.turns += count;
	}

	/**
	 * Finds the charges that were not copied during this change, or are to be retained
	 * for longer.
	 * @param listed the charges that a member lists
	 * @return those that have to be written, by program
	 */
	List<ProgramCharges> findNewCharges(List<ProgramCharges> listed) {
		return this.copiedCharges.findNew(listed);
	}

	/**
	 * Records charges as copied and synced.
	 * @param copied the charges, by program
	 */
	void addCharges(List<ProgramCharges> copied) {
		copied.forEach(this.copiedCharges::add);
		this.charges += copied.stream().mapToInt(ProgramCharges::getChargeCount).sum();
	}

}
