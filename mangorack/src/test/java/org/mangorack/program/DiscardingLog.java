package org.mangorack.program;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.mangorack.journal.proto.Entry;
import org.mangorack.ownership.ShardLog;

/**
 * A journal that keeps nothing.
 */
final class DiscardingLog implements ShardLog {

	@Override
	public CompletableFuture<Void> append(List<Entry> added) {
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public boolean isFirstOwner() {
		return true;
	}

}
