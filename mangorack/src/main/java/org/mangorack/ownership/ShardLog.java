package org.mangorack.ownership;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.mangorack.journal.proto.Entry;

/**
 * The journal as seen by one shard.
 */
public interface ShardLog {

	/**
	 * Appends entries under the shard's epoch.
	 * @param entries the entries, without shard and epoch
	 * @return completes when they are durable, or exceptionally with a
	 * {@link org.mangorack.journal.JournalException}
	 */
	CompletableFuture<Void> append(List<Entry> entries);

	/**
	 * Tells whether the shard had no owner before this one.
	 * @return {@code true} in the first epoch
	 */
	boolean isFirstOwner();

}
