package org.mangorack.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Decides which upstream gets a call: the one that is expected to finish it first among a
 * few taken at random.
 * <p>
 * Entries hear of each other's calls only some times a second. If each of them took the
 * best of all upstreams, all would send to the same few until they hear again; of three
 * taken at random the best is nearly as good and differs from entry to entry. This
 * answers bursts in large fleets. Slow and failing upstreams are left aside by their
 * pace, which the entries share. Calls of one object stay with one upstream while that is
 * neither full nor slow.
 *
 * @param <T> how the upstreams are known
 */
public final class UpstreamChoice<T extends UpstreamCandidate> {

	/**
	 * How many upstreams are compared. Two spread the calls better still, but more often
	 * miss the own data centre and have only slow ones to choose from.
	 */
	static final int SAMPLE_SIZE = 3;

	/**
	 * What a call to another data centre costs, as a part of the time of a call: the way
	 * there and back and the price of its bytes.
	 */
	static final double CROSS_DATA_CENTRE_COST = 0.05;

	/**
	 * The load up to which requests of one object stay with one upstream.
	 */
	static final double MAX_STICKY_LOAD = 0.6;

	/**
	 * The pace up to which they do: a slower upstream loses more than its memory of the
	 * object gains.
	 */
	static final double MAX_STICKY_PACE = 1.6;

	private final RandomGenerator random;

	private final String dataCentre;

	/**
	 * Creates the choice of an entry.
	 * @param random the source of randomness
	 * @param dataCentre the data centre of the entry
	 */
	public UpstreamChoice(RandomGenerator random, String dataCentre) {
		this.random = random;
		this.dataCentre = dataCentre;
	}

	/**
	 * Chooses an upstream for a call that concerns an object.
	 * @param candidates the upstreams that may be asked
	 * @param affinity names an object whose calls are better kept together, or
	 * {@code null}
	 * @param now the time on the monotonic clock
	 * @return the choice, or {@code null} if there are no candidates
	 */
	public T choose(List<T> candidates, String affinity, long now) {
		if (affinity != null) {
			T home = home(candidates, affinity);
			if ((home != null) && (home.load() < MAX_STICKY_LOAD) && (home.pace() < MAX_STICKY_PACE)
					&& !home.isAvoided(now)) {
				return home;
			}
		}
		return choose(candidates, now);
	}

	/**
	 * Chooses an upstream.
	 * @param candidates the upstreams that may be asked
	 * @param now the time on the monotonic clock
	 * @return the choice, or {@code null} if there are no candidates
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
	 * Finds the upstream that calls of an object are kept at: the same on every entry
	 * that knows the same upstreams.
	 * @param <U> how the upstreams are known
	 * @param candidates the upstreams that may be asked
	 * @param affinity names the object
	 * @return the upstream, or {@code null} if there are no candidates
	 */
	public static <U extends UpstreamCandidate> U home(List<U> candidates, String affinity) {
		U home = null;
		int highest = Integer.MIN_VALUE;
		for (U u : candidates) {
			int weight = (affinity + "|" + u.id()).hashCode() * 0x9E3779B1;
			if ((home == null) || (weight > highest)) {
				highest = weight;
				home = u;
			}
		}
		return home;
	}

	// The expected time of the call: hardly longer while slots are free, then longer by
	// the calls that wait.
	private double cost(UpstreamCandidate upstream) {
		double load = upstream.load();
		double distance = upstream.dataCentre().equals(this.dataCentre) ? 0 : CROSS_DATA_CENTRE_COST;
		return (upstream.pace() * (1 + (load * load))) + distance;
	}

}
