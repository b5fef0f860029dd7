package org.mangorack.bench.emulator;

import java.util.function.Consumer;

import org.mangorack.bench.emulator.load.PlannedCall;

/**
 * The result of a call from the perspective of its caller.
 */
final class CallResult {

	private static final long NEVER = Long.MAX_VALUE;

	private final VirtualClock clock;

	private final PlannedCall call;

	private final long returnLatencyNanos;

	private final Consumer<CallOutcome> onEnd;

	private final long startedAt;

	private long firstEventAt = NEVER;

	private long hypotheticalFirstEventAt = NEVER;

	private CallOutcome outcome;

	/**
	 * Creates the result of a call that starts now.
	 * @param clock the virtual clock
	 * @param call the call
	 * @param returnLatencyNanos the network latency from the entry to the caller, in
	 * nanoseconds
	 * @param onEnd the callback for the time at which the caller knows the outcome
	 */
	CallResult(VirtualClock clock, PlannedCall call, long returnLatencyNanos, Consumer<CallOutcome> onEnd) {
		this.clock = clock;
		this.call = call;
		this.returnLatencyNanos = returnLatencyNanos;
		this.onEnd = onEnd;
		this.startedAt = clock.nanoTime();
	}

	// ---- Changes

	/**
	 * Records the first event at the entry. Only the earliest one counts.
	 */
	void firstEvent() {
		this.firstEventAt = Math.min(this.firstEventAt, this.clock.nanoTime() + this.returnLatencyNanos);
	}

	/**
	 * Records the end of the call at the entry.
	 * @param endOutcome the outcome
	 * @throws IllegalStateException if the call has already ended
	 */
	void ended(CallOutcome endOutcome) {
		if (this.outcome != null) {
			throw new IllegalStateException("call " + this.call.id() + " has already ended");
		}
		this.outcome = endOutcome;
		this.clock.after(this.returnLatencyNanos, () -> this.onEnd.accept(endOutcome));
	}

	/**
	 * Records when an upstream that rejected the call would have responded.
	 * @param at the time at which the first event would have reached the entry, in
	 * nanoseconds
	 */
	void wouldHaveAnswered(long at) {
		this.hypotheticalFirstEventAt = Math.min(this.hypotheticalFirstEventAt, at + this.returnLatencyNanos);
	}

	// ---- Accessors

	/**
	 * Returns the outcome of the call.
	 * @return the outcome, or {@code null} if it has not ended
	 */
	CallOutcome outcome() {
		return this.outcome;
	}

	boolean isTurn() {
		return this.call.isTurn();
	}

	/**
	 * Returns whether a first event was recorded.
	 * @return {@code true} if there was a first event
	 */
	boolean hasFirstEvent() {
		return this.firstEventAt != NEVER;
	}

	/**
	 * Returns the time from the start of the call to the first event.
	 * @return the time in nanoseconds
	 */
	long firstEventNanos() {
		return this.firstEventAt - this.startedAt;
	}

	/**
	 * Returns whether the call was rejected although an upstream would have responded
	 * within its latency target.
	 * @return {@code true} if the rejection was unnecessary
	 */
	boolean isRefusedInVain() {
		return (this.outcome == CallOutcome.FULL) && isWithinTarget(this.hypotheticalFirstEventAt);
	}

	/**
	 * Returns whether the call was admitted but missed its latency target.
	 * @return {@code true} if the admission was useless
	 */
	boolean isAdmittedInVain() {
		return (this.outcome == CallOutcome.EXPIRED)
				|| ((this.outcome == CallOutcome.ANSWERED) && !isWithinTarget(this.firstEventAt));
	}

	private boolean isWithinTarget(long at) {
		return (at != NEVER) && (at - this.startedAt <= this.call.aimNanos());
	}

}
