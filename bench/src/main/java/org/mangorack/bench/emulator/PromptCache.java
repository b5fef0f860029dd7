package org.mangorack.bench.emulator;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangorack.bench.emulator.load.PromptPart;

/**
 * The prompt cache of an engine. Parts in use by running requests are pinned; other parts
 * are evicted in least recently used order.
 */
final class PromptCache {

	// In least recently used order.
	private final Map<Long, CachedPart> parts = new LinkedHashMap<>(64, 0.75f, true);

	private int tokens;

	private int unused;

	/**
	 * Returns the memory in use.
	 * @return the number of tokens of all parts
	 */
	int tokens() {
		return this.tokens;
	}

	/**
	 * Returns the memory that can be evicted.
	 * @return the number of tokens of parts that no running request uses
	 */
	int unusedTokens() {
		return this.unused;
	}

	/**
	 * Returns the length of the longest cached prefix, which need not be processed again.
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
	 * Pins parts, and adds those that are missing. Earlier parts are evicted after later
	 * ones, which are useless without them.
	 * @param used the parts
	 */
	void use(List<PromptPart> used) {
		for (int i = used.size() - 1; i >= 0; i--) {
			PromptPart part = used.get(i);
			CachedPart held = this.parts.get(part.id());
			if (held == null) {
				held = new CachedPart(part.tokens());
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
	 * Unpins parts.
	 * @param used the parts
	 */
	void release(List<PromptPart> used) {
		for (int i = used.size() - 1; i >= 0; i--) {
			CachedPart held = this.parts.get(used.get(i).id());
			held.users--;
			if (held.users == 0) {
				this.unused += held.tokens;
			}
		}
	}

	/**
	 * Evicts unpinned parts.
	 * @param wanted the minimum number of tokens to free
	 */
	void evict(int wanted) {
		int freed = 0;
		Iterator<CachedPart> held = this.parts.values().iterator();
		while ((freed < wanted) && held.hasNext()) {
			CachedPart next = held.next();
			if (next.users == 0) {
				held.remove();
				freed += next.tokens;
			}
		}
		this.tokens -= freed;
		this.unused -= freed;
	}

	/**
	 * A cached part.
	 */
	private static final class CachedPart {

		private final int tokens;

		private int users;

		private CachedPart(int tokens) {
			this.tokens = tokens;
		}

	}

}
