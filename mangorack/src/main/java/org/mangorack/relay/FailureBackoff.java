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
	static final Duration INITIAL_BACKOFF = Duration.ofMillis(400);

	/**
	 * The longest avoidance. One call now and then finds out whether it has recovered.
	 */
	static final Duration MAX_BACKOFF = Duration.ofSeconds(4);

	/**
	 * How long an upstream that was full gets no further calls.
	 */
	static final Duration FULL_BACKOFF = Duration.ofMillis(60);

	private static final int FAILURE_THRESHOLD = 2;

	private static final int MAX_DOUBLINGS = 8;

	private int consecutiveFailures;

	private long avoidedUntil;

	/**
	 * Creates the avoidance of an upstream that has not failed yet.
	 * @param now the time on the monotonic clock
	 */
	FailureBackoff(long now) {
		this.avoidedUntil = now;
	}

	/**
	 * Tells whether the upstream is avoided.
	 * @param now the time on the monotonic clock
	 * @return {@code true} if it failed or was full lately
	 */
	boolean isAvoided(long now) {
		return now - this.avoidedUntil < 0;
	}

	int consecutiveFailures() {
		return this.consecutiveFailures;
	}

	/**
	 * Notes an answer.
	 */
	void succeeded() {
		this.consecutiveFailures = 0;
	}

	/**
	 * Notes a failure.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided; zero if it is not yet
	 */
	Duration failed(long now) {
		this.consecutiveFailures++;
		return (this.consecutiveFailures >= FAILURE_THRESHOLD) ? avoid(now) : Duration.ZERO;
	}

	/**
	 * Notes that the upstream cannot be reached.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided
	 */
	Duration unreachable(long now) {
		this.consecutiveFailures = Math.max(this.consecutiveFailures + 1, FAILURE_THRESHOLD);
		return avoid(now);
	}

	/**
	 * Notes that the upstream had no room.
	 * @param now the time on the monotonic clock
	 */
	void full(long now) {
		this.avoidedUntil = Math.max(this.avoidedUntil, now + FULL_BACKOFF.toNanos());
	}

	private Duration avoid(long now) {
		int doublings = Math.min(MAX_DOUBLINGS, this.consecutiveFailures - FAILURE_THRESHOLD);
		Duration doubled = INITIAL_BACKOFF.multipliedBy(1L << doublings);
		Duration time = (doubled.compareTo(MAX_BACKOFF) < 0) ? doubled : MAX_BACKOFF;
		this.avoidedUntil = Math.max(this.avoidedUntil, now + time.toNanos());
		return time;
	}

}
