package org.mangorack.bench.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The prefix cache of a model engine: an LRU cache of blocks of prompt tokens with a
 * limited capacity. Not thread-safe.
 */
final class PrefixCache {

	private final long capacity;

	private final LinkedHashMap<String, Block> blocks = new LinkedHashMap<>(64, 0.75f, true);

	private long used;

	PrefixCache(long capacity) {
		this.capacity = capacity;
	}

	/**
	 * Looks up the longest cached prefix of a prompt, and caches the whole prompt.
	 * @param program the program to which the prompt belongs
	 * @param prefixDigests the digest of each message, chained with those of its
	 * predecessors
	 * @param tokens the number of tokens of each message
	 * @return the number of tokens in the cached prefix
	 */
	long lookUpAndCache(String program, List<String> prefixDigests, List<Integer> tokens) {
		long cached = 0;
		boolean hit = true;
		for (int i = 0; i < prefixDigests.size(); i++) {
			Block block = this.blocks.get(prefixDigests.get(i));
			hit = hit && (block != null);
			if (hit) {
				cached += tokens.get(i);
			}
			if (block == null) {
				block = new Block(tokens.get(i), new HashSet<>());
				this.blocks.put(prefixDigests.get(i), block);
				this.used += tokens.get(i);
			}
			block.programs().add(program);
		}
		evict();
		return cached;
	}

	/**
	 * Evicts the blocks that are used by no other program.
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

	// Returns the number of cached tokens by program; shared blocks count for each.
	Map<String, Long> tokensByProgram() {
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
	 * The cached tokens of one message, valid for one sequence of preceding messages.
	 *
	 * @param tokens the number of tokens
	 * @param programs the programs that use the block
	 */
	private record Block(int tokens, Set<String> programs) {
	}

}
