package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.mangorack.limit.ColdRate;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;

/**
 * The state of an upstream at this entry: its calls in flight, idle connections and
 * recent failures. Not thread-safe: used only on the traffic event loop.
 */
final class Upstream extends UpstreamCandidate {

	private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

	// What this entry sent to the upstream while it was cold.
	private final ColdRate.Sends coldSends = new ColdRate.Sends();

	private UpstreamRegistration entry;

	private long coldUntil;

	private boolean inUse = true;

	private boolean departing;

	private boolean missing;

	private long missingSince;

	private long singleUseUntil;

	Upstream(UpstreamRegistration entry, long now) {
		super(now);
		this.singleUseUntil = now;
		this.coldUntil = now;
		this.entry = entry;
	}

	// ---- Accessors

	UpstreamRegistration entry() {
		return this.entry;
	}

	void setEntry(UpstreamRegistration entry) {
		this.entry = entry;
		this.missing = false;
	}

	/**
	 * Records that the platform holds no entry for the upstream.
	 * @param now the time on the monotonic clock
	 * @return for how long the entry has been missing
	 */
	Duration markMissing(long now) {
		if (!this.missing) {
			this.missing = true;
			this.missingSince = now;
		}
		return Duration.ofNanos(now - this.missingSince);
	}

	@Override
	public String id() {
		return this.entry.id();
	}

	@Override
	public String dataCentre() {
		return this.entry.dataCentre();
	}

	@Override
	public int slots() {
		return Math.max(1, this.entry.slots());
	}

	Deque<UpstreamConnection> idle() {
		return this.idle;
	}

	boolean isInUse() {
		return this.inUse && !this.entry.leaving() && !this.departing;
	}

	/**
	 * Returns whether the upstream announced in a response that it is shutting down.
	 * @return {@code true} if it did, even if its entry does not say so
	 */
	boolean isDeparting() {
		return this.departing;
	}

	void setDeparting() {
		this.departing = true;
	}

	void setInUse(boolean inUse) {
		this.inUse = inUse;
	}

	/**
	 * Returns whether each connection may carry one request only.
	 * @param now the time on the monotonic clock
	 * @return {@code true} if the upstream recently sent bytes that belong to no request
	 */
	boolean isSingleUse(long now) {
		return now - this.singleUseUntil < 0;
	}

	void setSingleUseUntil(long until) {
		this.singleUseUntil = until;
	}

	/**
	 * Returns whether the upstream tolerates only few requests.
	 * @param now the time on the monotonic clock
	 * @return {@code true} if it is cold
	 */
	boolean isCold(long now) {
		return now - this.coldUntil < 0;
	}

	/**
	 * Records that the upstream is cold. The latest end that was announced applies.
	 * @param until the end on the monotonic clock
	 */
	void extendCold(long until) {
		this.coldUntil = (until - this.coldUntil > 0) ? until : this.coldUntil;
	}

	ColdRate.Sends coldSends() {
		return this.coldSends;
	}

	// ---- Outcomes

	void failed(long now, String cause) {
		logAvoidance(failed(now), cause);
	}

	void unreachable(long now, String cause) {
		logAvoidance(unreachable(now), cause);
	}

	private void logAvoidance(Duration avoided, String cause) {
		if (!avoided.isZero()) {
			EventLog.log(Event.UPSTREAM_AVOIDED, "upstream", id(), "forMillis", avoided.toMillis(), "failures",
					consecutiveFailures(), "cause", cause);
		}
	}

}
