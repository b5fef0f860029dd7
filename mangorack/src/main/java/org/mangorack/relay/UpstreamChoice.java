package org.mangorack.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Selects the upstream for a call: the one with the lowest expected completion time among
 * a small random sample.
 * <p>
 * Entries learn of each other's calls only a few times a second. If each of them selected
 * the best of all upstreams, all would send to the same few until the next update. The
 * best of a random sample of three is nearly as good and differs between entries, which
 * spreads bursts in large fleets. Slow and failing upstreams are avoided by their latency
 * ratio, which the entries share. Calls that concern one object stay with one upstream
 * while that is neither heavily loaded nor slow.
 *
 * @param <T> the type of the upstreams
 */
public final class UpstreamChoice<T extends UpstreamCandidate> {

	/**
	 * The number of upstreams in a sample. A sample of two spreads the calls even better,
	 * but more often has no upstream in the entry's own data centre or only slow ones.
	 */
	static final int SAMPLE_SIZE = 3;

	/**
	 * The cost of a call to another data centre, as a fraction of the time of a call: the
	 * round trip and the price of the traffic.
	 */
	static final double CROSS_DATA_CENTRE_COST = 0.05;

	/**
	 * Requests that concern one object stay with one upstream while its load is below
	 * this.
	 */
	static final double MAX_STICKY_LOAD = 0.6;

	/**
	 * Requests that concern one object stay with one upstream while its latency ratio is
	 * below this. With a slower upstream, the delay outweighs the benefit of its cached
	 * state.
	 */
	static final double MAX_STICKY_LATENCY_RATIO = 1.6;

	private final RandomGenerator random;

	private final String dataCentre;

	/**
	 * Creates the selection for an entry.
	 * @param random the source of randomness
	 * @param dataCentre the data centre of the entry
	 */
	public UpstreamChoice(RandomGenerator random, String dataCentre) {
		this.random = random;
		this.dataCentre = dataCentre;
	}

	/**
	 * Selects an upstream for a call that may concern an object.
	 * @param candidates the available upstreams
	 * @param affinity the affinity key, which identifies the object that the call
	 * concerns, or {@code null}
	 * @param now the time on the monotonic clock
	 * @return the selected upstream, or {@code null} if there are no candidates
	 */
	public T choose(List<T> candidates, String affinity, long now) {
		if (affinity != null) {
			T affinityUpstream = affinityUpstream(candidates, affinity);
			if ((affinityUpstream != null) && (affinityUpstream.load() < MAX_STICKY_LOAD)
					&& (affinityUpstream.latencyRatio() < MAX_STICKY_LATENCY_RATIO)
					&& !affinityUpstream.isAvoided(now)) {
				return affinityUpstream;
			}
		}
		return choose(candidates, now);
	}

	/**
	 * Selects an upstream for a call without affinity.
	 * @param candidates the available upstreams
	 * @param now the time on the monotonic clock
	 * @return the selected upstream, or {@code null} if there are no candidates
	 */
	T choose(List<T> candidates, long now) {
		List<T> available = new ArrayList<>(candidates);
		available.removeIf((u) -> u.isAvoided(now));
		List<T> remaining = available.isEmpty() ? new ArrayList<>(candidates) : available;
		T best = null;
		for (int i = 0; (i < SAMPLE_SIZE) && !remaining.isEmpty(); i++) {
			T next = remaining.remove(this.random.nextInt(remaining.size()));
			if ((best == null) || (cost(next) < cost(best))) {
				best = next;
			}
		}
		return best;
	}

	/**
	 * Returns the preferred upstream for an affinity key, by rendezvous hashing: the same
	 * on every entry that knows the same upstreams.
	 * @param <U> the type of the upstreams
	 * @param candidates the available upstreams
	 * @param affinity the affinity key
	 * @return the upstream, or {@code null} if there are no candidates
	 */
	public static <U extends UpstreamCandidate> U affinityUpstream(List<U> candidates, String affinity) {
		U affinityUpstream = null;
		int highest = Integer.MIN_VALUE;
		for (U u : candidates) {
			int weight = (affinity + "|" + u.id()).hashCode() * 0x9E3779B1;
			if ((affinityUpstream == null) || (weight > highest)) {
				highest = weight;
				affinityUpstream = u;
			}
		}
		return affinityUpstream;
	}

	// The expected time of the call: hardly longer while slots are free, then increasing
	// with the number of queued calls.
	private double cost(UpstreamCandidate upstream) {
		double load = upstream.load();
		double distance = upstream.dataCentre().equals(this.dataCentre) ? 0 : CROSS_DATA_CENTRE_COST;
		return (upstream.latencyRatio() * (1 + (load * load))) + distance;
	}

}
