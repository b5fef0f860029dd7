package org.mangorack.relay;

import java.time.Duration;

/**
 * Decides for how long an upstream that failed or was full gets no further calls.
 */
final class FailureBackoff {

	/**
	 * How long an upstream is avoided after its second failure in a row; doubles with
	 * each further one.
	 */
	static final Duration FIRST = Duration.ofMillis(400);

	/**
	 * The longest avoidance. One call now and then finds out whether it has recovered.
	 */
	static final Duration LONGEST = Duration.ofSeconds(4);

	/**
	 * How long an upstream that was full gets no further calls.
	 */
	static final Duration FULL_PAUSE = Duration.ofMillis(60);

	private static final int FAILURES_BEFORE = 2;

	private static final int MAX_DOUBLINGS = 8;

	private int failuresInRow;

	private long until;

	/**
	 * Creates the avoidance of an upstream that has not failed yet.
	 * @param now the time on the monotonic clock
	 */
	FailureBackoff(long now) {
		this.until = now;
	}

	/**
	 * Tells whether the upstream is avoided.
	 * @param now the time on the monotonic clock
	 * @return {@code true} if it failed or was full lately
	 */
	boolean isAvoided(long now) {
		return now - this.until < 0;
	}

	int failuresInRow() {
		return this.failuresInRow;
	}

	/**
	 * Notes an answer.
	 */
	void succeeded() {
		this.failuresInRow = 0;
	}

	/**
	 * Notes a failure.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided; zero if it is not yet
	 */
	Duration failed(long now) {
		this.failuresInRow++;
		return (this.failuresInRow >= FAILURES_BEFORE) ? avoid(now) : Duration.ZERO;
	}

	/**
	 * Notes that the upstream cannot be reached.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided
	 */
	Duration unreachable(long now) {
		this.failuresInRow = Math.max(this.failuresInRow + 1, FAILURES_BEFORE);
		return avoid(now);
	}

	/**
	 * Notes that the upstream had no room.
	 * @param now the time on the monotonic clock
	 */
	void full(long now) {
		this.until = Math.max(this.until, now + FULL_PAUSE.toNanos());
	}

	private Duration avoid(long now) {
		int doublings = Math.min(MAX_DOUBLINGS, this.failuresInRow - FAILURES_BEFORE);
		Duration doubled = FIRST.multipliedBy(1L << doublings);
		Duration time = (doubled.compareTo(LONGEST) < 0) ? doubled : LONGEST;
		this.until = Math.max(this.until, now + time.toNanos());
		return time;
	}

}
