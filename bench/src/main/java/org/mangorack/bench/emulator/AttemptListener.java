package org.mangorack.bench.emulator;

/**
 * Hears of an attempt at an upstream.
 */
interface AttemptListener {

	/**
	 * The first event of the answer is there.
	 */
	void firstEvent();

	/**
	 * The attempt has ended. Called once.
	 * @param outcome how it ended
	 */
	void ended(CallOutcome outcome);

	/**
	 * The upstream refused the attempt, and would have begun it now if its queue had no
	 * limit. Called at most once, after {@link #ended}.
	 * @param firstEventNanos the time to its first event from now, in nanoseconds
	 */
	void wouldHaveBegun(long firstEventNanos);

}
