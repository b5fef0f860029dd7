package org.mangorack.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.mangorack.journal.proto.Entry;

/**
 * A view of the journal for one shard.
 */
public interface ShardLog {

	/**
	 * Appends entries under the shard's epoch.
	 * @param entries the entries; shard and epoch are set by this method
	 * @return completes when the entries are durable, or exceptionally with a
	 * {@link org.mangorack.journal.JournalException}
	 */
	CompletableFuture<Void> append(List<Entry> entries);

	/**
	 * Returns whether the shard had no owner before this one.
	 * @return {@code true} in the first epoch
	 */
	boolean isFirstOwner();

}
