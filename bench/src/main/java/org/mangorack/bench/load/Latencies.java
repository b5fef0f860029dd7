package org.mangorack.bench.load;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Collects the latencies of successful calls and counts failed ones. Thread-safe.
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
	 * Returns a percentile of the latencies.
	 * @param share the percentile as a fraction, from 0 to 1
	 * @return the latency in milliseconds, or NaN if there is none
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
