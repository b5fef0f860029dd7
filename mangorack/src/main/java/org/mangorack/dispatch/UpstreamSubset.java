package org.mangorack.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The upstreams that an entry prefers for calls that may go to any of a pool.
 * <p>
 * Answers the load of many entries before many upstreams, where each pair carries so few
 * calls that its connections time out between them. An entry that spreads its calls over
 * a few upstreams reuses its connections. Each upstream is preferred by the same share of
 * the entries on average. Slow and avoided upstreams are replaced by the next ones in the
 * order of the entry, which is stable through restarts.
 */
public final class UpstreamSubset {

	/**
	 * The number of upstreams that an entry prefers. Fewer leave too little choice when
	 * some of them fail or are loaded.
	 */
	static final int SIZE = 5;

	/**
	 * The load of all preferred upstreams from which on an entry uses the whole pool.
	 * Single loaded ones are not replaced by the next ones that are not: under a burst,
	 * all entries would send to the few of those.
	 */
	static final double MAX_LOAD = 0.75;

	/**
	 * The latency ratio from which on an upstream is replaced by the next one: opening a
	 * connection takes less than it is slower.
	 */
	static final double MAX_LATENCY_RATIO = 1.6;

	/**
	 * How much more often upstreams of the own data centre are preferred. Their calls
	 * arrive sooner and cause no traffic between data centres.
	 */
	static final double OWN_DATA_CENTRE_WEIGHT = 2;

	private final String instance;

	private final String dataCentre;

	/**
	 * Creates the subset of an entry.
	 * @param instance the name of the entry
	 * @param dataCentre the data centre of the entry
	 */
	public UpstreamSubset(String instance, String dataCentre) {
		this.instance = instance;
		this.dataCentre = dataCentre;
	}

	/**
	 * Selects the preferred upstreams.
	 * @param <T> the type of the upstreams
	 * @param candidates the available upstreams
	 * @param now the time on the monotonic clock
	 * @return at most {@link #SIZE} of them that are neither slow nor avoided, or all
	 * candidates if there are none or all of them are loaded
	 */
	public <T extends PlacementCandidate> List<T> select(List<T> candidates, long now) {
		List<T> ranked = new ArrayList<>(candidates);
		ranked.removeIf((u) -> (u.latencyRatio() >= MAX_LATENCY_RATIO) || u.isAvoided(now));
		if (ranked.size() > SIZE) {
			Map<String, Double> scores = new HashMap<>();
			ranked.forEach((u) -> scores.put(u.id(), score(u)));
			ranked.sort(Comparator.comparingDouble((T u) -> -scores.get(u.id())));
			ranked = ranked.subList(0, SIZE);
		}
		boolean loaded = ranked.stream().allMatch((u) -> u.load() >= MAX_LOAD);
		return loaded ? candidates : ranked;
	}

	private double score(PlacementCandidate upstream) {
		double weight = upstream.dataCentre().equals(this.dataCentre) ? OWN_DATA_CENTRE_WEIGHT : 1;
		return RendezvousHash.score(this.instance, upstream.id(), weight);
	}

}
