package org.mangorack.bench.emulator;

/**
 * How an attempt at an upstream, or a whole call, ends.
 */
enum CallOutcome {

	/** It was answered in full. */
	ANSWERED(false),

	/** There was no room for it, so it did not run. */
	FULL(true),

	/** It waited until its deadline. */
	EXPIRED(false),

	/** It failed, and may have run. */
	FAILED(false);

	private final boolean notRun;

	CallOutcome(boolean notRun) {
		this.notRun = notRun;
	}

	/**
	 * Tells whether a call may be sent to another upstream.
	 * @param repeatable whether the call may run more than once
	 * @return {@code true} if it may
	 */
	boolean allowsRetry(boolean repeatable) {
		return this.notRun || ((this == FAILED) && repeatable);
	}

}
