package org.mangorack.keeper;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The turns whose content is in memory and on disk. Once they take more than a given
 * size, the content of those that were written first is released: it is read from the
 * disk when it is needed. Not thread-safe.
 */
final class ResidentTurns {

	private final long maxBytes;

	// In the order in which they were written.
	private final Set<StoredTurn> turns = new LinkedHashSet<>();

	private long bytes;

	/**
	 * Creates an empty set.
	 * @param maxBytes the size of the content to keep in memory, in bytes
	 */
	ResidentTurns(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	long bytes() {
		return this.bytes;
	}

	/**
	 * Adds a turn that is synced to disk, and releases the content of others if there is
	 * too much.
	 * @param turn the turn
	 */
	void add(StoredTurn turn) {
		if (turn.hasContent() && this.turns.add(turn)) {
			this.bytes += turn.bytes();
		}
		Iterator<StoredTurn> oldest = this.turns.iterator();
		while ((this.bytes > this.maxBytes) && oldest.hasNext()) {
			StoredTurn released = oldest.next();
			oldest.remove();
			this.bytes -= released.bytes();
			released.releaseContent();
		}
	}

	/**
	 * Removes a turn that is not retained any further.
	 * @param turn the turn
	 */
	void remove(StoredTurn turn) {
		if (this.turns.remove(turn)) {
			this.bytes -= turn.bytes();
		}
	}

}
