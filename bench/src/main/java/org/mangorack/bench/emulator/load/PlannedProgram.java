package org.mangorack.bench.emulator.load;

import java.util.List;

/**
 * A program: calls one after the other, those of its sub-agents among them.
 *
 * @param name identifies the program in its load
 * @param workspace the number of its workspace
 * @param startNanos when it starts, in nanoseconds
 * @param calls its calls, in order
 * @param idealNanos its time on idle upstreams that hold all earlier parts of its
 * prompts, in nanoseconds
 * @param aimNanos the time in which it is due, in nanoseconds
 */
public record PlannedProgram(String name, int workspace, long startNanos, List<PlannedCall> calls, long idealNanos,
		long aimNanos) {

	public PlannedProgram {
		calls = List.copyOf(calls);
	}

}
