package org.mangorack.relay;

import java.time.Duration;

/**
 * Decides for how long an upstream that failed or had no free capacity gets no further
 * calls.
 */
final class FailureBackoff {

	/**
	 * The backoff after the second consecutive failure; doubles with each further one.
	 */
	static final Duration INITIAL_BACKOFF = Duration.ofMillis(400);

	/**
	 * The longest backoff. After that, single calls probe whether the upstream has
	 * recovered.
	 */
	static final Duration MAX_BACKOFF = Duration.ofSeconds(4);

	/**
	 * The backoff after an upstream refused a call for lack of capacity.
	 */
	static final Duration CAPACITY_BACKOFF = Duration.ofMillis(60);

	private static final int FAILURE_THRESHOLD = 2;

	private static final int MAX_DOUBLINGS = 8;

	private int consecutiveFailures;

	private long avoidedUntil;

	/**
	 * Creates the backoff of an upstream that has not failed yet.
	 * @param now the time on the monotonic clock
	 */
	FailureBackoff(long now) {
		this.avoidedUntil = now;
	}

	/**
	 * Returns whether the upstream is avoided.
	 * @param now the time on the monotonic clock
	 * @return {@code true} if it recently failed or had no free capacity
	 */
	boolean isAvoided(long now) {
		return now - this.avoidedUntil < 0;
	}

	int consecutiveFailures() {
		return this.consecutiveFailures;
	}

	/**
	 * Records a successful call.
	 */
	void succeeded() {
		this.consecutiveFailures = 0;
	}

	/**
	 * Records a failure.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided; zero while it is below the threshold
	 */
	Duration failed(long now) {
		this.consecutiveFailures++;
		return (this.consecutiveFailures >= FAILURE_THRESHOLD) ? avoid(now) : Duration.ZERO;
	}

	/**
	 * Records that the upstream is unreachable.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided
	 */
	Duration unreachable(long now) {
		this.consecutiveFailures = Math.max(this.consecutiveFailures + 1, FAILURE_THRESHOLD);
		return avoid(now);
	}

	/**
	 * Records that the upstream refused a call for lack of capacity.
	 * @param now the time on the monotonic clock
	 */
	void capacityExceeded(long now) {
		this.avoidedUntil = Math.max(this.avoidedUntil, now + CAPACITY_BACKOFF.toNanos());
	}

	private Duration avoid(long now) {
		int doublings = Math.min(MAX_DOUBLINGS, this.consecutiveFailures - FAILURE_THRESHOLD);
		Duration doubled = INITIAL_BACKOFF.multipliedBy(1L << doublings);
		Duration time = (doubled.compareTo(MAX_BACKOFF) < 0) ? doubled : MAX_BACKOFF;
		this.avoidedUntil = Math.max(this.avoidedUntil, now + time.toNanos());
		return time;
	}

}
