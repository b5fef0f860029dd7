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
 * Counts the calls of workspaces against grants drawn from the owners of their buckets. A
 * grant is drawn ahead by recent use and is void after a short life, counted from before
 * it was asked for. Unused grants are never given back to the bucket, so that no call is
 * counted twice.
 */
public final class RateLimiter {

	private static final Duration GRANT_LIFE = Duration.ofMillis(400);

	private static final Duration DRAW_AHEAD = Duration.ofMillis(100);

	private static final Duration OWNER_RETRY = Duration.ofMillis(50);

	private static final Duration OWNER_LIMIT = Duration.ofSeconds(8);

	private final GrantSource source;

	private final MonotonicClock clock;

	private final Duration maxWait;

	private final Map<WorkspaceId, Account> accounts = new ConcurrentHashMap<>();

	/**
	 * Creates a limiter without grants.
	 * @param source draws grants
	 * @param clock the time source
	 * @param maxWait how long a call waits for a grant
	 */
	public RateLimiter(GrantSource source, MonotonicClock clock, Duration maxWait) {
		this.source = source;
		this.clock = clock;
		this.maxWait = maxWait;
	}

	/**
	 * Counts one call. A call within the rate waits briefly for a grant.
	 * @param workspace the workspace of the call
	 * @return nothing, or the refusal
	 */
	public Either<Refusal, Void> acquire(Workspace workspace) {
		Account account = this.accounts.computeIfAbsent(workspace.id(), (id) -> new Account());
		long startedAt = this.clock.nanoTime();
		Long deniedSince = null;
		account.arrived(startedAt);
		while (true) {
			Draw draw = account.takeOrDraw(workspace);
			if (draw.taken()) {
				return Either.right(null);
			}
			// Until the first denial a call waits for an owner, not for its rate.
			if (draw.ownerReached() && (deniedSince == null)) {
				deniedSince = this.clock.nanoTime();
			}
			Duration limit = draw.ownerReached() ? this.maxWait : OWNER_LIMIT;
			Duration waited = this.clock.elapsed(draw.ownerReached() ? deniedSince : startedAt);
			boolean tooLate = waited.plus(draw.retryIn()).compareTo(limit) > 0;
			if (tooLate || !sleep(draw.retryIn())) {
				return Either.left(draw.ownerReached() ? exceeded(workspace, draw.retryIn()) : ownerOut(workspace));
			}
		}
	}

	private static Refusal ownerOut(Workspace workspace) {
		return Refusal.unavailable("rate_unavailable",
				"the rate of workspace \"" + workspace.id() + "\" cannot be counted at present", Duration.ofSeconds(1));
	}

	private static Refusal exceeded(Workspace workspace, Duration wait) {
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
	 * The grants of one workspace.
	 */
	private final class Account {

		private int granted;

		private long expiresAt;

		private double recentRate;

		private long lastArrival;

		// Follows the rate of arrivals by an exponential average.
		synchronized void arrived(long now) {
			double gap = Math.max(1e-6, (now - this.lastArrival) / 1e9);
			double weight = Math.exp(-gap);
			this.recentRate = (this.lastArrival == 0) ? 0 : (weight * this.recentRate) + (1 - weight) * (1 / gap);
			this.lastArrival = now;
		}

		// Takes a granted call, or draws a new grant when there is none.
		synchronized Draw takeOrDraw(Workspace workspace) {
			long now = RateLimiter.this.clock.nanoTime();
			if ((this.granted > 0) && (now < this.expiresAt)) {
				this.granted--;
				return Draw.TAKEN;
			}
			int ahead = (int) Math.ceil(this.recentRate * DRAW_AHEAD.toNanos() / 1e9);
			Optional<Grant> grant = RateLimiter.this.source.requestGrant(workspace, Math.max(1, ahead));
			if (grant.isEmpty()) {
				return new Draw(false, false, OWNER_RETRY);
			}
			if (RateLimiter.this.clock.nanoTime() - now >= GRANT_LIFE.toNanos()) {
				// A grant that came too late says nothing of the rate.
				this.granted = 0;
				return new Draw(false, false, OWNER_RETRY);
			}
			this.granted = grant.get().calls();
			this.expiresAt = now + GRANT_LIFE.toNanos();
			if (this.granted == 0) {
				return new Draw(false, true, grant.get().retryIn());
			}
			this.granted--;
			return Draw.TAKEN;
		}

	}

	/**
	 * The outcome of one try.
	 *
	 * @param taken whether the call was counted
	 * @param ownerReached whether the owner of the bucket answered in time
	 * @param retryIn how long to wait before the next try
	 */
	private record Draw(boolean taken, boolean ownerReached, Duration retryIn) {

		private static final Draw TAKEN = new Draw(true, true, Duration.ZERO);

	}

}
