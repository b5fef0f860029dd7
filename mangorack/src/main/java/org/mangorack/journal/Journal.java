package org.mangorack.journal;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.mangorack.journal.JournalException.Kind;
import org.mangorack.journal.proto.Entry;
import org.mangorack.journal.proto.Segment;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Invariants;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;
import org.mangorack.platform.WriteRateLimiter;

/**
 * Writes the journal of an instance to the object store. Entries that are appended while
 * a write is in progress are batched into the next segment. Segments are numbered
 * consecutively, and each is stored as an object that is created only if its name is
 * free, so the first instance to create a number determines its content: the owner
 * appends entries at the next number, and another instance seals the journal by creating
 * that number.
 */
public final class Journal implements AutoCloseable {

	/**
	 * Maximum size of an entry in bytes, before compression. Even an incompressible entry
	 * of this size stays below 1 MB once the segment is encoded.
	 */
	public static final int MAX_ENTRY_BYTES = 640 * 1024;

	private static final int MAX_SEGMENT_BYTES = 680 * 1024;

	private static final long MAX_BACKLOG_BYTES = 48L * 1024 * 1024;

	private static final Duration RETRY_DELAY = Duration.ofMillis(100);

	private final JournalId id;

	private final ObjectStore store;

	private final WriteRateLimiter budget;

	private final MonotonicClock clock;

	private final Metrics metrics;

	private final Runnable onSealed;

	private final Thread writer;

	private final Deque<PendingEntry> backlog = new ArrayDeque<>();

	private long backlogBytes;

	private long nextSegment;

	private long writtenBytes;

	private boolean sealed;

	private boolean closed;

	private volatile long stalledSince;

	/**
	 * Creates the writer of a new journal.
	 * @param id the journal
	 * @param store the object store
	 * @param budget limits the write rate
	 * @param clock the time source
	 * @param metrics the metrics of the instance
	 * @param onSealed called once, when another instance has sealed the journal
	 */
	public Journal(JournalId id, ObjectStore store, WriteRateLimiter budget, MonotonicClock clock, Metrics metrics,
			Runnable onSealed) {
		this.id = id;
		this.store = store;
		this.budget = budget;
		this.clock = clock;
		this.metrics = metrics;
		this.onSealed = onSealed;
		this.writer = new Thread(this::run, "journal");
		this.writer.setDaemon(true);
	}

	// ---- Life-cycle

	/**
	 * Starts the writer thread.
	 */
	public void start() {
		this.writer.start();
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		notifyAll();
		failPendingEntries(new JournalException(Kind.SEALED, "journal " + this.id + " is closed"));
	}

	// ---- Accessors

	/**
	 * Returns the identifier of this journal.
	 * @return the identifier
	 */
	public JournalId id() {
		return this.id;
	}

	/**
	 * Returns the number of the next segment to be written.
	 * @return the number of the next segment
	 */
	public synchronized long nextSegment() {
		return this.nextSegment;
	}

	/**
	 * Returns the number of bytes written since the last reset.
	 * @return the total size of the entries, before compression
	 */
	public synchronized long writtenBytes() {
		return this.writtenBytes;
	}

	/**
	 * Resets the counter of written bytes after older segments were deleted.
	 * @param bytes the size of the remaining entries
	 */
	public synchronized void resetWrittenBytes(long bytes) {
		this.writtenBytes = bytes;
	}

	/**
	 * Returns the size of the entries that are not durable yet.
	 * @return the size of the backlog in bytes
	 */
	public synchronized long backlogBytes() {
		return this.backlogBytes;
	}

	/**
	 * Returns whether writes have been failing for longer than a limit.
	 * @param limit the longest acceptable series of failed writes
	 * @return {@code true} if writes have failed continuously for longer than the limit
	 */
	public boolean isStalled(Duration limit) {
		long since = this.stalledSince;
		return (since != 0) && (this.clock.elapsed(since).compareTo(limit) > 0);
	}

	// ---- Public API

	/**
	 * Appends entries. They become durable together and in the order of the calls.
	 * @param entries the entries
	 * @return a future that completes when the entries are durable, or exceptionally with
	 * a {@link JournalException} if they will not become durable
	 */
	public synchronized CompletableFuture<Void> append(List<Entry> entries) {
		CompletableFuture<Void> done = new CompletableFuture<>();
		long size = entries.stream().mapToLong(Entry::getSerializedSize).sum();
		if (this.sealed || this.closed) {
			done.completeExceptionally(new JournalException(Kind.SEALED, "journal " + this.id + " is sealed"));
			return done;
		}
		if ((this.backlogBytes + size) > MAX_BACKLOG_BYTES) {
			done.completeExceptionally(new JournalException(Kind.BACKLOG_FULL, "journal " + this.id
					+ " is at its backlog limit: " + this.backlogBytes + " bytes are not durable yet"));
			return done;
		}
		for (int i = 0; i < entries.size(); i++) {
			CompletableFuture<Void> last = (i == entries.size() - 1) ? done : null;
			this.backlog.addLast(new PendingEntry(entries.get(i), last, this.clock.nanoTime()));
		}
		if (entries.isEmpty()) {
			done.complete(null);
		}
		this.backlogBytes += size;
		notifyAll();
		return done;
	}

