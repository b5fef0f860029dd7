package org.mangorack.bench.emulator.load;

import java.util.List;

/**
 * A call of a program, to an engine if it has a prompt and to a plain service otherwise.
 *
 * @param id identifies the call in its load
 * @param route the name of the kind of call
 * @param entry the number of the entry that gets it
 * @param pauseNanos the pause before it, in nanoseconds
 * @param prompt the parts of its prompt, in order; empty for a plain service
 * @param outputTokens the tokens to be generated
 * @param workNanos the time of its work at a plain service, in nanoseconds
 * @param aimNanos the time in which its first event is due, in nanoseconds
 * @param deadlineNanos the time after which its caller no longer waits for the first
 * event, in nanoseconds
 * @param repeatable whether it may be sent again after a failure
 */
public record PlannedCall(long id, String route, int entry, long pauseNanos, List<PromptPart> prompt, int outputTokens,
		long workNanos, long aimNanos, long deadlineNanos, boolean repeatable) {

	public PlannedCall {
		prompt = List.copyOf(prompt);
	}

	/**
	 * Tells whether the call is one of an engine.
	 * @return {@code true} if it has a prompt
	 */
	public boolean isTurn() {
		return !this.prompt.isEmpty();
	}

	/**
	 * Returns the size of its prompt.
	 * @return the tokens of all parts
	 */
	public int promptTokens() {
		return this.prompt.stream().mapToInt(PromptPart::tokens).sum();
	}

}
