package org.mangorack.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.mangorack.journal.Journal;
import org.mangorack.journal.JournalReader;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.platform.StoreException;

/**
 * Replaces the older segments of a journal by a checkpoint of its live entries, so that
 * the cost of a takeover depends on the size of the live state and not on the age of the
 * journal.
 */
final class JournalCompactor {

	private static final long MIN_GARBAGE_BYTES = 4L * 1024 * 1024;

	private static final Duration CHECKPOINT_TIMEOUT = Duration.ofMinutes(2);

	private static final Duration LEASE_WRITE_TIMEOUT = Duration.ofSeconds(10);

	private final Journal journal;

	private final JournalReader reader;

	private final LeaseManager lease;

	private long liveBytes;

	JournalCompactor(Journal journal, JournalReader reader, LeaseManager lease) {
		this.journal = journal;
		this.reader = reader;
		this.lease = lease;
	}

	/**
	 * Returns whether the journal contains more obsolete than live data, beyond a fixed
	 * minimum of obsolete bytes.
	 * @return {@code true} if the journal should be compacted
	 */
	boolean shouldCompact() {
		return this.journal.writtenBytes() > (2 * this.liveBytes) + MIN_GARBAGE_BYTES;
	}

	/**
	 * Writes a checkpoint, records its first segment in the lease and deletes the earlier
	 * segments. Must not run during the handover of a shard.
	 * @param shards all shards that are served from this journal
	 * @throws StoreException if a call to the platform fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	void compact(List<? extends OwnedShard<?>> shards) throws StoreException, InterruptedException {
		long oldFirst = this.lease.firstSegment();
		long newFirst = this.journal.nextSegment();
		long before = this.journal.writtenBytes();
		List<CompletableFuture<Void>> writes = new ArrayList<>();
		shards.forEach((shard) -> writes.add(shard.appendLiveEntries()));
		if (!await(writes)) {
			return;
		}
		this.liveBytes = this.journal.writtenBytes() - before;
		this.journal.resetWrittenBytes(this.liveBytes);
		this.lease.requestUpdate(this.lease.phase(), newFirst);
		if (awaitLease(newFirst)) {
			this.reader.delete(this.journal.id(), oldFirst, newFirst);
			EventLog.log(Event.JOURNAL_COMPACTED, "journal", this.journal.id(), "firstSegment", newFirst, "liveBytes",
					this.liveBytes);
		}
	}

	private boolean await(List<CompletableFuture<Void>> writes) throws InterruptedException {
		try {
			CompletableFuture.allOf(writes.toArray(new CompletableFuture<?>[0]))
				.get(CHECKPOINT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
			return true;
		}
		catch (ExecutionException | TimeoutException ex) {
			return false;
		}
	}

	private boolean awaitLease(long newFirst) throws InterruptedException {
		long deadline = System.nanoTime() + LEASE_WRITE_TIMEOUT.toNanos();
		while (this.lease.firstSegment() < newFirst) {
			if (System.nanoTime() > deadline) {
				return false;
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
		return true;
	}

}
