package org.mangorack.dispatch;

/**
 * A turn that waits for room at the engines of its pool. What it returns may change while
 * it waits, as operators change the configuration.
 */
public interface QueuedTurn {

	/**
	 * Returns the priority.
	 * @return the priority, from 0 for the highest to {@link TurnQueue#LOWEST_PRIORITY}
	 */
	int priority();

	/**
	 * Returns whether the program has had a turn before.
	 * @return {@code false} if the turn begins a program
	 */
	boolean isBegun();

	/**
	 * Returns the workspace.
	 * @return its name
	 */
	String workspace();

	/**
	 * Returns when the program should be finished.
	 * @return the time on the monotonic clock
	 */
	long dueAt();

	/**
	 * Returns the size of the turn.
	 * @return the tokens to read and to generate
	 */
	long workTokens();

}
