package org.mangorack.observe;

import java.time.Duration;

/**
 * A monotonic time source. It never goes backwards and is not related to wall-clock time.
 * Tests replace it with a clock that they advance manually.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * The system clock, {@link System#nanoTime()}.
	 */
	MonotonicClock SYSTEM = System::nanoTime;

	/**
	 * Returns the current reading.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanoTime();

	/**
	 * Returns the time elapsed since an earlier reading.
	 * @param since the earlier reading, in nanoseconds
	 * @return the elapsed time
	 */
	default Duration elapsed(long since) {
		return Duration.ofNanos(nanoTime() - since);
	}

}
