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
 * pace, which the entries share.
 */
final class UpstreamChoice {

	/**
	 * How many upstreams are compared. Two spread the calls better still, but more often
	 * miss the own data centre and have only slow ones to choose from.
	 */
	static final int COMPARED = 3;

	/**
	 * What a call to another data centre costs, as a part of the time of a call: the way
	 * there and back and the price of its bytes.
	 */
	static final double DISTANCE_COST = 0.05;

	private final RandomGenerator random;

	private final String dataCentre;

	UpstreamChoice(RandomGenerator random, String dataCentre) {
		this.random = random;
		this.dataCentre = dataCentre;
	}

	/**
	 * Chooses an upstream.
	 * @param candidates the upstreams that may be asked
	 * @param now the time on the monotonic clock
	 * @return the choice, or {@code null} if there are no candidates
	 */
	Upstream choose(List<Upstream> candidates, long now) {
		List<Upstream> sound = new ArrayList<>(candidates);
		sound.removeIf((u) -> u.isAvoided(now));
		List<Upstream> rest = sound.isEmpty() ? new ArrayList<>(candidates) : sound;
		Upstream best = null;
		for (int i = 0; (i < COMPARED) && !rest.isEmpty(); i++) {
			Upstream next = rest.remove(this.random.nextInt(rest.size()));
			if ((best == null) || (cost(next) < cost(best))) {
				best = next;
			}
		}
		return best;
	}

	// The expected time of the call: hardly longer while slots are free, then longer by
	// the calls that wait.
	private double cost(Upstream upstream) {
		double load = upstream.load();
		double distance = upstream.entry().dataCentre().equals(this.dataCentre) ? 0 : DISTANCE_COST;
		return (upstream.pace() * (1 + (load * load))) + distance;
	}

}
