package org.mangorack.ownership;

import java.util.List;

import org.mangorack.journal.proto.Entry;

/**
 * The state of a shard, held in memory by its owner and rebuilt from journal entries. It
 * must be changed only while holding the monitor of the replica. Replaying entries must
 * be idempotent.
 */
public interface ShardReplica {

	/**
	 * Applies a journal entry.
	 * @param entry the entry
	 */
	void replay(Entry entry);

	/**
	 * Called once after the last replayed entry, before the shard is served.
	 */
	void replayCompleted();

	/**
	 * Returns a snapshot of the state as journal entries.
	 * @return the entries that rebuild the state when replayed, oldest first
	 */
	List<Entry> liveEntries();

	/**
	 * Called when this instance stops serving the shard. Calls that are waiting for a
	 * resource allocated by the shard must be refused.
	 */
	default void servingStopped() {
	}

}
