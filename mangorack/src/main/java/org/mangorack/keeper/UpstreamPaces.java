package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangorack.keeper.proto.Load;
import org.mangorack.observe.MonotonicClock;

/**
 * How long the answers of upstreams took lately, over all entries: one entry of a large
 * fleet asks an upstream too seldom to notice that it became slow. Used by one thread.
 */
public final class UpstreamPaces {

	/**
	 * Weight of one answer against those before it: some ten answers make up the average.
	 */
	static final double WEIGHT = 0.15;

	/**
	 * The time in which a pace comes half way back to the usual one without answers, so
	 * that an upstream that is no longer asked gets requests again.
	 */
	static final Duration HALF_LIFE = Duration.ofMillis(2500);

	/**
	 * Paces closer to the usual one are not told.
	 */
	static final double NOTABLE = 0.15;

	private final MonotonicClock clock;

	private final Map<String, Pace> paces = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param clock the clock
	 */
	public UpstreamPaces(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Takes over answers.
	 * @param load the answers of one upstream to one entry
	 */
	public void add(Load load) {
		if (load.getAnswers() == 0) {
			return;
		}
		long now = this.clock.nanoTime();
		double before = pace(load.getUpstream(), now);
		double weight = 1 - Math.pow(1 - WEIGHT, load.getAnswers());
		double mean = load.getPaceSum() / load.getAnswers();
		this.paces.put(load.getUpstream(), new Pace(before + (weight * (mean - before)), now));
	}

	/**
	 * Returns the paces that differ from the usual one.
	 * @return the paces by upstream
	 */
	public Map<String, Double> all() {
		long now = this.clock.nanoTime();
		Map<String, Double> notable = new HashMap<>();
		this.paces.keySet().removeIf((upstream) -> {
			double pace = pace(upstream, now);
			boolean usual = Math.abs(pace - 1) < NOTABLE;
			if (!usual) {
				notable.put(upstream, pace);
			}
			return usual && (now - this.paces.get(upstream).at() > HALF_LIFE.toNanos());
		});
		return notable;
	}

	private double pace(String upstream, long now) {
		Pace known = this.paces.get(upstream);
		return (known != null)
				? (1 + ((known.value() - 1) * Math.pow(0.5, (now - known.at()) / (double) HALF_LIFE.toNanos()))) : 1;
	}

	/**
	 * A pace as it was at a time.
	 *
	 * @param value the multiple of the usual time
	 * @param at when, on the monotonic clock
	 */
	private record Pace(double value, long at) {
	}

}
