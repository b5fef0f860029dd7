package org.mangorack.bench.emulator;

/**
 * Receives the events of an attempt to execute a call at an upstream.
 */
interface AttemptListener {

	/**
	 * Called when the first event of the response is sent.
	 */
	void firstEvent();

	/**
	 * Called once, when the attempt has ended.
	 * @param outcome the outcome
	 */
	void ended(CallOutcome outcome);

	/**
	 * Called when a rejected attempt would have started if the queue of the upstream were
	 * unbounded. Called at most once, after {@link #ended}.
	 * @param firstEventNanos the time from now to the first event, in nanoseconds
	 */
	void wouldHaveBegun(long firstEventNanos);

}
