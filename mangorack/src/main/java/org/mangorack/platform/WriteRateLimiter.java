package org.mangorack.platform;

import java.time.Duration;

import org.mangorack.observe.MonotonicClock;

/**
 * A token bucket that limits the writes of an instance to its share of the platform's
 * write rate.
 */
public final class WriteRateLimiter {

	private final MonotonicClock clock;

	private final double perSecond;

	private final double burst;

	private double tokens;

	private long lastRefillAt;

	/**
	 * Creates a full bucket.
	 * @param clock the time source
	 * @param perSecond the sustained rate in writes per second
	 * @param burst the capacity of the bucket
	 */
	public WriteRateLimiter(MonotonicClock clock, double perSecond, double burst) {
		this.clock = clock;
		this.perSecond = perSecond;
		this.burst = burst;
		this.tokens = burst;
		this.lastRefillAt = clock.nanoTime();
	}

	/**
	 * Takes a token if one is available.
	 * @return zero if a write may be sent now, otherwise the time to wait before the next
	 * attempt
	 */
	public synchronized Duration take() {
		long now = this.clock.nanoTime();
		this.tokens = Math.min(this.burst, this.tokens + (now - this.lastRefillAt) / 1e9 * this.perSecond);
		this.lastRefillAt = now;
		if (this.tokens >= 1) {
			this.tokens -= 1;
			return Duration.ZERO;
		}
		return Duration.ofNanos((long) Math.ceil((1 - this.tokens) / this.perSecond * 1e9));
	}

}
