package org.mangorack.keeper;

import java.util.concurrent.TimeUnit;

import org.mangorack.observe.MonotonicClock;

/**
 * The time for which the log of a keeper has been in use, summed over all starts of the
 * keeper. It is restored from the entries of the log, so it stands still from the last
 * entry of a start to the next start, and is never ahead of the time that has passed.
 */
final class RunningTime {

	private final MonotonicClock clock;

	private long offsetMillis;

	/**
	 * Creates the time of an empty log.
	 * @param clock the time source
	 */
	RunningTime(MonotonicClock clock) {
		this.clock = clock;
		// The time of an entry is above 0, which stands for an unknown one.
		this.offsetMillis = 1 - clockMillis();
	}

	/**
	 * Returns the running time.
	 * @return the time in milliseconds, above 0
	 */
	long now() {
		return this.offsetMillis + clockMillis();
	}

	/**
	 * Continues from an entry that an earlier start wrote.
	 * @param entryMillis the running time of the entry in milliseconds, or 0 if it is
	 * unknown
	 * @return the running time of the entry, or the present one if it is unknown
	 */
	long restore(long entryMillis) {
		if (entryMillis <= 0) {
			return now();
		}
		this.offsetMillis += Math.max(0, entryMillis - now());
		return entryMillis;
	}

	private long clockMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.clock.nanoTime());
	}

}
