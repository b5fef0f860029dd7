package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.mangorack.keeper.proto.Load;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;

/**
 * An upstream as this entry sees it: its calls under way, idle connections and recent
 * failures. Used by the thread for traffic only.
 */
final class Upstream {

	/**
	 * How long an upstream is avoided after its second failure in a row; doubles with
	 * each further one.
	 */
	static final Duration FIRST_AVOIDANCE = Duration.ofMillis(400);

	/**
	 * The longest avoidance. One call now and then finds out whether it has recovered.
	 */
	static final Duration LONGEST_AVOIDANCE = Duration.ofSeconds(4);

	/**
	 * How long an upstream that was full gets no further calls.
	 */
	static final Duration FULL_PAUSE = Duration.ofMillis(60);

	private static final int FAILURES_BEFORE_AVOIDANCE = 2;

	private static final int MAX_DOUBLINGS = 8;

	private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

	private UpstreamEntry entry;

	private boolean inUse = true;

	private int underWay;

	private int underWayElsewhere;

	private int failuresInRow;

	private double pace = 1;

	// Answers since the last beat.
	private int answers;

	private double paceSum;

	private long avoidedUntil;

	private boolean departing;

	private boolean missing;

	private long missingSince;

	Upstream(UpstreamEntry entry, long now) {
		this.entry = entry;
		this.avoidedUntil = now;
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
	Duration noteMissing(long now) {
		if (!this.missing) {
			this.missing = true;
			this.missingSince = now;
		}
		return Duration.ofNanos(now - this.missingSince);
	}

	String id() {
		return this.entry.id();
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

	int underWay() {
		return this.underWay;
	}

	void setUnderWayElsewhere(int calls) {
		this.underWayElsewhere = calls;
	}

	boolean isAvoided(long now) {
		return now - this.avoidedUntil < 0;
	}

	/**
	 * Returns how full the upstream is.
	 * @return calls under way for each slot
	 */
	double load() {
		return (this.underWay + this.underWayElsewhere) / (double) Math.max(1, this.entry.slots());
	}

	/**
	 * Returns how long its answers took lately, over all entries.
	 * @return a multiple of what their routes usually take
	 */
	double pace() {
		return this.pace;
	}

	void setPace(double pace) {
		this.pace = pace;
	}

	/**
	 * Returns what other entries are to know, and counts answers anew.
	 * @return the calls under way and the answers since this was last called
	 */
	Load takeLoad() {
		Load load = Load.newBuilder()
			.setUpstream(id())
			.setCalls(this.underWay)
			.setAnswers(this.answers)
			.setPaceSum(this.paceSum)
			.build();
		this.answers = 0;
		this.paceSum = 0;
		return load;
	}

	// ---- Outcomes

	/**
	 * Notes how long an answer took.
	 * @param answerPace a multiple of what its route usually takes
	 */
	void answered(double answerPace) {
		this.answers++;
		this.paceSum += answerPace;
	}

	void began() {
		this.underWay++;
	}

	void ended() {
		this.underWay--;
	}

	void succeeded() {
		this.failuresInRow = 0;
	}

	void failed(long now, String cause) {
		answered(RoutePaces.FAILED);
		this.failuresInRow++;
		if (this.failuresInRow >= FAILURES_BEFORE_AVOIDANCE) {
			avoid(now, cause);
		}
	}

	void unreachable(long now, String cause) {
		answered(RoutePaces.FAILED);
		this.failuresInRow = Math.max(this.failuresInRow + 1, FAILURES_BEFORE_AVOIDANCE);
		avoid(now, cause);
	}

	void full(long now) {
		answered(RoutePaces.FULL);
		this.avoidedUntil = Math.max(this.avoidedUntil, now + FULL_PAUSE.toNanos());
	}

	private void avoid(long now, String cause) {
		int doublings = Math.min(MAX_DOUBLINGS, this.failuresInRow - FAILURES_BEFORE_AVOIDANCE);
		Duration doubled = FIRST_AVOIDANCE.multipliedBy(1L << doublings);
		Duration time = (doubled.compareTo(LONGEST_AVOIDANCE) < 0) ? doubled : LONGEST_AVOIDANCE;
		this.avoidedUntil = Math.max(this.avoidedUntil, now + time.toNanos());
		EventLog.log(Event.UPSTREAM_AVOIDED, "upstream", id(), "forMillis", time.toMillis(), "failures",
				this.failuresInRow, "cause", cause);
	}

}
