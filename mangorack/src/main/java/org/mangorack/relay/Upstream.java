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
final class Upstream implements UpstreamCandidate {

	private final Deque<UpstreamConnection> idle = new ArrayDeque<>();

	private final Avoidance avoidance;

	private UpstreamEntry entry;

	private boolean inUse = true;

	private int underWay;

	private int underWayElsewhere;

	private double pace = 1;

	// Answers since the last beat.
	private int answers;

	private double paceSum;

	private boolean departing;

	private boolean missing;

	private long missingSince;

	Upstream(UpstreamEntry entry, long now) {
		this.entry = entry;
		this.avoidance = new Avoidance(now);
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

	@Override
	public String id() {
		return this.entry.id();
	}

	@Override
	public String dataCentre() {
		return this.entry.dataCentre();
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

	@Override
	public boolean isAvoided(long now) {
		return this.avoidance.isAvoided(now);
	}

	@Override
	public double load() {
		return (this.underWay + this.underWayElsewhere) / (double) Math.max(1, this.entry.slots());
	}

	@Override
	public double pace() {
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
		this.avoidance.succeeded();
	}

	void failed(long now, String cause) {
		answered(RoutePaces.FAILED);
		report(this.avoidance.failed(now), cause);
	}

	void unreachable(long now, String cause) {
		answered(RoutePaces.FAILED);
		report(this.avoidance.unreachable(now), cause);
	}

	void full(long now) {
		answered(RoutePaces.FULL);
		this.avoidance.full(now);
	}

	private void report(Duration avoided, String cause) {
		if (!avoided.isZero()) {
			EventLog.log(Event.UPSTREAM_AVOIDED, "upstream", id(), "forMillis", avoided.toMillis(), "failures",
					this.avoidance.failuresInRow(), "cause", cause);
		}
	}

}
