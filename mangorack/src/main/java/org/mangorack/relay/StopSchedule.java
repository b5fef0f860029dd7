package org.mangorack.relay;

import java.time.Duration;

/**
 * The times of a graceful stop, each counted from its start. All lie within the grace
 * period, at whose end the process is killed.
 *
 * @param acceptingUntil when the entry stops accepting connections and requests that may
 * outlast the stop
 * @param callsUntil when calls in progress are ended with a response
 * @param responsesUntil when the process ends, even if responses have not been read
 */
record StopSchedule(Duration acceptingUntil, Duration callsUntil, Duration responsesUntil) {

	/**
	 * How long a stopping entry accepts connections. Some callers cache the list of
	 * addresses for three times its time to live.
	 */
	static final Duration LINGER = Duration.ofMillis(2500);

	// Shortens the time for new calls if the grace period is short.
	private static final double MAX_LINGER_FRACTION = 0.4;

	private static final double CALLS_FRACTION = 0.93;

	private static final double RESPONSES_FRACTION = 0.97;

	/**
	 * Creates the schedule for a grace period.
	 * @param grace the time after which the process is killed
	 * @return the schedule
	 */
	static StopSchedule of(Duration grace) {
		Duration maxLinger = fraction(grace, MAX_LINGER_FRACTION);
		return new StopSchedule((LINGER.compareTo(maxLinger) < 0) ? LINGER : maxLinger, fraction(grace, CALLS_FRACTION),
				fraction(grace, RESPONSES_FRACTION));
	}

	private static Duration fraction(Duration grace, double fraction) {
		return Duration.ofNanos((long) (grace.toNanos() * fraction));
	}

}
