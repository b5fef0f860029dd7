package org.mangorack.dispatch;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.mangorack.observe.MonotonicClock;

/**
 * The schedulers of the pools that belong to a shard. Their state is not journaled: a new
 * owner rebuilds the slots in use from the reports of the instances.
 */
public final class PoolTable {

	private final MonotonicClock clock;

	private final boolean firstOwner;

	private final Map<String, PoolScheduler> pools = new ConcurrentHashMap<>();

	/**
	 * Creates a table without pools.
	 * @param clock the time source
	 * @param firstOwner whether the shard had no previous owner
	 */
	public PoolTable(MonotonicClock clock, boolean firstOwner) {
		this.clock = clock;
		this.firstOwner = firstOwner;
	}

	PoolScheduler pool(String name) {
		return this.pools.computeIfAbsent(name, (n) -> new PoolScheduler(this.clock, this.firstOwner));
	}

	/**
	 * Refuses calls whose deadline has passed, and assigns slots that have become free.
	 * Called at short intervals.
	 */
	public void tick() {
		this.pools.values().forEach(PoolScheduler::tick);
	}

	/**
	 * Cancels all queued calls, because another instance now owns the shard.
	 */
	public void close() {
		List.copyOf(this.pools.values()).forEach(PoolScheduler::close);
	}

}
