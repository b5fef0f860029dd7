package org.mangorack.relay;

import java.time.Duration;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.mangorack.dispatch.PlacementCandidate;
import org.mangorack.dispatch.StartPace;
import org.mangorack.keeper.proto.Load;

/**
 * The state of an upstream at one entry, as {@link UpstreamChoice} needs it: the calls in
 * flight, the latency ratio of its responses, and whether it is avoided after failures.
 */
public abstract class UpstreamCandidate implements PlacementCandidate {

	private final FailureBackoff backoff;

	private final StartPace startPace;

	private int callsInFlight;

	private int callsInFlightElsewhere;

	private double latencyRatio = 1;

	// Responses since the previous heartbeat.
	private int responses;

	private double latencyRatioSum;

	/**
	 * Creates the state of an upstream that has received no calls yet.
	 * @param now the time on the monotonic clock
	 */
	protected UpstreamCandidate(long now) {
		this(now, new SplittableRandom());
	}

	/**
	 * Creates the state of an upstream that has received no calls yet.
	 * @param now the time on the monotonic clock
	 * @param random the source of randomness
	 */
	protected UpstreamCandidate(long now, RandomGenerator random) {
		this.backoff = new FailureBackoff(now);
		this.startPace = new StartPace(now, random);
	}

	// ---- Accessors

	/**
	 * Returns the number of calls that this entry has in flight.
	 * @return the number of calls
	 */
	public int callsInFlight() {
		return this.callsInFlight;
	}

	@Override
	public double load() {
		return (this.callsInFlight + this.callsInFlightElsewhere) / (double) slots();
	}

	@Override
	public double latencyRatio() {
		return this.latencyRatio;
	}

	@Override
	public boolean isAvoided(long now) {
		return this.backoff.isAvoided(now);
	}

	StartPace startPace() {
		return this.startPace;
	}

	/**
	 * Returns whether the upstream may get another call of this entry while it starts.
	 * @param share the part of the calls of the pool that this entry has in flight, from
	 * 0 to 1
	 * @param now the time on the monotonic clock
	 * @return {@code true} if it is not limited or has room for the call
	 */
	boolean hasStartRoom(double share, long now) {
		return this.startPace.hasRoom(this.callsInFlight, this.callsInFlightElsewhere, share, now);
	}

	int consecutiveFailures() {
		return this.backoff.consecutiveFailures();
	}

	// ---- Load

	/**
	 * Sets the number of calls that other entries have in flight.
	 * @param calls the number of calls
	 */
	public void setCallsInFlightElsewhere(int calls) {
		this.callsInFlightElsewhere = calls;
	}

	/**
	 * Sets the latency ratio over all entries.
	 * @param latencyRatio the ratio of the response times to the average of their routes
	 */
	public void setLatencyRatio(double latencyRatio) {
		this.latencyRatio = latencyRatio;
	}

	/**
	 * Returns the load that this entry reports to others, and resets the response counts.
	 * @return the calls in flight, and the responses since the previous call
	 */
	public Load drainLoad() {
		Load load = Load.newBuilder()
			.setUpstream(id())
			.setCalls(this.callsInFlight)
			.setAnswers(this.responses)
			.setPaceSum(this.latencyRatioSum)
			.build();
		this.responses = 0;
		this.latencyRatioSum = 0;
		return load;
	}

	// ---- Outcomes

	/**
	 * Records that a call was started.
	 */
	public void callStarted() {
		this.callsInFlight++;
	}

	/**
	 * Records that a call has ended.
	 */
	public void callEnded() {
		this.callsInFlight--;
	}

	/**
	 * Records the response time of a call.
	 * @param ratio the ratio of the response time to the average of the route
	 */
	public void responseReceived(double ratio) {
		this.responses++;
		this.latencyRatioSum += ratio;
		this.startPace.answered(ratio, slots());
	}

	/**
	 * Records a complete response that was too short to measure its time.
	 */
	public void shortResponseReceived() {
		this.startPace.answered(1, slots());
	}

	/**
	 * Records that a call succeeded.
	 */
	public void succeeded() {
		this.backoff.succeeded();
	}

	/**
	 * Records that a call failed.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided; zero while it is below the threshold
	 */
	public Duration failed(long now) {
		responseReceived(RouteLatencies.FAILURE_RATIO);
		return this.backoff.failed(now);
	}

	/**
	 * Records that the upstream is unreachable.
	 * @param now the time on the monotonic clock
	 * @return for how long the upstream is avoided
	 */
	public Duration unreachable(long now) {
		responseReceived(RouteLatencies.FAILURE_RATIO);
		return this.backoff.unreachable(now);
	}

	/**
	 * Records that the upstream refused a call for lack of capacity.
	 * @param now the time on the monotonic clock
	 */
	public void capacityExceeded(long now) {
		responseReceived(RouteLatencies.REFUSAL_RATIO);
		this.backoff.capacityExceeded(now);
	}

}
