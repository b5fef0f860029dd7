package org.mangorack.bench.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The prefix cache of a model engine: blocks of prompt tokens in limited memory, replaced
 * least recently used first. Not thread-safe.
 */
final class PrefixCache {

	private final long capacity;

	private final LinkedHashMap<String, Block> blocks = new LinkedHashMap<>(64, 0.75f, true);

	private long used;

	PrefixCache(long capacity) {
		this.capacity = capacity;
	}

	/**
	 * Looks up and stores a prompt.
	 * @param program the program that the prompt belongs to
	 * @param chain the chained digest of each message
	 * @param tokens the tokens of each message
	 * @return the tokens that were cached
	 */
	long use(String program, List<String> chain, List<Integer> tokens) {
		long cached = 0;
		boolean hit = true;
		for (int i = 0; i < chain.size(); i++) {
			Block block = this.blocks.get(chain.get(i));
			hit = hit && (block != null);
			if (hit) {
				cached += tokens.get(i);
			}
			if (block == null) {
				block = new Block(tokens.get(i), new HashSet<>());
				this.blocks.put(chain.get(i), block);
				this.used += tokens.get(i);
			}
			block.programs().add(program);
		}
		evict();
		return cached;
	}

	/**
	 * Drops what only one program uses.
	 * @param program the program
	 */
	void release(String program) {
		Iterator<Block> iterator = this.blocks.values().iterator();
		while (iterator.hasNext()) {
			Block block = iterator.next();
			if (block.programs().remove(program) && block.programs().isEmpty()) {
				this.used -= block.tokens();
				iterator.remove();
			}
		}
	}

	// Returns the tokens held for each program.
	Map<String, Long> byProgram() {
		Map<String, Long> held = new HashMap<>();
		this.blocks.values()
			.forEach((block) -> block.programs().forEach((p) -> held.merge(p, (long) block.tokens(), Long::sum)));
		return held;
	}

	private void evict() {
		Iterator<Block> iterator = this.blocks.values().iterator();
		while ((this.used > this.capacity) && iterator.hasNext()) {
			this.used -= iterator.next().tokens();
			iterator.remove();
		}
	}

	/**
	 * The tokens of one message after a certain history.
	 *
	 * @param tokens the number of tokens
	 * @param programs the programs that use them
	 */
	private record Block(int tokens, Set<String> programs) {
	}

}
