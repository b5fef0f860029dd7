package org.mangorack.limit;

import java.time.Duration;

import org.mangorack.observe.MonotonicClock;

/**
 * The token bucket of a workspace, kept at the owner of the bucket.
 */
final class RateBucket {

	private final MonotonicClock clock;

	private double tokens;

	private long refilledAt;

	RateBucket(MonotonicClock clock, double tokens) {
		this.clock = clock;
		this.tokens = tokens;
		this.refilledAt = clock.nanoTime();
	}

	/**
	 * Refills the bucket for the elapsed time and takes whole tokens from it.
	 * @param maxTokens the maximum number of tokens to take
	 * @param perSecond the refill rate
	 * @param burst the capacity of the bucket
	 * @return the number of tokens taken, at most {@code maxTokens}
	 */
	synchronized int take(int maxTokens, double perSecond, double burst) {
		long now = this.clock.nanoTime();
		this.tokens = Math.min(burst, this.tokens + ((now - this.refilledAt) / 1e9 * perSecond));
		this.refilledAt = now;
		int taken = (int) Math.min(maxTokens, Math.floor(this.tokens));
		this.tokens -= taken;
		return taken;
	}

	/**
	 * Returns the time until the bucket holds a whole token.
	 * @param perSecond the refill rate
	 * @return the time, or zero if the bucket holds a token
	 */
	synchronized Duration timeUntilNextToken(double perSecond) {
		double missing = Math.max(0, 1 - this.tokens);
		return Duration.ofNanos((long) (missing / perSecond * 1e9));
	}

}
