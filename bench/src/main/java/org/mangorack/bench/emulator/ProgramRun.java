package org.mangorack.bench.emulator;

import java.util.List;

import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.bench.emulator.load.PlannedProgram;

/**
 * Runs a program, whose calls are sent sequentially. The program ends at the first call
 * that does not succeed.
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
	 * Creates a run, which must be started with {@link #start()}.
	 * @param clock the virtual clock
	 * @param fleet the fleet that executes the calls
	 * @param program the program
	 * @param wayNanos the network round-trip time of a call, in nanoseconds
	 * @param results the list to which the results of calls are added
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
	 * Returns whether all calls succeeded.
	 * @return {@code true} if the program is finished
	 */
	boolean isFinished() {
		return this.endedAt >= 0;
	}

	/**
	 * Returns whether the program finished within its latency target.
	 * @return {@code true} if the target was met
	 */
	boolean isInAim() {
		return isFinished() && (latencyNanos() <= this.program.aimNanos());
	}

	/**
	 * Returns the latency of a finished program relative to its ideal latency.
	 * @return the ratio in thousandths
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
		long outboundNanos = this.wayNanos / 2;
		CallResult result = new CallResult(this.clock, call, this.wayNanos - outboundNanos, this::ended);
		this.results.add(result);
		this.clock.after(outboundNanos, () -> this.fleet.entry(call.entry()).submit(call, this.program.name(), result));
	}

	private void ended(CallOutcome outcome) {
		if (outcome == CallOutcome.ANSWERED) {
			proceed();
		}
	}

}
