package org.mangorack.dispatch;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Determines the order in which the owner of a pool serves its queue, and the upstream
 * that each call is sent to. All policies except {@link #FAIR} serve as baselines for
 * measurements.
 */
public enum DispatchPolicy {

	/**
	 * Weighted fair queueing of engine work between workspaces. Within a workspace, the
	 * program that has used the fewest tokens is served first, with ageing. A call waits
	 * for the upstream that caches its history, up to a multiple of the prefill time.
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

	/** First come, first served; the upstream used least recently. */
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

	/**
	 * First come, first served; the upstream that ran the last turn while it is usable,
	 * otherwise the least loaded upstream.
	 */
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
	 * Returns the policy with the given name in the configuration.
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
		throw new IllegalArgumentException(
				"unknown dispatch policy; expected fair, round-robin, least-loaded or sticky");
	}

	/**
	 * Orders the queue. The default is first come, first served.
	 * @param pool the pool
	 * @return the queued calls in the order in which they are to be served
	 */
	List<QueuedCall> order(PoolScheduler pool) {
		return pool.arrivalOrder();
	}

	/**
	 * Selects the upstream for a call.
	 * @param pool the pool
	 * @param call the call
	 * @param free the upstreams that have a free slot and are not excluded; never empty
	 * @return the upstream, or empty if the call should stay queued for another one
	 */
	abstract Optional<PoolUpstream> place(PoolScheduler pool, QueuedCall call, List<PoolUpstream> free);

}