	/**
	 * Waits until all appended entries are durable.
	 * @param limit the maximum time to wait
	 * @return {@code true} if the backlog became empty within the limit
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean flush(Duration limit) throws InterruptedException {
		long deadline = this.clock.nanoTime() + limit.toNanos();
		synchronized (this) {
			while (!this.backlog.isEmpty() && !isTerminated()) {
				long millis = (deadline - this.clock.nanoTime()) / 1_000_000;
				if (millis <= 0) {
					return false;
				}
				wait(millis);
			}
			return !isTerminated();
		}
	}

	// ---- Helpers

	private void run() {
		try {
			for (List<PendingEntry> batch = nextBatch(); !batch.isEmpty(); batch = nextBatch()) {
				write(batch);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private List<PendingEntry> nextBatch() throws InterruptedException {
		synchronized (this) {
			while (this.backlog.isEmpty() && !isTerminated()) {
				wait();
			}
		}
		awaitBudget();
		List<PendingEntry> batch = new ArrayList<>();
		synchronized (this) {
			int bytes = 0;
			for (PendingEntry p : this.backlog) {
				bytes += p.entry().getSerializedSize();
				if (!batch.isEmpty() && (bytes > MAX_SEGMENT_BYTES)) {
					break;
				}
				batch.add(p);
			}
			return isTerminated() ? List.of() : batch;
		}
	}

	private void awaitBudget() throws InterruptedException {
		for (Duration wait = this.budget.take(); !wait.isZero(); wait = this.budget.take()) {
			TimeUnit.NANOSECONDS.sleep(wait.toNanos());
		}
	}

	private synchronized boolean isTerminated() {
		return this.sealed || this.closed;
	}

	private void write(List<PendingEntry> batch) throws InterruptedException {
		Segment.Builder segment = Segment.newBuilder().setNonce(UUID.randomUUID().toString());
		batch.forEach((p) -> segment.addEntries(p.entry()));
		Segment built = segment.build();
		while (!isTerminated()) {
			Outcome outcome = tryCreate(built);
			if (outcome == Outcome.WRITTEN) {
				this.stalledSince = 0;
				complete(batch);
				return;
			}
			if (outcome == Outcome.SEALED) {
				seal();
				return;
			}
			if (this.stalledSince == 0) {
				this.stalledSince = this.clock.nanoTime();
			}
			TimeUnit.MILLISECONDS.sleep(RETRY_DELAY.toMillis());
			awaitBudget();
		}
	}

	private Outcome tryCreate(Segment segment) {
		String name = this.id.segmentName(this.nextSegment);
		this.metrics.count("mangorack.journal.writes", 1);
		try {
			this.store.create(ObjectKind.SEGMENT, name, SegmentCodec.encode(segment));
			return Outcome.WRITTEN;
		}
		catch (StoreException ex) {
			if (ex.reason() == StoreException.Reason.CONFLICT) {
				return resolveConflict(name, segment.getNonce());
			}
			EventLog.log(Event.JOURNAL_WRITE_FAILED, "segment", name, "cause", ex.getMessage());
			return Outcome.UNKNOWN;
		}
	}

	private Outcome resolveConflict(String name, String nonce) {
		try {
			Optional<StoredObject> stored = this.store.get(ObjectKind.SEGMENT, name);
			if (stored.isEmpty()) {
				return Outcome.SEALED;
			}
			Segment found = SegmentCodec.decode(name, stored.get().spec());
			if (found.getNonce().equals(nonce)) {
				return Outcome.WRITTEN;
			}
			Invariants.check(!found.getSealedBy().isEmpty(), "journal-has-one-writer", name);
			return Outcome.SEALED;
		}
		catch (StoreException | IOException ex) {
			EventLog.log(Event.JOURNAL_WRITE_FAILED, "segment", name, "cause", ex.getMessage());
			return Outcome.UNKNOWN;
		}
	}

	private void complete(List<PendingEntry> batch) {
		synchronized (this) {
			this.nextSegment++;
			for (PendingEntry p : batch) {
				this.backlog.removeFirst();
				this.backlogBytes -= p.entry().getSerializedSize();
				this.writtenBytes += p.entry().getSerializedSize();
			}
			notifyAll();
		}
		this.metrics.timer("mangorack.journal.durable").record(this.clock.elapsed(batch.get(0).appendedAt()));
		batch.stream().filter((p) -> p.done() != null).forEach((p) -> p.done().complete(null));
	}

	private void seal() {
		synchronized (this) {
			this.sealed = true;
			notifyAll();
		}
		failPendingEntries(new JournalException(Kind.SEALED, "journal " + this.id + " was sealed by another instance"));
		this.onSealed.run();
	}

	private void failPendingEntries(JournalException cause) {
		List<PendingEntry> rest;
		synchronized (this) {
			rest = new ArrayList<>(this.backlog);
			this.backlog.clear();
			this.backlogBytes = 0;
		}
		rest.stream().filter((p) -> p.done() != null).forEach((p) -> p.done().completeExceptionally(cause));
	}

	private enum Outcome {

		WRITTEN, SEALED, UNKNOWN

	}

	/**
	 * An appended entry that is not durable yet.
	 *
	 * @param entry the entry
	 * @param done completed when the entry is durable, or {@code null} if the entry is
	 * not the last one of its append
	 * @param appendedAt the monotonic time of the append, in nanoseconds
	 */
	private record PendingEntry(Entry entry, CompletableFuture<Void> done, long appendedAt) {
	}

}
