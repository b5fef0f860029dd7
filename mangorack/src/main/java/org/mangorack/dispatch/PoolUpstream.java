package org.mangorack.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangorack.call.UpstreamId;
import org.mangorack.config.Upstream;
import org.mangorack.member.proto.SlotResult;

/**
 * What the owner of a pool knows of one upstream: the slots in use over all instances,
 * and a limit that follows the times that calls report. Others use the upstream as well,
 * so its own load says little.
 */
final class PoolUpstream {

	private static final double INITIAL_LIMIT = 8;

	private static final double MIN_LIMIT = 1;

	private static final double DECREASE_FACTOR = 0.9;

	private static final Duration DECREASE_INTERVAL = Duration.ofMillis(500);

	private static final double INTER_TOKEN_LATENCY_TARGET_MICROS = 26_000;

	private static final double FIRST_TOKEN_LATENCY_TARGET_MICROS = 330_000;

	private static final Duration BASE_EJECTION_TIME = Duration.ofMillis(500);

	private static final Duration MAX_EJECTION_TIME = Duration.ofSeconds(8);

	private final Map<Long, HeldSlot> slots = new HashMap<>();

	private Upstream configured;

	private double limit = INITIAL_LIMIT;

	private long decreasedAt;

	private long lastUsed;

	private int failures;

	private long ejectedUntil;

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
	 * Returns how many calls may be under way.
	 * @param adaptive whether the limit follows reported times
	 * @return the number of slots
	 */
	private int capacity(boolean adaptive) {
		return adaptive ? (int) Math.min(this.configured.maxConcurrent(), Math.max(MIN_LIMIT, this.limit))
				: this.configured.maxConcurrent();
	}

	/**
	 * Tells whether one more call may be sent.
	 * @param adaptive whether the limit follows reported times
	 * @return {@code true} if a slot is free
	 */
	boolean hasFreeSlot(boolean adaptive) {
		return this.slots.size() < capacity(adaptive);
	}

	boolean isUsable(long now) {
		return !this.configured.leaving() && !isEjected(now);
	}

	boolean isEjected(long now) {
		return (this.failures > 0) && (now < this.ejectedUntil);
	}

	// ---- Changes

	void addSlot(long slot, HeldSlot held, long now) {
		this.slots.put(slot, held);
		this.lastUsed = now;
	}

	/**
	 * Learns from a finished call. The limit grows by one for each round of calls that
	 * met the targets while the limit was in use, and shrinks when they were missed.
	 * @param result the times and tokens of the call
	 * @param now the current time, in nanoseconds
	 */
	void recordResult(SlotResult result, long now) {
		if (result.getFailed()) {
			long ejectionNanos = Math.min(MAX_EJECTION_TIME.toNanos(),
					BASE_EJECTION_TIME.toNanos() << Math.min(this.failures, 10));
			this.failures++;
			this.ejectedUntil = now + ejectionNanos;
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
	 * @param grantedAt when it was taken, in nanoseconds
	 */
	record HeldSlot(String instance, String workspace, double weight, double predicted, long grantedAt) {
	}

}
