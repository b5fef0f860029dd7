package org.mangorack.ownership;

import java.util.List;

import org.mangorack.journal.proto.Entry;

/**
 * The state of a shard, kept in memory by its owner and rebuilt from journal entries. All
 * changes happen while holding the monitor of the replica. Replaying entries must be
 * idempotent.
 */
public interface ShardReplica {

	/**
	 * Applies an entry that was read from a journal.
	 * @param entry the entry
	 */
	void replay(Entry entry);

	/**
	 * Called once after the last replayed entry, before the shard is served.
	 */
	void replayed();

	/**
	 * Returns entries that rebuild the state when replayed.
	 * @return the entries, oldest first
	 */
	List<Entry> liveEntries();

	/**
	 * Called when this instance does not own the shard any more. Calls that wait for
	 * something the shard grants must be sent away.
	 */
	default void closed() {
	}

}
