package org.mangorack.bench.emulator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangorack.bench.emulator.load.PromptPart;

/**
 * The parts of prompts that an engine holds. Parts that running requests use stay; of the
 * others, the least recently used yield first.
 */
final class PromptCache {

	// In the order of their last use.
	private final Map<Long, Held> parts = new LinkedHashMap<>(64, 0.75f, true);

	private int tokens;

	private int unused;

	/**
	 * Returns the memory in use.
	 * @return the tokens of all parts
	 */
	int tokens() {
		return this.tokens;
	}

	/**
	 * Returns the memory that can yield.
	 * @return the tokens of parts that no running request uses
	 */
	int unusedTokens() {
		return this.unused;
	}

	/**
	 * Counts the parts that need not be read: those that are held with all parts before
	 * them.
	 * @param prompt the prompt
	 * @return the number of parts
	 */
	int held(List<PromptPart> prompt) {
		int count = 0;
		while ((count < prompt.size()) && this.parts.containsKey(prompt.get(count).id())) {
			count++;
		}
		return count;
	}

	/**
	 * Begins to use parts, and stores those that are missing. Earlier parts yield after
	 * later ones, which are of no use without them.
	 * @param used the parts
	 */
	void use(List<PromptPart> used) {
		for (int i = used.size() - 1; i >= 0; i--) {
			PromptPart part = used.get(i);
			Held held = this.parts.get(part.id());
			if (held == null) {
				held = new Held(part.tokens());
				this.parts.put(part.id(), held);
				this.tokens += part.tokens();
			}
			else if (held.users == 0) {
				this.unused -= part.tokens();
			}
			held.users++;
		}
	}

	/**
	 * Ends the use of parts.
	 * @param used the parts
	 */
	void release(List<PromptPart> used) {
		for (int i = used.size() - 1; i >= 0; i--) {
			Held held = this.parts.get(used.get(i).id());
			held.users--;
			if (held.users == 0) {
				this.unused += held.tokens;
			}
		}
	}

	/**
	 * Drops parts that are not used.
	 * @param wanted the tokens to be freed at least
	 */
	void evict(int wanted) {
		int freed = 0;
		Iterator<Held> held = this.parts.values().iterator();
		while ((freed < wanted) && held.hasNext()) {
			Held next = held.next();
			if (next.users == 0) {
				held.remove();
				freed += next.tokens;
			}
		}
		this.tokens -= freed;
		this.unused -= freed;
	}

	/**
	 * A part in memory.
	 */
	private static final class Held {

		private final int tokens;

		private int users;

		private Held(int tokens) {
			this.tokens = tokens;
		}

	}

}
