package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;

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

	private final BooleanSupplier startsLimited;

	private long coldUntil;

	private boolean inUse = true;

	private boolean departing;

	private boolean missing;

	private long missingSince;

	private long singleUseUntil;

	Upstream(UpstreamRegistration entry, long now) {
		this(entry, now, () -> false, new SplittableRandom());
	}

	/**
	 * Creates the state of an upstream that has received no calls yet.
	 * @param entry its registration
	 * @param now the time on the monotonic clock
	 * @param startsLimited whether upstreams that start or recover are limited
	 * @param random the source of randomness
	 */
	Upstream(UpstreamRegistration entry, long now, BooleanSupplier startsLimited, RandomGenerator random) {
		super(now, random);
		this.startsLimited = startsLimited;
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

	// ---- Start

	/**
	 * Limits the calls in flight from now on, if the deployment limits upstreams that
	 * start.
	 * @param cause why, for the log
	 */
	void beginStart(String cause) {
		if (this.startsLimited.getAsBoolean()) {
			boolean limitedBefore = startPace().isLimited();
			startPace().begin();
			if (!limitedBefore) {
				EventLog.log(Event.UPSTREAM_STARTING, "upstream", id(), "cause", cause);
			}
		}
	}

	/**
	 * Counts the answers to other entries.
	 * @param good the number of good answers in their latest heartbeats
	 * @param bad the number of bad answers in their latest heartbeats
	 * @param now the time on the monotonic clock
	 */
	void answeredElsewhere(long good, long bad, long now) {
		boolean limitedBefore = startPace().isLimited();
		startPace().answeredElsewhere(good, bad, slots(), now);
		logEnd(limitedBefore);
	}

	@Override
	public void responseReceived(double ratio) {
		boolean limitedBefore = startPace().isLimited();
		super.responseReceived(ratio);
		logEnd(limitedBefore);
	}

	@Override
	public void shortResponseReceived() {
		boolean limitedBefore = startPace().isLimited();
		super.shortResponseReceived();
		logEnd(limitedBefore);
	}

	private void logEnd(boolean limitedBefore) {
		if (limitedBefore && !startPace().isLimited()) {
			EventLog.log(Event.UPSTREAM_STARTED, "upstream", id(), "slots", slots());
		}
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
			beginStart("failures");
		}
	}

}
