package org.mangorack.limit;

import java.time.Duration;

import org.mangorack.observe.MonotonicClock;

/**
 * The token bucket of a workspace at its owner.
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
	 * Takes tokens.
	 * @param maxTokens the most tokens to take
	 * @param perSecond the rate of the workspace
	 * @param burst the burst of the workspace
	 * @return the whole tokens taken, at most as many as maxTokens
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
	 * Computes when the next token is there.
	 * @param perSecond the rate of the workspace
	 * @return the time until the bucket holds a whole token
	 */
	synchronized Duration timeUntilNextToken(double perSecond) {
		double missing = Math.max(0, 1 - this.tokens);
		return Duration.ofNanos((long) (missing / perSecond * 1e9));
	}

}
