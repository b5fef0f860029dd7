package org.mangorack.bench.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Collects durations. Thread-safe.
 */
final class Latencies {

	private final List<Double> millis = new ArrayList<>();

	private int failures;

	synchronized void add(long nanos) {
		this.millis.add(nanos / 1e6);
	}

	synchronized void fail() {
		this.failures++;
	}

	synchronized int failures() {
		return this.failures;
	}

	synchronized int count() {
		return this.millis.size();
	}

	/**
	 * Returns a percentile.
	 * @param share the share of durations that are not longer, from 0 to 1
	 * @return the duration in milliseconds
	 */
	synchronized double percentile(double share) {
		if (this.millis.isEmpty()) {
			return Double.NaN;
		}
		List<Double> sorted = new ArrayList<>(this.millis);
		Collections.sort(sorted);
		return sorted.get(Math.min(sorted.size() - 1, (int) (share * sorted.size())));
	}

}
