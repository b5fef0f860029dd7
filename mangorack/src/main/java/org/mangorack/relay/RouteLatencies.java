package org.mangorack.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures response times against the moving average of their route. The quotient is the
 * latency ratio of a response. Not thread-safe: used only on the traffic event loop.
 */
public final class RouteLatencies {

	/**
	 * The weight of a response in the moving average, which so covers about thirty
	 * responses.
	 */
	static final double SMOOTHING_FACTOR = 0.05;

	/**
	 * The largest latency ratio that is recorded, so that a single response does not
	 * dominate.
	 */
	static final double MAX_RATIO = 8;

	/**
	 * The latency ratio of a failed attempt: equal to that of the slowest response.
	 */
	static final double FAILURE_RATIO = MAX_RATIO;

	/**
	 * The latency ratio of an attempt that the upstream refused for lack of capacity: it
	 * requires another attempt.
	 */
	static final double REFUSAL_RATIO = 3;

	private static final double MIN_RATIO = 0.2;

	private final Map<String, Double> averageMillis = new HashMap<>();

	/**
	 * Returns the latency ratio of a response and adds it to the moving average.
	 * @param route the name of the route
	 * @param time the time from the request to the response
	 * @return the ratio of the time to the average of the route, within bounds
	 */
	public double latencyRatio(String route, Duration time) {
		double millis = Math.max(1, time.toNanos() / 1e6);
		double average = this.averageMillis.getOrDefault(route, millis);
		double latencyRatio = Math.max(MIN_RATIO, Math.min(MAX_RATIO, millis / average));
		this.averageMillis.put(route, average + (SMOOTHING_FACTOR * ((average * latencyRatio) - average)));
		return latencyRatio;
	}

}
