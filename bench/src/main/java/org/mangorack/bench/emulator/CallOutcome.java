package org.mangorack.bench.emulator;

/**
 * The outcome of an attempt at an upstream or of a whole call.
 */
enum CallOutcome {

	/** The response is complete. */
	ANSWERED(false),

	/** It was rejected for lack of capacity and not executed. */
	FULL(true),

	/** Its deadline passed before the first event. */
	EXPIRED(false),

	/** It failed and may have been executed. */
	FAILED(false);

	private final boolean notRun;

	CallOutcome(boolean notRun) {
		this.notRun = notRun;
	}

	/**
	 * Returns whether a call may be retried at another upstream.
	 * @param repeatable whether the call may be executed more than once
	 * @return {@code true} if a retry is allowed
	 */
	boolean allowsRetry(boolean repeatable) {
		return this.notRun || ((this == FAILED) && repeatable);
	}

}
