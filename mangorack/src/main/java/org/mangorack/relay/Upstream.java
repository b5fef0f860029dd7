package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;

/**
 * An upstream as this entry sees it: its calls under way, idle connections and recent
 * failures. Used by the thread for traffic only.
 */
final class Upstream extends UpstreamCandidate {

	private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

	private UpstreamEntry entry;

	private boolean inUse = true;

	private boolean departing;

	private boolean missing;

	private long missingSince;

	Upstream(UpstreamEntry entry, long now) {
		super(now);
		this.entry = entry;
	}

	// ---- Accessors

	UpstreamEntry entry() {
		return this.entry;
	}

	void setEntry(UpstreamEntry entry) {
		this.entry = entry;
		this.missing = false;
	}

	/**
	 * Notes that the platform holds no entry of it.
	 * @param now the time on the monotonic clock
	 * @return how long this has been so
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
	protected int slots() {
		return Math.max(1, this.entry.slots());
	}

	Deque<UpstreamConnection> idle() {
		return this.idle;
	}

	boolean isInUse() {
		return this.inUse && !this.entry.leaving() && !this.departing;
	}

	/**
	 * Tells whether it said in an answer that it leaves.
	 * @return {@code true} if it did, whatever its entry says
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
