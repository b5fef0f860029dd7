package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.mangorack.keeper.ConfigurationRelay.RateLimit;
import org.mangorack.keeper.proto.Draw;
import org.mangorack.keeper.proto.Level;
import org.mangorack.keeper.proto.Usage;
import org.mangorack.observe.MonotonicClock;

/**
 * The token buckets of all workspaces at one keeper. What entries admitted is taken off
 * afterwards and may leave a debt.
 * <p>
 * A program that has begun will make more calls, and refusing one of them wastes all that
 * came before. So while a workspace is near its rate, programs begin only as fast as the
 * rate divided by the calls of a program, which is observed, and those that have begun
 * may overdraw the bucket a little. Used by one thread.
 */
final class WorkspaceBuckets {

	/**
	 * The part of the burst above which programs begin freely.
	 */
	static final double FREE_LEVEL = 0.35;

	/**
	 * The part of the burst that beginnings leave to programs that have begun.
	 */
	static final double BEGUN_RESERVE = 0.1;

	/**
	 * The part of the beginnings that is left to urgent ones.
	 */
	static final double URGENT_RESERVE = 0.15;

	/**
	 * The calls of a program before any were counted; the programs of today's workspaces
	 * make seven to nine.
	 */
	static final double FIRST_CALLS_PER_PROGRAM = 8;

	// Beginnings that may come at once even if the burst is small.
	private static final double MIN_BEGINNINGS = 4;

	// Weight of the first guess, in programs.
	private static final double GUESS_WEIGHT = 10;

	private final MonotonicClock clock;

	private final ConfigurationRelay configuration;

	private final Map<String, Bucket> buckets = new HashMap<>();

	// Workspaces whose buckets may not be nearly full.
	private final Set<String> scarce = new LinkedHashSet<>();

	private long scarceVersion;

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
				take(u.getWorkspace(), bucket, u.getCalls(), u.getBeginnings());
			}
		});
	}

	/**
	 * Returns the levels of all limited workspaces whose buckets are not nearly full.
	 * @return the levels
	 */
	List<Level> levels() {
		// Limits may have been raised, so what was full may not be any more.
		if (this.configuration.version() != this.scarceVersion) {
			this.scarceVersion = this.configuration.version();
			this.scarce.addAll(this.configuration.limitedWorkspaces());
		}
		List<Level> levels = new ArrayList<>();
		this.scarce.removeIf((workspace) -> {
			Bucket bucket = filled(workspace);
			boolean unlisted = (bucket == null) || bucket.isNearlyFull();
			if (!unlisted) {
				levels.add(Level.newBuilder()
					.setWorkspace(workspace)
					.setCalls(bucket.calls)
					.setWarming(bucket.warming(this.clock.nanoTime()))
					.build());
			}
			return unlisted;
		});
		return levels;
	}

	/**
	 * Takes one call from a bucket, or corrects an earlier one.
	 * @param draw the call
	 * @return zero if it was taken, or the time until one may be there
	 */
	Duration draw(Draw draw) {
		Bucket bucket = filled(draw.getWorkspace());
		if (bucket == null) {
			return Duration.ZERO;
		}
		if (draw.getCorrection() != 0) {
			take(draw.getWorkspace(), bucket, draw.getCorrection(), draw.getBeginning() ? draw.getCorrection() : 0);
			return Duration.ZERO;
		}
		Duration wait = bucket.wait(draw);
		if (wait.isZero()) {
			take(draw.getWorkspace(), bucket, 1, draw.getBeginning() ? 1 : 0);
		}
		return wait;
	}

	private void take(String workspace, Bucket bucket, int calls, int beginnings) {
		bucket.take(calls, beginnings);
		this.scarce.add(workspace);
	}

	private Bucket filled(String workspace) {
		RateLimit limit = this.configuration.limit(workspace);
		if (limit == null) {
			this.buckets.remove(workspace);
			return null;
		}
		Bucket bucket = this.buckets.computeIfAbsent(workspace, (w) -> new Bucket(this.startedAt));
		bucket.fill(this.clock.nanoTime(), limit);
		return bucket;
	}

	/**
	 * The bucket of one workspace. It starts empty, as others may have granted all that
	 * it holds.
	 */
	private static final class Bucket {

		private final long startedAt;

		private double calls;

		private double beginnings;

		private double callsCounted = FIRST_CALLS_PER_PROGRAM * GUESS_WEIGHT;

		private double beginningsCounted = GUESS_WEIGHT;

		private long filledAt;

		private RateLimit limit;

		private Bucket(long startedAt) {
			this.startedAt = startedAt;
			this.filledAt = startedAt;
		}

		private void fill(long now, RateLimit present) {
			this.limit = present;
			double added = (now - this.filledAt) / 1e9 * present.perSecond();
			this.calls = Math.min(Math.max(1, present.burst()), this.calls + added);
			this.beginnings = Math.min(maxBeginnings(), this.beginnings + (added / callsPerProgram()));
			this.filledAt = now;
		}

		private double callsPerProgram() {
			return Math.max(1, this.callsCounted / this.beginningsCounted);
		}

		private double maxBeginnings() {
			return Math.max(MIN_BEGINNINGS, this.limit.burst() / callsPerProgram());
		}

		private void take(int taken, int begun) {
			this.calls -= taken;
			this.beginnings -= begun;
			this.callsCounted += taken;
			this.beginningsCounted += begun;
		}

		private Duration wait(Draw draw) {
			if (!draw.getBeginning()) {
				return time(1 - this.limit.reserve() - this.calls);
			}
			if (this.calls >= Math.max(1, this.limit.burst() * FREE_LEVEL)) {
				return Duration.ZERO;
			}
			double neededBeginnings = 1 + (draw.getUrgent() ? 0 : (maxBeginnings() * URGENT_RESERVE));
			Duration forCalls = time(1 + (this.limit.burst() * BEGUN_RESERVE) - this.calls);
			Duration forBeginnings = time((neededBeginnings - this.beginnings) * callsPerProgram());
			return (forCalls.compareTo(forBeginnings) > 0) ? forCalls : forBeginnings;
		}

		private Duration time(double missingCalls) {
			return (missingCalls <= 0) ? Duration.ZERO
					: Duration.ofMillis((long) Math.ceil(missingCalls / this.limit.perSecond() * 1000));
		}

		private boolean isNearlyFull() {
			return this.calls >= this.limit.nearlyFull();
		}

		private boolean warming(long now) {
			return (now - this.startedAt) / 1e9 < this.limit.burst() / this.limit.perSecond();
		}

	}

}
