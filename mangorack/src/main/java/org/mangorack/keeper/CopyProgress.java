package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangorack.observe.MonotonicClock;

/**
 * How much other keepers have copied during a change of the group, as seen by one member.
 * Not thread-safe.
 */
final class CopyProgress {

	private final MonotonicClock clock;

	private final Map<String, Observation> byDisk = new HashMap<>();

	CopyProgress(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records what a keeper reports.
	 * @param disk its disk
	 * @param copied a number that grows with what it copies
	 */
	void record(String disk, long copied) {
		Observation known = this.byDisk.get(disk);
		if ((known == null) || (known.copied() != copied)) {
			this.byDisk.put(disk, new Observation(copied, this.clock.nanoTime()));
		}
	}

	/**
	 * Returns how long a keeper has made no progress.
	 * @param disk its disk
	 * @return the time since the number that it reports last changed, or since the first
	 * call if it has reported none
	 */
	Duration timeWithoutProgress(String disk) {
		return this.clock
			.elapsed(this.byDisk.computeIfAbsent(disk, (d) -> new Observation(-1, this.clock.nanoTime())).changedAt());
	}

	/**
	 * Forgets all keepers, because another change has begun.
	 */
	void clear() {
		this.byDisk.clear();
	}

	/**
	 * What a keeper has reported.
	 *
	 * @param copied the number
	 * @param changedAt when it was reported first, on the monotonic clock
	 */
	private record Observation(long copied, long changedAt) {
	}

}
