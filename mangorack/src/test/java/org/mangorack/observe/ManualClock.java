package org.mangorack.observe;

import java.time.Duration;

/**
 * A clock that only moves when it is advanced.
 */
public final class ManualClock implements MonotonicClock {

	private long now = 1_000_000_000L;

	@Override
	public synchronized long nanoTime() {
		return this.now;
	}

	/**
	 * Advances the clock.
	 * @param time the amount of time
	 */
	public synchronized void advance(Duration time) {
		this.now += time.toNanos();
	}

}
