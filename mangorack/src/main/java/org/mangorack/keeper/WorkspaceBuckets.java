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
 * The token buckets of all workspaces at one keeper, in which a token is a call. Calls
 * that entries admitted on their own are deducted afterwards and may make the level
 * negative.
 * <p>
 * A running program will make more calls, and refusing one of them wastes all earlier
 * ones. While a workspace is near its rate limit, the rate at which programs may begin is
 * therefore limited to the rate of calls divided by the observed number of calls per
 * program, and running programs may overdraw the bucket a little. Not thread-safe.
 */
final class WorkspaceBuckets {

	/**
	 * The fraction of the burst above which the beginning of programs is not limited.
	 */
	static final double UNRESTRICTED_LEVEL = 0.35;

	/**
	 * The fraction of the burst that is reserved for running programs.
	 */
	static final double RUNNING_RESERVE = 0.1;

	/**
	 * The fraction of the beginnings that is reserved for urgent programs.
	 */
	static final double URGENT_RESERVE = 0.15;

	/**
	 * The assumed calls per program before any are counted; the programs of current
	 * workspaces make seven to nine.
	 */
	static final double INITIAL_CALLS_PER_PROGRAM = 8;

	// The number of programs that may begin at once even if the burst is small.
	private static final double MIN_BEGINNINGS_CAPACITY = 4;

	// The weight of INITIAL_CALLS_PER_PROGRAM in the average, in programs.
	private static final double INITIAL_WEIGHT = 10;

	private final MonotonicClock clock;

	private final ConfigurationRelay configuration;

	private final Map<String, Bucket> buckets = new HashMap<>();

	// The workspaces whose buckets are possibly below the level from which they are not
	// reported.
	private final Set<String> notFull = new LinkedHashSet<>();

	private long notFullVersion;

	private final long startedAt;

	WorkspaceBuckets(MonotonicClock clock, ConfigurationRelay configuration) {
		this.clock = clock;
		this.configuration = configuration;
		this.startedAt = clock.nanoTime();
	}

	/**
	 * Deducts calls that entries admitted.
	 * @param usage the calls by workspace
	 */
	void deduct(List<Usage> usage) {
		usage.forEach((u) -> {
			Bucket bucket = refilled(u.getWorkspace());
			if (bucket != null) {
				take(u.getWorkspace(), bucket, u.getCalls(), u.getBeginnings());
			}
		});
	}

	/**
	 * Returns the levels of all buckets that are not nearly full.
	 * @return the levels
	 */
	List<Level> levels() {
		// A limit may have been raised, so a full bucket may not be full any longer.
		if (this.configuration.version() != this.notFullVersion) {
			this.notFullVersion = this.configuration.version();
			this.notFull.addAll(this.configuration.limitedWorkspaces());
		}
		List<Level> levels = new ArrayList<>();
		this.notFull.removeIf((workspace) -> {
			Bucket bucket = refilled(workspace);
			boolean omitted = (bucket == null) || bucket.isNearlyFull();
			if (!omitted) {
				levels.add(Level.newBuilder()
					.setWorkspace(workspace)
					.setCalls(bucket.calls)
					.setWarming(bucket.warming(this.clock.nanoTime()))
					.build());
			}
			return omitted;
		});
		return levels;
	}

	/**
	 * Takes one call from a bucket, or corrects an earlier decision.
	 * @param draw the call or correction
	 * @return zero if the call was granted, or the time until it may be
	 */
	Duration draw(Draw draw) {
		Bucket bucket = refilled(draw.getWorkspace());
		if (bucket == null) {
			return Duration.ZERO;
		}
		if (draw.getCorrection() != 0) {
			take(draw.getWorkspace(), bucket, draw.getCorrection(), draw.getBeginning() ? draw.getCorrection() : 0);
			return Duration.ZERO;
		}
		Duration wait = bucket.waitTime(draw);
		if (wait.isZero()) {
			take(draw.getWorkspace(), bucket, 1, draw.getBeginning() ? 1 : 0);
		}
		return wait;
	}

	private void take(String workspace, Bucket bucket, int calls, int beginnings) {
		bucket.take(calls, beginnings);
		this.notFull.add(workspace);
	}

	private Bucket refilled(String workspace) {
		RateLimit limit = this.configuration.limit(workspace);
		if (limit == null) {
			this.buckets.remove(workspace);
			return null;
		}
		Bucket bucket = this.buckets.computeIfAbsent(workspace, (w) -> new Bucket(this.startedAt));
		bucket.refill(this.clock.nanoTime(), limit);
		return bucket;
	}

	/**
	 * The bucket of one workspace. It starts empty, since other keepers may have granted
	 * all of its calls.
	 */
	private static final class Bucket {

		private final long startedAt;

		private double calls;

		private double beginnings;

		private double callsCounted = INITIAL_CALLS_PER_PROGRAM * INITIAL_WEIGHT;

		private double beginningsCounted = INITIAL_WEIGHT;

		private long refilledAt;

		private RateLimit limit;

		private Bucket(long startedAt) {
			this.startedAt = startedAt;
			this.refilledAt = startedAt;
		}

		private void refill(long now, RateLimit current) {
			this.limit = current;
			double added = (now - this.refilledAt) / 1e9 * current.perSecond();
			this.calls = Math.min(Math.max(1, current.burst()), this.calls + added);
			this.beginnings = Math.min(maxBeginnings(), this.beginnings + (added / callsPerProgram()));
			this.refilledAt = now;
		}

		private double callsPerProgram() {
			return Math.max(1, this.callsCounted / this.beginningsCounted);
		}

		private double maxBeginnings() {
			return Math.max(MIN_BEGINNINGS_CAPACITY, this.limit.burst() / callsPerProgram());
		}

		private void take(int taken, int begun) {
			this.calls -= taken;
			this.beginnings -= begun;
			this.callsCounted += taken;
			this.beginningsCounted += begun;
		}

		private Duration waitTime(Draw draw) {
			if (!draw.getBeginning()) {
				return refillTime(1 - this.limit.overdraft() - this.calls);
			}
			if (this.calls >= Math.max(1, this.limit.burst() * UNRESTRICTED_LEVEL)) {
				return Duration.ZERO;
			}
			double neededBeginnings = 1 + (draw.getUrgent() ? 0 : (maxBeginnings() * URGENT_RESERVE));
			Duration forCalls = refillTime(1 + (this.limit.burst() * RUNNING_RESERVE) - this.calls);
			Duration forBeginnings = refillTime((neededBeginnings - this.beginnings) * callsPerProgram());
			return (forCalls.compareTo(forBeginnings) > 0) ? forCalls : forBeginnings;
		}

		private Duration refillTime(double missingCalls) {
			return (missingCalls <= 0) ? Duration.ZERO
					: Duration.ofMillis((long) Math.ceil(missingCalls / this.limit.perSecond() * 1000));
		}

		private boolean isNearlyFull() {
			return this.calls >= this.limit.nearlyFullLevel();
		}

		private boolean warming(long now) {
			return (now - this.startedAt) / 1e9 < this.limit.burst() / this.limit.perSecond();
		}

	}

}
