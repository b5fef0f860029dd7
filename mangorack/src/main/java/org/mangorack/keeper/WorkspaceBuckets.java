package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangorack.keeper.ConfigurationRelay.RateLimit;
import org.mangorack.keeper.proto.Level;
import org.mangorack.keeper.proto.Usage;
import org.mangorack.observe.MonotonicClock;

/**
 * The token buckets of all workspaces at one keeper. What entries admitted is taken off
 * afterwards and may leave a debt. Used by one thread.
 */
final class WorkspaceBuckets {

	private final MonotonicClock clock;

	private final ConfigurationRelay configuration;

	private final Map<String, Bucket> buckets = new HashMap<>();

	private final long startedAt;

	WorkspaceBuckets(MonotonicClock clock, ConfigurationRelay configuration) {
		this.clock = clock;
		this.configuration = configuration;
		this.startedAt = clock.nanoTime();
	}

	/**
	 * Takes off calls that were admitted.
	 * @param usage the calls by workspace
	 */
	void use(List<Usage> usage) {
		usage.forEach((u) -> {
			Bucket bucket = filled(u.getWorkspace());
			if (bucket != null) {
				bucket.calls -= u.getCalls();
			}
		});
	}

	/**
	 * Returns the levels of all limited workspaces that were used.
	 * @return the levels
	 */
	List<Level> levels() {
		List<Level> levels = new ArrayList<>();
		for (String workspace : List.copyOf(this.buckets.keySet())) {
			Bucket bucket = filled(workspace);
			if (bucket != null) {
				levels.add(Level.newBuilder()
					.setWorkspace(workspace)
					.setCalls(bucket.calls)
					.setWarming(bucket.warming(this.clock.nanoTime()))
					.build());
			}
		}
		return levels;
	}

	/**
	 * Takes one call from a bucket.
	 * @param workspace the workspace
	 * @param reserve the calls that must be left
	 * @return zero if it was taken, or the time until one may be there
	 */
	Duration draw(String workspace, double reserve) {
		RateLimit limit = this.configuration.limit(workspace);
		Bucket bucket = filled(workspace);
		if (bucket == null) {
			return Duration.ZERO;
		}
		if (bucket.calls >= 1 + reserve) {
			bucket.calls -= 1;
			return Duration.ZERO;
		}
		return Duration.ofMillis((long) Math.ceil((1 + reserve - bucket.calls) / limit.perSecond() * 1000));
	}

	private Bucket filled(String workspace) {
		RateLimit limit = this.configuration.limit(workspace);
		if (limit == null) {
			this.buckets.remove(workspace);
			return null;
		}
		long now = this.clock.nanoTime();
		Bucket bucket = this.buckets.computeIfAbsent(workspace, (w) -> new Bucket(this.startedAt));
		bucket.fill(now, limit);
		return bucket;
	}

	/**
	 * One bucket. It starts empty, as others may have granted all that it holds.
	 */
	private static final class Bucket {

		private double calls;

		private long filledAt;

		private final long startedAt;

		private double secondsToFill;

		private Bucket(long startedAt) {
			this.startedAt = startedAt;
			this.filledAt = startedAt;
		}

		private void fill(long now, RateLimit limit) {
			double added = (now - this.filledAt) / 1e9 * limit.perSecond();
			this.calls = Math.min(Math.max(1, limit.burst()), this.calls + added);
			this.filledAt = now;
			this.secondsToFill = limit.burst() / limit.perSecond();
		}

		private boolean warming(long now) {
			return (now - this.startedAt) / 1e9 < this.secondsToFill;
		}

	}

}
