package org.mangorack.bench.emulator.load;

import java.util.List;

/**
 * A program: a sequence of calls, including those of its sub-agents.
 *
 * @param name the name of the program, unique in the load
 * @param workspace the index of the workspace
 * @param startNanos the start time in nanoseconds
 * @param calls the calls, in order
 * @param idealNanos the latency on idle upstreams with all earlier parts of the prompts
 * cached, in nanoseconds
 * @param aimNanos the latency target in nanoseconds
 */
public record PlannedProgram(String name, int workspace, long startNanos, List<PlannedCall> calls, long idealNanos,
		long aimNanos) {

	public PlannedProgram {
		calls = List.copyOf(calls);
	}

}
