package org.mangorack.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * How long the answers of each route usually take, as a measure for single ones. Used by
 * the thread for traffic only.
 */
public final class RoutePaces {

	/**
	 * Weight of one answer against those before it: some thirty answers make up the
	 * average.
	 */
	static final double SMOOTHING_FACTOR = 0.05;

	/**
	 * The longest pace that counts, so that one answer does not decide alone.
	 */
	static final double MAX_PACE = 8;

	/**
	 * The pace of an attempt that failed: as bad as the slowest answer.
	 */
	static final double FAILED = MAX_PACE;

	/**
	 * The pace of an attempt that the upstream had no room for: it costs another one.
	 */
	static final double FULL = 3;

	private static final double MIN_PACE = 0.2;

	private final Map<String, Double> averageMillis = new HashMap<>();

	/**
	 * Compares an answer with those before it, and counts it among them.
	 * @param route the route
	 * @param time the time from the request to the answer
	 * @return the time as a multiple of the average one, within bounds
	 */
	public double pace(String route, Duration time) {
		double millis = Math.max(1, time.toNanos() / 1e6);
		double average = this.averageMillis.getOrDefault(route, millis);
		double pace = Math.max(MIN_PACE, Math.min(MAX_PACE, millis / average));
		this.averageMillis.put(route, average + (SMOOTHING_FACTOR * ((average * pace) - average)));
		return pace;
	}

}
