package org.mangorack.http;

import java.time.Duration;

/**
 * The times of a graceful stop, each counted from its start. All lie within the grace
 * period, at whose end the process is killed.
 *
 * @param acceptingUntil until when requests are accepted as always, as callers may not
 * know of the stop yet
 * @param callsUntil when calls in progress are ended with a response
 * @param responsesUntil when the process ends, even if responses have not been read
 */
public record StopSchedule(Duration acceptingUntil, Duration callsUntil, Duration responsesUntil) {

	// Shortens the time for new calls if the grace period is short.
	private static final double MAX_LINGER_FRACTION = 0.4;

	private static final double CALLS_FRACTION = 0.93;

	private static final double RESPONSES_FRACTION = 0.97;

	/**
	 * Creates the schedule for a grace period.
	 * @param grace the time after which the process is killed
	 * @param linger how long requests are to be accepted; shortened if the grace period
	 * leaves too little time for them
	 * @return the schedule
	 */
	public static StopSchedule of(Duration grace, Duration linger) {
		return of(grace, linger, Duration.ZERO);
	}

	/**
	 * Creates the schedule of a process that may run late.
	 * @param grace the time after which the process is killed
	 * @param linger how long requests are to be accepted; shortened if the grace period
	 * leaves too little time for them
	 * @param delay how late the process has run recently; its calls are ended earlier by
	 * as much, but not before five sixths of the grace period
	 * @return the schedule
	 */
	public static StopSchedule of(Duration grace, Duration linger, Duration delay) {
		Duration maxLinger = fraction(grace, MAX_LINGER_FRACTION);
		Duration callsUntil = fraction(grace, CALLS_FRACTION).minus(delay);
		Duration earliest = grace.multipliedBy(5).dividedBy(6);
		return new StopSchedule((linger.compareTo(maxLinger) < 0) ? linger : maxLinger,
				(callsUntil.compareTo(earliest) < 0) ? earliest : callsUntil, fraction(grace, RESPONSES_FRACTION));
	}

	/**
	 * Returns until when requests may still be accepted whose duration is not known, so
	 * that they have as much time again.
	 * @return the time, counted from the start of the stop
	 */
	public Duration requestsUntil() {
		return this.callsUntil.dividedBy(2);
	}

	private static Duration fraction(Duration grace, double fraction) {
		return Duration.ofNanos((long) (grace.toNanos() * fraction));
	}

}
