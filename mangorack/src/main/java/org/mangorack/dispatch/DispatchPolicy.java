package org.mangorack.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * How the owner of a pool orders its queue and places calls. All but the first serve as
 * baselines for measurements.
 */
public enum DispatchPolicy {

	/**
	 * Workspaces share by engine work; within one, the program that used least goes
	 * first. A call stays with the upstream that caches its history while that pays.
	 */
	FAIR {
		@Override
		List<QueuedCall> order(PoolScheduler pool) {
			return pool.fairOrder();
		}

		@Override
		Optional<PoolUpstream> place(PoolScheduler pool, QueuedCall call, List<PoolUpstream> free) {
			return pool.placeByCache(call, free);
		}
	},

	/** First come, first served; upstreams in turn. */
	ROUND_ROBIN {
		@Override
		Optional<PoolUpstream> place(PoolScheduler pool, QueuedCall call, List<PoolUpstream> free) {
			return free.stream().min(Comparator.comparingLong(PoolUpstream::lastUsed));
		}
	},

	/** First come, first served; the least loaded upstream. */
	LEAST_LOADED {
		@Override
		Optional<PoolUpstream> place(PoolScheduler pool, QueuedCall call, List<PoolUpstream> free) {
			return PoolScheduler.leastLoaded(free);
		}
	},

	/** First come, first served; always the upstream that ran the last turn. */
	STICKY {
		@Override
		Optional<PoolUpstream> place(PoolScheduler pool, QueuedCall call, List<PoolUpstream> free) {
			if (pool.isUsable(call.preferred(), call)) {
				return free.stream().filter((u) -> u.id().value().equals(call.preferred())).findFirst();
			}
			return PoolScheduler.leastLoaded(free);
		}
	};

	/**
	 * Finds a policy by its name in the configuration.
	 * @param text the name, such as {@code fair} or {@code least-loaded}
	 * @return the policy
	 * @throws IllegalArgumentException if there is no such policy
	 */
	public static DispatchPolicy parse(String text) {
		for (DispatchPolicy policy : values()) {
			if (policy.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(text)) {
				return policy;
			}
		}
		throw new IllegalArgumentException("the policy is not fair, round-robin, least-loaded or sticky");
	}

	/**
	 * Orders the queue; first come, first served unless a policy says otherwise.
	 * @param pool the pool
	 * @return the queued calls, the one to be served next first
	 */
	List<QueuedCall> order(PoolScheduler pool) {
		return pool.arrivalOrder();
	}

	/**
	 * Chooses the upstream of a call.
	 * @param pool the pool
	 * @param call the call
	 * @param free the upstreams that may take it now; not empty
	 * @return the upstream, or empty when the call should wait for another one
	 */
	abstract Optional<PoolUpstream> place(PoolScheduler pool, QueuedCall call, List<PoolUpstream> free);

}
