package org.mangorack.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures response times against the moving average of their route. The ratio is called
 * the pace of a response. Not thread-safe: used only on the traffic event loop.
 */
public final class RouteLatencies {

	/**
	 * The weight of a response in the moving average, which so covers about thirty
	 * responses.
	 */
	static final double SMOOTHING_FACTOR = 0.05;

	/**
	 * The largest pace that is recorded, so that a single response does not dominate.
	 */
	static final double MAX_PACE = 8;

	/**
	 * The pace of a failed attempt: equal to that of the slowest response.
	 */
	static final double FAILED = MAX_PACE;

	/**
	 * The pace of an attempt that the upstream refused for lack of capacity: it requires
	 * another attempt.
	 */
	static final double FULL = 3;

	private static final double MIN_PACE = 0.2;

	private final Map<String, Double> averageMillis = new HashMap<>();

	/**
	 * Returns the pace of a response and adds it to the moving average.
	 * @param route the name of the route
	 * @param time the time from the request to the response
	 * @return the ratio of the time to the average of the route, within bounds
	 */
	public double pace(String route, Duration time) {
		double millis = Math.max(1, time.toNanos() / 1e6);
		double average = this.averageMillis.getOrDefault(route, millis);
		double pace = Math.max(MIN_PACE, Math.min(MAX_PACE, millis / average));
		this.averageMillis.put(route, average + (SMOOTHING_FACTOR * ((average * pace) - average)));
		return pace;
	}

}
