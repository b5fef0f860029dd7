package org.mangorack.relay;

import java.time.Duration;

import org.mangorack.keeper.proto.Load;

/**
 * An upstream as one entry knows it, for {@link UpstreamChoice}: the calls under way, how
 * long its answers took, and whether it is avoided after failures.
 */
public abstract class UpstreamCandidate {

	private final FailureBackoff backoff;

	private int underWay;

	private int underWayElsewhere;

	private double pace = 1;

	// Answers since the last beat.
	private int answers;

	private double paceSum;

	/**
	 * Creates an upstream that was not called yet.
	 * @param now the time on the monotonic clock
	 */
	protected UpstreamCandidate(long now) {
		this.backoff = new FailureBackoff(now);
	}

	// ---- Accessors

	/**
	 * Returns the id of the upstream.
	 * @return the id
	 */
	public abstract String id();

	/**
	 * Returns where the upstream stands.
	 * @return the data centre
	 */
	public abstract String dataCentre();

	/**
	 * Returns how many calls the upstream runs at once.
	 * @return the slots, at least one
	 */
	protected abstract int slots();

	/**
	 * Returns the calls of this entry that are under way.
	 * @return the number of calls
	 */
	public int underWay() {
		return this.underWay;
	}

	/**
	 * Returns how full the upstream is.
	 * @return calls under way for each slot
	 */
	public double load() {
		return (this.underWay + this.underWayElsewhere) / (double) slots();
	}

	/**
	 * Returns how long its answers took lately, over all entries.
	 * @return a multiple of what their routes usually take
	 */
	public double pace() {
		return this.pace;
	}

	/**
	 * Tells whether it gets calls only if there is no other.
	 * @param now the time on the monotonic clock
	 * @return {@code true} if it failed or was full lately
	 */
	public boolean isAvoided(long now) {
		return this.backoff.isAvoided(now);
	}

	int consecutiveFailures() {
		return this.backoff.consecutiveFailures();
	}

	// ---- News

	/**
	 * Takes over the calls of other entries.
	 * @param calls those that are under way
	 */
	public void setUnderWayElsewhere(int calls) {
		this.underWayElsewhere = calls;
	}

	/**
	 * Takes over the pace over all entries.
	 * @param pace a multiple of what routes usually take
	 */
	public void setPace(double pace) {
		this.pace = pace;
	}

	/**
	 * Returns what other entries are to know, and counts answers anew.
	 * @return the calls under way and the answers since this was last called
	 */
	public Load takeLoad() {
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
	 * Notes that a call was sent.
	 */
	public void began() {
		this.underWay++;
	}

	/**
	 * Notes that a call is over.
	 */
	public void ended() {
		this.underWay--;
	}

	/**
	 * Notes how long an answer took.
	 * @param answerPace a multiple of what its route usually takes
	 */
	public void answered(double answerPace) {
		this.answers++;
		this.paceSum += answerPace;
	}

	/**
	 * Notes that a call was served.
	 */
	public void succeeded() {
		this.backoff.succeeded();
	}

	/**
	 * Notes that a call failed.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided; zero if it is not yet
	 */
	public Duration failed(long now) {
		answered(RoutePaces.FAILED);
		return this.backoff.failed(now);
	}

	/**
	 * Notes that the upstream cannot be reached.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided
	 */
	public Duration unreachable(long now) {
		answered(RoutePaces.FAILED);
		return this.backoff.unreachable(now);
	}

	/**
	 * Notes that the upstream had no room.
	 * @param now the time on the monotonic clock
	 */
	public void full(long now) {
		answered(RoutePaces.FULL);
		this.backoff.full(now);
	}

}
