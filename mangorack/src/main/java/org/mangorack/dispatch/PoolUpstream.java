package org.mangorack.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangorack.call.UpstreamId;
import org.mangorack.config.Upstream;
import org.mangorack.member.proto.SlotResult;

/**
 * The state of one upstream at the owner of a pool: the slots in use across all
 * instances, and an adaptive concurrency limit that is derived from the latencies of
 * completed calls. The upstream serves other clients as well, so the number of slots in
 * use alone does not indicate its load.
 */
final class PoolUpstream {

	private static final double INITIAL_LIMIT = 8;

	private static final double MIN_LIMIT = 1;

	private static final double DECREASE_FACTOR = 0.9;

	private static final Duration DECREASE_INTERVAL = Duration.ofMillis(500);

	private static final double INTER_TOKEN_LATENCY_TARGET_MICROS = 26_000;

	private static final double FIRST_TOKEN_LATENCY_TARGET_MICROS = 330_000;

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

	private static final Duration MAX_BACKOFF = Duration.ofSeconds(8);

	private final Map<Long, HeldSlot> slots = new HashMap<>();

	private Upstream configured;

	private double limit = INITIAL_LIMIT;

	private long decreasedAt;

	private long lastUsed;

	private int failures;

	private long avoidedUntil;

	PoolUpstream(Upstream configured) {
		this.configured = configured;
	}

	// ---- Accessors

	UpstreamId id() {
		return this.configured.id();
	}

	Map<Long, HeldSlot> slots() {
		return this.slots;
	}

	long lastUsed() {
		return this.lastUsed;
	}

	double relativeLoad() {
		return this.slots.size() / (double) this.configured.maxConcurrent();
	}

	void configure(Upstream upstream) {
		this.configured = upstream;
	}

	/**
	 * Returns the number of calls that may be in flight at the same time.
	 * @param adaptive whether to apply the adaptive limit
	 * @return the number of slots
	 */
	private int capacity(boolean adaptive) {
		return adaptive ? (int) Math.min(this.configured.maxConcurrent(), Math.max(MIN_LIMIT, this.limit))
				: this.configured.maxConcurrent();
	}

	/**
	 * Returns whether another call may be sent.
	 * @param adaptive whether to apply the adaptive limit
	 * @return {@code true} if a slot is free
	 */
	boolean hasFreeSlot(boolean adaptive) {
		return this.slots.size() < capacity(adaptive);
	}

	boolean isUsable(long now) {
		return !this.configured.leaving() && !isAvoided(now);
	}

	boolean isAvoided(long now) {
		return (this.failures > 0) && (now < this.avoidedUntil);
	}

	// ---- Changes

	void addSlot(long slot, HeldSlot held, long now) {
		this.slots.put(slot, held);
		this.lastUsed = now;
	}

	/**
	 * Records the result of a completed call and adapts the limit by additive increase
	 * and multiplicative decrease. The limit grows by one for each round of calls that
	 * met the latency targets while the limit was fully used. It shrinks when a target
	 * was missed, at most once per {@link #DECREASE_INTERVAL}. After a failure the
	 * upstream is avoided for a time that doubles with each one, up to a limit.
	 * @param result the result of the call
	 * @param now the current time, in nanoseconds
	 */
	void recordResult(SlotResult result, long now) {
		if (result.getFailed()) {
			long backoffNanos = Math.min(MAX_BACKOFF.toNanos(),
					INITIAL_BACKOFF.toNanos() << Math.min(this.failures, 10));
			this.failures++;
			this.avoidedUntil = now + backoffNanos;
			return;
		}
		this.failures = 0;
		if ((result.getGenerationMicros() == 0) || (result.getGeneratedTokens() < 2)) {
			return;
		}
		double perToken = result.getGenerationMicros() / (double) (result.getGeneratedTokens() - 1);
		boolean missed = (perToken > INTER_TOKEN_LATENCY_TARGET_MICROS)
				|| (result.getFirstTokenMicros() > FIRST_TOKEN_LATENCY_TARGET_MICROS);
		if (missed && (now - this.decreasedAt > DECREASE_INTERVAL.toNanos())) {
			this.limit = Math.max(MIN_LIMIT, Math.min(this.limit, this.slots.size() + 1) * DECREASE_FACTOR);
			this.decreasedAt = now;
		}
		else if (!missed && (this.slots.size() + 1 >= (int) this.limit)) {
			this.limit = Math.min(this.configured.maxConcurrent(), this.limit + (1 / this.limit));
		}
	}

	/**
	 * A slot in use.
	 *
	 * @param instance the instance that holds it
	 * @param workspace the workspace that was charged
	 * @param weight the weight of the workspace
	 * @param predicted the predicted engine work, in milliseconds
	 * @param grantedAt the time at which the slot was granted, in nanoseconds
	 */
	record HeldSlot(String instance, String workspace, double weight, double predicted, long grantedAt) {
	}

}
