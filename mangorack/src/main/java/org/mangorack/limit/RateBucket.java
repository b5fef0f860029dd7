package org.mangorack.limit;

import java.time.Duration;

import org.mangorack.observe.MonotonicClock;

/**
 * The token bucket of a workspace at its owner.
 */
final class RateBucket {

	private final MonotonicClock clock;

	private double tokens;

	private long filledAt;

	RateBucket(MonotonicClock clock, double tokens) {
		this.clock = clock;
		this.tokens = tokens;
		this.filledAt = clock.nanoTime();
	}

	/**
	 * Takes tokens.
	 * @param wanted the most tokens to take
	 * @param perSecond the rate of the workspace
	 * @param burst the burst of the workspace
	 * @return the whole tokens taken, at most as many as wanted
	 */
	synchronized int take(int wanted, double perSecond, double burst) {
		long now = this.clock.nanoTime();
		this.tokens = Math.min(burst, this.tokens + ((now - this.filledAt) / 1e9 * perSecond));
		this.filledAt = now;
		int taken = (int) Math.min(wanted, Math.floor(this.tokens));
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
