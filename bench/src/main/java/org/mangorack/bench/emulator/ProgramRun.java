package org.mangorack.bench.emulator;

import java.util.List;

import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.bench.emulator.load.PlannedProgram;

/**
 * Plays a program: a call when the one before it was answered. A call that is not
 * answered ends the program.
 */
final class ProgramRun {

	private final VirtualClock clock;

	private final Fleet fleet;

	private final PlannedProgram program;

	private final long wayNanos;

	private final List<CallResult> results;

	private int next;

	private long endedAt = -1;

	/**
	 * Creates a program that has not started.
	 * @param clock the clock
	 * @param fleet takes its calls
	 * @param program the program
	 * @param wayNanos the way of a call to an upstream and back, in nanoseconds
	 * @param results collects the results of calls
	 */
	ProgramRun(VirtualClock clock, Fleet fleet, PlannedProgram program, long wayNanos, List<CallResult> results) {
		this.clock = clock;
		this.fleet = fleet;
		this.program = program;
		this.wayNanos = wayNanos;
		this.results = results;
	}

	/**
	 * Schedules the first call.
	 */
	void start() {
		this.clock.at(this.program.startNanos(), this::proceed);
	}

	/**
	 * Tells whether all calls were answered.
	 * @return {@code true} if the program is finished
	 */
	boolean isFinished() {
		return this.endedAt >= 0;
	}

	/**
	 * Tells whether the program finished within its aim.
	 * @return {@code true} if so
	 */
	boolean isInAim() {
		return isFinished() && (latencyNanos() <= this.program.aimNanos());
	}

	/**
	 * Returns the time of a finished program against its ideal one.
	 * @return the multiple, in thousandths
	 */
	long latencyPerMille() {
		return Math.round(latencyNanos() * 1000.0 / this.program.idealNanos());
	}

	private long latencyNanos() {
		return this.endedAt - this.program.startNanos();
	}

	private void proceed() {
		if (this.next == this.program.calls().size()) {
			this.endedAt = this.clock.nanoTime();
			return;
		}
		PlannedCall call = this.program.calls().get(this.next++);
		this.clock.after(call.pauseNanos(), () -> send(call));
	}

	private void send(PlannedCall call) {
		long there = this.wayNanos / 2;
		CallResult result = new CallResult(this.clock, call, this.wayNanos - there, this::ended);
		this.results.add(result);
		this.clock.after(there, () -> this.fleet.entry(call.entry()).submit(call, this.program.name(), result));
	}

	private void ended(CallOutcome outcome) {
		if (outcome == CallOutcome.ANSWERED) {
			proceed();
		}
	}

}
