package org.mangorack.relay;

import java.time.Duration;
import java.util.List;

/**
 * A route of the fleet's configuration.
 *
 * @param name the name of the route
 * @param host the host that callers name
 * @param prefix the beginning of the paths; ends with a slash
 * @param rule what may be repeated
 * @param timeout how long a caller is kept waiting at most
 * @param maxAttempts how many upstreams one request may be sent to
 * @param rank the urgency; 0 is the highest
 * @param shares the pools that serve the route, with their weights
 * @param retention how long its turns can be continued, or {@code null} if the route
 * keeps no turns
 * @param open whether requests need no key
 * @param sticky whether requests of one object are faster at the same upstream
 */
public record RelayRoute(String name, String host, String prefix, RepeatRule rule, Duration timeout, int maxAttempts,
		int rank, List<Share> shares, Duration retention, boolean open, boolean sticky) {

	/**
	 * Chooses a pool by the weights.
	 * @param point a number in 0..1
	 * @return the name of the pool
	 */
	public String pool(double point) {
		double total = this.shares.stream().mapToDouble(Share::weight).sum();
		double remaining = point * total;
		for (Share s : this.shares) {
			remaining -= s.weight();
			if (remaining < 0) {
				return s.pool();
			}
		}
		return this.shares.get(this.shares.size() - 1).pool();
	}

	/**
	 * Tells whether requests continue earlier turns.
	 * @return {@code true} if turns are kept
	 */
	public boolean keepsTurns() {
		return this.retention != null;
	}

	/**
	 * A pool and its share of a route.
	 *
	 * @param pool the name of the pool
	 * @param weight its share against the others
	 */
	public record Share(String pool, double weight) {
	}

}
