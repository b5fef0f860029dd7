package org.mangorack.bench.emulator;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.mangorack.bench.emulator.load.PromptPart;

/**
 * What the engines of a fleet have read.
 */
final class PromptReads {

	private final Set<Long> known = new HashSet<>();

	private long tokens;

	private long firstTokens;

	private long preemptions;

	/**
	 * Counts tokens that an engine read.
	 * @param read the tokens
	 */
	void read(int read) {
		this.tokens += read;
	}

	/**
	 * Notes parts that an engine has read to their end.
	 * @param parts the parts
	 */
	void finished(List<PromptPart> parts) {
		for (PromptPart part : parts) {
			if (this.known.add(part.id())) {
				this.firstTokens += part.tokens();
			}
		}
	}

	/**
	 * Counts a request that had to give up its memory.
	 */
	void preempted() {
		this.preemptions++;
	}

	long tokens() {
		return this.tokens;
	}

	/**
	 * Returns what was read although an engine had read it before.
	 * @return the tokens
	 */
	long tokensAgain() {
		return this.tokens - this.firstTokens;
	}

	long preemptions() {
		return this.preemptions;
	}

}
