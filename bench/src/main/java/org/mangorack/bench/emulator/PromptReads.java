package org.mangorack.bench.emulator;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.mangorack.bench.emulator.load.PromptPart;

/**
 * Counters of the prompt tokens processed by the engines of a fleet.
 */
final class PromptReads {

	private final Set<Long> known = new HashSet<>();

	private long tokens;

	private long distinctTokens;

	private long preemptions;

	/**
	 * Counts processed prompt tokens.
	 * @param read the number of tokens
	 */
	void read(int read) {
		this.tokens += read;
	}

	/**
	 * Records parts that an engine has completely processed.
	 * @param parts the parts
	 */
	void finished(List<PromptPart> parts) {
		for (PromptPart part : parts) {
			if (this.known.add(part.id())) {
				this.distinctTokens += part.tokens();
			}
		}
	}

	/**
	 * Counts a preempted request.
	 */
	void preempted() {
		this.preemptions++;
	}

	long tokens() {
		return this.tokens;
	}

	/**
	 * Returns the number of tokens processed although an engine had processed them
	 * before.
	 * @return the number of tokens
	 */
	long tokensAgain() {
		return this.tokens - this.distinctTokens;
	}

	long preemptions() {
		return this.preemptions;
	}

}
