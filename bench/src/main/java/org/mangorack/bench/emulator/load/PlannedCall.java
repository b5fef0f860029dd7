package org.mangorack.bench.emulator.load;

import java.util.List;

/**
 * A call of a program: to an engine if it has a prompt, otherwise to a plain service.
 *
 * @param id the identifier of the call, unique in the load
 * @param route the name of the kind of call
 * @param entry the index of the entry that receives it
 * @param pauseNanos the pause before it, in nanoseconds
 * @param prompt the parts of the prompt, in order; empty for a plain service
 * @param outputTokens the number of tokens to generate
 * @param workNanos the processing time at a plain service, in nanoseconds
 * @param aimNanos the target for the time to the first event, in nanoseconds
 * @param deadlineNanos the deadline of the first event, relative to the arrival at the
 * entry, in nanoseconds
 * @param repeatable whether it may be retried after a failure
 */
public record PlannedCall(long id, String route, int entry, long pauseNanos, List<PromptPart> prompt, int outputTokens,
		long workNanos, long aimNanos, long deadlineNanos, boolean repeatable) {

	public PlannedCall {
		prompt = List.copyOf(prompt);
	}

	/**
	 * Returns whether the call is a turn, which is sent to an engine.
	 * @return {@code true} if it has a prompt
	 */
	public boolean isTurn() {
		return !this.prompt.isEmpty();
	}

	/**
	 * Returns the size of the prompt.
	 * @return the number of tokens of all parts
	 */
	public int promptTokens() {
		return this.prompt.stream().mapToInt(PromptPart::tokens).sum();
	}

}
