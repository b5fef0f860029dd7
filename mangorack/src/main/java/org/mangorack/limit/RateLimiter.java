package org.mangorack.limit;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;

import org.mangorack.call.Refusal;
import org.mangorack.call.Verdict;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Workspace;
import org.mangorack.limit.BucketTable.Grant;
import org.mangorack.observe.MonotonicClock;

/**
 * Limits the call rates of workspaces by grants that are requested from the owners of
 * their token buckets. A grant covers several calls, according to the recent call rate,
 * and expires after a short lifetime, measured from before the request was sent. Unused
 * calls of a grant are never returned to the bucket, so that no call is counted twice.
 */
public final class RateLimiter {

	private static final Duration GRANT_LIFETIME = Duration.ofMillis(400);

	private static final Duration PREFETCH_INTERVAL = Duration.ofMillis(100);

	private static final Duration OWNER_RETRY_INTERVAL = Duration.ofMillis(50);

	private static final Duration OWNER_TIMEOUT = Duration.ofSeconds(8);

	private final GrantSource source;

	private final MonotonicClock clock;

	private final Duration maxWait;

	private final Map<WorkspaceId, WorkspaceGrants> grantsByWorkspace = new ConcurrentHashMap<>();

	/**
	 * Creates a limiter without grants.
	 * @param source requests grants from the owners of buckets
	 * @param clock the time source
	 * @param maxWait the maximum time that a call waits while its rate is exceeded
	 */
	public RateLimiter(GrantSource source, MonotonicClock clock, Duration maxWait) {
		this.source = source;
		this.clock = clock;
		this.maxWait = maxWait;
	}

	/**
	 * Counts one call against the rate of its workspace. Blocks briefly if no grant is
	 * available.
	 * @param workspace the workspace of the call
	 * @return {@code null} on the right if the call was counted, otherwise the refusal
	 */
	public Either<Refusal, Void> acquire(Workspace workspace) {
		WorkspaceGrants grants = this.grantsByWorkspace.computeIfAbsent(workspace.id(), (id) -> new WorkspaceGrants());
		long startedAt = this.clock.nanoTime();
		Long deniedSince = null;
		grants.recordArrival(startedAt);
		while (true) {
			Attempt attempt = grants.tryAcquire(workspace);
			if (attempt.acquired()) {
				return Either.right(null);
			}
			// Until the first denial, the call waits for the owner to become reachable.
			// This time does not count towards maxWait.
			if (attempt.ownerReached() && (deniedSince == null)) {
				deniedSince = this.clock.nanoTime();
			}
			Duration limit = attempt.ownerReached() ? this.maxWait : OWNER_TIMEOUT;
			Duration waited = this.clock.elapsed(attempt.ownerReached() ? deniedSince : startedAt);
			boolean tooLate = waited.plus(attempt.retryIn()).compareTo(limit) > 0;
			if (tooLate || !sleep(attempt.retryIn())) {
				return Either.left(attempt.ownerReached() ? rateExceeded(workspace, attempt.retryIn())
						: ownerUnavailable(workspace));
			}
		}
	}

	private static Refusal ownerUnavailable(Workspace workspace) {
		return Refusal.unavailable("rate_unavailable",
				"the rate of workspace \"" + workspace.id() + "\" cannot be counted at present", Duration.ofSeconds(1));
	}

	private static Refusal rateExceeded(Workspace workspace, Duration wait) {
		return new Refusal(429, "rate_exceeded",
				"workspace \"" + workspace.id() + "\" sends more than " + workspace.ratePerSecond() + " calls a second",
				Verdict.NOT_RUN, wait.plusMillis(50));
	}

	private static boolean sleep(Duration time) {
		try {
			TimeUnit.NANOSECONDS.sleep(Math.max(time.toNanos(), 1_000_000));
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * The current grant and the recent call rate of one workspace.
	 */
	private final class WorkspaceGrants {

		private int granted;

		private long expiresAt;

		private double recentRate;

		private long lastArrival;

		// Updates the exponential moving average of the arrival rate.
		synchronized void recordArrival(long now) {
			double gap = Math.max(1e-6, (now - this.lastArrival) / 1e9);
			double weight = Math.exp(-gap);
			this.recentRate = (this.lastArrival == 0) ? 0 : (weight * this.recentRate) + (1 - weight) * (1 / gap);
			this.lastArrival = now;
		}

		// Consumes a call of the current grant, or requests a new grant if there is none.
		synchronized Attempt tryAcquire(Workspace workspace) {
			long now = RateLimiter.this.clock.nanoTime();
			if ((this.granted > 0) && (now < this.expiresAt)) {
				this.granted--;
				return Attempt.ACQUIRED;
			}
			int prefetchCalls = (int) Math.ceil(this.recentRate * PREFETCH_INTERVAL.toNanos() / 1e9);
			Optional<Grant> grant = RateLimiter.this.source.requestGrant(workspace, Math.max(1, prefetchCalls));
			if (grant.isEmpty()) {
				return new Attempt(false, false, OWNER_RETRY_INTERVAL);
			}
			if (RateLimiter.this.clock.nanoTime() - now >= GRANT_LIFETIME.toNanos()) {
				// The grant expired before it was received, which does not indicate that
				// the rate is exceeded.
				this.granted = 0;
				return new Attempt(false, false, OWNER_RETRY_INTERVAL);
			}
			this.granted = grant.get().calls();
			this.expiresAt = now + GRANT_LIFETIME.toNanos();
			if (this.granted == 0) {
				return new Attempt(false, true, grant.get().retryIn());
			}
			this.granted--;
			return Attempt.ACQUIRED;
		}

	}

	/**
	 * The outcome of one attempt to count a call.
	 *
	 * @param acquired whether the call was counted
	 * @param ownerReached whether the owner of the bucket responded in time
	 * @param retryIn the delay before the next attempt
	 */
	private record Attempt(boolean acquired, boolean ownerReached, Duration retryIn) {

		private static final Attempt ACQUIRED = new Attempt(true, true, Duration.ZERO);

	}

}
