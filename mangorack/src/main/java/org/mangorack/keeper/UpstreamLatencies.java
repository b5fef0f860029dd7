package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangorack.keeper.proto.Load;
import org.mangorack.observe.MonotonicClock;

/**
 * The recent response times of upstreams over all entries, since a single entry of a
 * large fleet calls an upstream too rarely to notice that it became slow. A latency ratio
 * is a response time relative to the usual one, as an exponentially weighted moving
 * average. Not thread-safe.
 */
public final class UpstreamLatencies {

	/**
	 * The weight of one response in the moving average, which thus covers some ten
	 * responses.
	 */
	static final double SMOOTHING_FACTOR = 0.15;

	/**
	 * The half-life with which a latency ratio decays to 1 in the absence of responses,
	 * so that an upstream that is avoided gets requests again.
	 */
	static final Duration HALF_LIFE = Duration.ofMillis(2500);

	/**
	 * Latency ratios that differ from 1 by less are not reported.
	 */
	static final double MIN_DEVIATION = 0.15;

	private final MonotonicClock clock;

	private final Map<String, LatencyRatio> latencyRatios = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param clock the time source
	 */
	public UpstreamLatencies(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Adds responses to the averages.
	 * @param load the responses of one upstream to one entry
	 */
	public void add(Load load) {
		if (load.getAnswers() == 0) {
			return;
		}
		long now = this.clock.nanoTime();
		double before = latencyRatio(load.getUpstream(), now);
		double weight = 1 - Math.pow(1 - SMOOTHING_FACTOR, load.getAnswers());
		double mean = load.getPaceSum() / load.getAnswers();
		this.latencyRatios.put(load.getUpstream(), new LatencyRatio(before + (weight * (mean - before)), now));
	}

	/**
	 * Returns the latency ratios that differ noticeably from 1.
	 * @return the latency ratios by upstream
	 */
	public Map<String, Double> all() {
		long now = this.clock.nanoTime();
		Map<String, Double> notable = new HashMap<>();
		this.latencyRatios.keySet().removeIf((upstream) -> {
			double latencyRatio = latencyRatio(upstream, now);
			boolean usual = Math.abs(latencyRatio - 1) < MIN_DEVIATION;
			if (!usual) {
				notable.put(upstream, latencyRatio);
			}
			return usual && (now - this.latencyRatios.get(upstream).at() > HALF_LIFE.toNanos());
		});
		return notable;
	}

	private double latencyRatio(String upstream, long now) {
		LatencyRatio known = this.latencyRatios.get(upstream);
		return (known != null)
				? (1 + ((known.value() - 1) * Math.pow(0.5, (now - known.at()) / (double) HALF_LIFE.toNanos()))) : 1;
	}

	/**
	 * A latency ratio at a point in time.
	 *
	 * @param value the response time as a multiple of the usual one
	 * @param at the time of the last update, on the monotonic clock
	 */
	private record LatencyRatio(double value, long at) {
	}

}
