package org.mangorack.relay;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

/**
 * A route of the fleet's configuration.
 *
 * @param name the name of the route
 * @param host the host that callers request
 * @param prefix the path prefix; ends with a slash
 * @param rule whether requests may be retried, and the kind of their response
 * @param timeout the longest time for a request
 * @param maxAttempts the largest number of attempts for a request
 * @param priority the priority; 0 is the highest
 * @param shares the pools that serve the route, with their weights
 * @param retention how long its turns can be continued, or {@code null} if the route
 * stores no turns
 * @param open whether requests need no key
 * @param sticky whether requests that concern one object are faster at the same upstream
 */
public record RelayRoute(String name, String host, String prefix, RetryPolicy rule, Duration timeout, int maxAttempts,
		int priority, List<Share> shares, Duration retention, boolean open, boolean sticky) {

	/**
	 * Selects a pool by the weights.
	 * @param point a number from 0 to 1
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
	 * Returns whether requests can continue earlier turns.
	 * @return {@code true} if turns are stored
	 */
	public boolean storesTurns() {
		return this.retention != null;
	}

	/**
	 * Returns whether a request that was admitted by another version of the route can be
	 * served by this one.
	 * @param admittedBy the version that admitted the request
	 * @param pool the pool that was selected
	 * @return {@code true} if only limits, priorities or weights differ
	 */
	boolean isCompatible(RelayRoute admittedBy, String pool) {
		return (this.rule == admittedBy.rule) && (this.open == admittedBy.open)
				&& Objects.equals(this.retention, admittedBy.retention)
				&& this.shares.stream().anyMatch((s) -> s.pool().equals(pool));
	}

	/**
	 * A pool and its share of a route.
	 *
	 * @param pool the name of the pool
	 * @param weight its weight relative to the others
	 */
	public record Share(String pool, double weight) {
	}

}
