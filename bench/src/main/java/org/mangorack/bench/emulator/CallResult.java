package org.mangorack.bench.emulator;

import java.util.function.Consumer;

import org.mangorack.bench.emulator.load.PlannedCall;

/**
 * What becomes of a call, as its caller sees it.
 */
final class CallResult {

	private static final long NEVER = Long.MAX_VALUE;

	private final VirtualClock clock;

	private final PlannedCall call;

	private final long wayBackNanos;

	private final Consumer<CallOutcome> then;

	private final long startedAt;

	private long firstEventAt = NEVER;

	private long wouldAnswerAt = NEVER;

	private CallOutcome outcome;

	/**
	 * Begins a call.
	 * @param clock the clock
	 * @param call the call
	 * @param wayBackNanos the way from an entry to the caller, in nanoseconds
	 * @param then runs when the caller has the whole answer
	 */
	CallResult(VirtualClock clock, PlannedCall call, long wayBackNanos, Consumer<CallOutcome> then) {
		this.clock = clock;
		this.call = call;
		this.wayBackNanos = wayBackNanos;
		this.then = then;
		this.startedAt = clock.nanoTime();
	}

	// ---- Changes

	/**
	 * Notes the first event at the entry. Later ones than the first do not count.
	 */
	void firstEvent() {
		this.firstEventAt = Math.min(this.firstEventAt, this.clock.nanoTime() + this.wayBackNanos);
	}

	/**
	 * Notes the end of the call at the entry.
	 * @param how how it ended
	 * @throws IllegalStateException if it ended before
	 */
	void ended(CallOutcome how) {
		if (this.outcome != null) {
			throw new IllegalStateException("call " + this.call.id() + " ended twice");
		}
		this.outcome = how;
		this.clock.after(this.wayBackNanos, () -> this.then.accept(how));
	}

	/**
	 * Notes when an upstream that refused the call would have answered.
	 * @param at when the first event would have reached the entry, in nanoseconds
	 */
	void wouldHaveAnswered(long at) {
		this.wouldAnswerAt = Math.min(this.wouldAnswerAt, at + this.wayBackNanos);
	}

	// ---- Accessors

	/**
	 * Returns how the call ended.
	 * @return the outcome, or {@code null} if it has not ended
	 */
	CallOutcome outcome() {
		return this.outcome;
	}

	boolean isTurn() {
		return this.call.isTurn();
	}

	/**
	 * Tells whether there was a first event.
	 * @return {@code true} if there was
	 */
	boolean hasFirstEvent() {
		return this.firstEventAt != NEVER;
	}

	/**
	 * Returns the time to the first event.
	 * @return the time, in nanoseconds
	 */
	long firstEventNanos() {
		return this.firstEventAt - this.startedAt;
	}

	/**
	 * Tells whether the call was refused although an upstream would have answered within
	 * its aim.
	 * @return {@code true} if so
	 */
	boolean isRefusedInVain() {
		return (this.outcome == CallOutcome.FULL) && isDue(this.wouldAnswerAt);
	}

	/**
	 * Tells whether the call was admitted and then not answered within its aim.
	 * @return {@code true} if so
	 */
	boolean isAdmittedInVain() {
		return (this.outcome == CallOutcome.EXPIRED)
				|| ((this.outcome == CallOutcome.ANSWERED) && !isDue(this.firstEventAt));
	}

	private boolean isDue(long at) {
		return (at != NEVER) && (at - this.startedAt <= this.call.aimNanos());
	}

}
