package org.mangorack.observe;

import java.time.Duration;

/**
 * The time source of the runtime. It never goes back and is not related to the time of
 * day. Tests replace it by one that they pause and advance.
 */
@FunctionalInterface
public interface MonotonicClock {

	/**
	 * The clock of the Java runtime.
	 */
	MonotonicClock SYSTEM = System::nanoTime;

	/**
	 * Returns the current reading.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanoTime();

	/**
	 * Returns the time passed since an earlier reading.
	 * @param since the earlier reading, in nanoseconds
	 * @return the time passed
	 */
	default Duration elapsed(long since) {
		return Duration.ofNanos(nanoTime() - since);
	}

}
