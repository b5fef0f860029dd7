package org.mangorack.keeper;

import java.util.HashSet;
import java.util.Set;

/**
 * The progress of a disk that copies the data of members during one change of the group.
 * Not thread-safe.
 */
final class CatchUp {

	private final long epoch;

	private final long startedAt;

	private final Set<String> read = new HashSet<>();

	private final MissingTurns missing = new MissingTurns();

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

	/**
	 * Returns what this disk lacks of the members that were listed after they had adopted
	 * the view.
	 * @return the turns that are missing
	 */
	MissingTurns missing() {
		return this.missing;
	}

	void addRead(String disk) {
		this.read.add(disk);
	}

	void addTurns(int count) {
		this.turns += count;
	}

	void addCharges(int count) {
		this.charges += count;
	}

}
