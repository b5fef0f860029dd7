package org.mangorack.relay;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;

/**
 * Logs decisions on requests with a rate limit for each event, and counts the suppressed
 * records. Not thread-safe: used only on the traffic event loop.
 */
final class CallLog {

	/**
	 * The largest number of records of one event in a second. Sufficient for the ordinary
	 * load of an instance.
	 */
	static final int MAX_RECORDS_PER_SECOND = 50;

	/**
	 * One in this many served requests is logged. All instances sample the same ones, by
	 * request id.
	 */
	static final int SERVED_SAMPLING_INTERVAL = 8;

	private final MonotonicClock clock;

	private final Metrics metrics;

	private final Map<Event, Integer> logged = new EnumMap<>(Event.class);

	private final Map<Event, Integer> suppressed = new EnumMap<>(Event.class);

	private long windowStart;

	CallLog(MonotonicClock clock, Metrics metrics) {
		this.clock = clock;
		this.metrics = metrics;
		this.windowStart = clock.nanoTime();
	}

	/**
	 * Logs an event unless its limit for this second is reached.
	 * @param event the event
	 * @param fields alternating names and values
	 */
	void log(Event event, Object... fields) {
		long now = this.clock.nanoTime();
		if (now - this.windowStart > TimeUnit.SECONDS.toNanos(1)) {
			this.windowStart = now;
			this.logged.clear();
			this.suppressed.forEach((e, n) -> EventLog.log(Event.RECORDS_LEFT_OUT, "of", e.number(), "count", n));
			this.suppressed.clear();
		}
		if (this.logged.merge(event, 1, Integer::sum) <= MAX_RECORDS_PER_SECOND) {
			EventLog.log(event, fields);
		}
		else {
			this.suppressed.merge(event, 1, Integer::sum);
			this.metrics.count("mangorack.log.left.out", 1, "event", Integer.toString(event.number()));
		}
	}

	/**
	 * Returns whether a served request is in the sample that is logged.
	 * @param requestId the id of the request
	 * @return {@code true} for the same requests on all instances
	 */
	static boolean isSampled(String requestId) {
		return Math.floorMod(requestId.hashCode(), SERVED_SAMPLING_INTERVAL) == 0;
	}

}
