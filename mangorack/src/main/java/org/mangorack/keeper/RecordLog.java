package org.mangorack.keeper;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;

/**
 * The append-only log of a keeper, made of numbered segment files. A segment is deleted
 * only as a whole. Entries that arrive during a sync are batched into the next one. Each
 * start and each write after a failed one open a new segment, so that no entry follows
 * one that is partially written.
 */
final class RecordLog implements AutoCloseable {

	/**
	 * The size in bytes after which a new segment is opened. Segments are deleted as a
	 * whole, so this limits how much disk space an old entry keeps from being freed.
	 */
	static final int SEGMENT_BYTES = 4 * 1024 * 1024;

	/**
	 * The time for which entries are rejected after a write failed. The first entry after
	 * that is written, which tells whether the disk takes entries again.
	 */
	static final Duration RETRY_DELAY = Duration.ofMillis(250);

	/**
	 * The size of the entries that wait to be written or are being written, in bytes,
	 * above which further ones are rejected. A single entry may be larger.
	 */
	static final int MAX_PENDING_BYTES = 16 * 1024 * 1024;

	/**
	 * The size of a batch in bytes. A batch of a single entry may be larger.
	 */
	static final int MAX_BATCH_BYTES = SEGMENT_BYTES;

	private static final String SUFFIX = ".log";

	// The length and the checksum that precede each entry.
	static final int HEADER_BYTES = 8;

	private static final int MAX_ENTRY_BYTES = 64 * 1024 * 1024;

	private final Path folder;

	private final Consumer<Runnable> callbackExecutor;

	private final DiskFiles files;

	private final MonotonicClock clock;

	private final Thread writer;

	private final Deque<PendingEntry> queue = new ArrayDeque<>();

	// The sizes in bytes of the segments that are no longer written to, by their numbers.
	private final TreeMap<Long, Long> olderSegments = new TreeMap<>();

	private long olderBytes;

	private final SegmentWriter segments;

	private long pendingBytes;

	private boolean closed;

	private volatile long unreadBytes;

	private volatile int tornSegments;

	// Null if the last write succeeded.
	private volatile Outage outage;

	private final AtomicLong rejected = new AtomicLong();

	/**
	 * Opens the log. Existing segments are read by {@link #replay(BiConsumer)}.
	 * @param folder the folder of the segments
	 * @param callbackExecutor runs the callbacks of appends
	 * @throws IOException if the folder cannot be read or contains a log file whose name
	 * is not a segment number
	 */
	RecordLog(Path folder, Consumer<Runnable> callbackExecutor) throws IOException {
		this(folder, callbackExecutor, DiskFiles.SYSTEM, MonotonicClock.SYSTEM);
	}

	/**
	 * Opens the log on the files of a given disk.
	 * @param folder the folder of the segments
	 * @param callbackExecutor runs the callbacks of appends
	 * @param files the files of the disk
	 * @param clock measures how long entries are rejected after a failure
	 * @throws IOException if the folder cannot be read or contains a log file whose name
	 * is not a segment number
	 */
	RecordLog(Path folder, Consumer<Runnable> callbackExecutor, DiskFiles files, MonotonicClock clock)
			throws IOException {
		this.folder = folder;
		this.callbackExecutor = callbackExecutor;
		this.files = files;
		this.clock = clock;
		files.createFolder(folder);
		for (String name : files.list(folder)) {
			if (name.endsWith(SUFFIX)) {
				long number = segmentNumber(name);
				addOlderSegment(number, files.size(file(number)));
			}
		}
		long next = this.olderSegments.isEmpty() ? 1 : (this.olderSegments.lastKey() + 1);
		this.segments = new SegmentWriter(files, this::file, next,
				(segment, bytes) -> execute(() -> addOlderSegment(segment, bytes)));
		this.writer = new Thread(this::runWriter, "log-writer");
		this.writer.setDaemon(true);
	}

	// ---- Life-cycle

	/**
	 * Reads the entries of the segments that earlier starts wrote. A corrupt or partially
	 * written entry ends its segment: nothing that follows was confirmed, and the content
	 * of a turn may look like an entry. What is read is on disk, also if the earlier
	 * start was killed before a sync.
	 * @param reader receives each entry with its position
	 * @return what was read
	 * @throws IOException if a segment cannot be read, or the last one not be synced
	 */
	Replay replay(BiConsumer<EntryPosition, LogEntry> reader) throws IOException {
		long startedAt = this.clock.nanoTime();
		if (!this.olderSegments.isEmpty()) {
			this.files.sync(file(this.olderSegments.lastKey()));
		}
		for (long number : this.olderSegments.keySet()) {
			ByteBuffer bytes = ByteBuffer.wrap(this.files.read(file(number)));
			while (bytes.remaining() >= HEADER_BYTES) {
				int offset = bytes.position();
				byte[] entry = readEntry(bytes);
				if (entry == null) {
					break;
				}
				reader.accept(new EntryPosition(number, offset, bytes.position() - offset), LogEntry.parseFrom(entry));
			}
			if (bytes.hasRemaining()) {
				reportTorn(number, bytes);
			}
		}
		return new Replay(this.olderSegments.size(), this.olderBytes, this.clock.elapsed(startedAt));
	}

	/**
	 * Starts the writer thread.
	 */
	void start() {
		this.writer.start();
	}

	@Override
	public void close() throws IOException {
		synchronized (this.queue) {
			this.closed = true;
			this.queue.notifyAll();
		}
		try {
			this.writer.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.segments.close();
	}

	// ---- Public API

	/**
	 * Returns the current segment. An entry that is appended afterwards goes to this
	 * segment or a later one.
	 * @return the number of the segment
	 */
	long segment() {
		return this.segments.segment();
	}

	/**
	 * Returns why an entry would be rejected if it was appended now, and counts it as
	 * rejected if there is a reason.
	 * @param bytes the size of the encoded entry in bytes
	 * @return the reason, or {@code null} if the entry would be written
	 */
	IOException rejection(int bytes) {
		IOException reason = reasonToReject(bytes);
		if (reason != null) {
			this.rejected.incrementAndGet();
		}
		return reason;
	}

	/**
	 * Appends an entry, or rejects it at once.
	 * @param entry the entry
	 * @param done receives {@code null} once the entry is synced to disk, or the failure.
	 * Always called by the executor of callbacks
	 */
	void append(LogEntry entry, Consumer<IOException> done) {
		appendAt(entry, (position, failure) -> done.accept(failure));
	}

	/**
	 * Appends an entry, or rejects it at once.
	 * @param entry the entry
	 * @param done receives the position of the entry once it is synced to disk, or
	 * {@code null} and the failure. Always called by the executor of callbacks
	 */
	void appendAt(LogEntry entry, BiConsumer<EntryPosition, IOException> done) {
		IOException rejection = rejection(entry.getSerializedSize());
		if (rejection != null) {
			this.callbackExecutor.accept(() -> done.accept(null, rejection));
			return;
		}
		PendingEntry pending = new PendingEntry(entry.toByteArray(), done);
		synchronized (this.queue) {
			this.queue.add(pending);
			this.pendingBytes += pending.size();
			this.queue.notifyAll();
		}
	}

	/**
	 * Reads an entry.
	 * @param position the position of the entry
	 * @return the entry
	 * @throws IOException if it cannot be read
	 */
	LogEntry read(EntryPosition position) throws IOException {
		ByteBuffer bytes = ByteBuffer
			.wrap(this.files.read(file(position.segment()), position.offset(), position.bytes()));
		byte[] entry = (bytes.remaining() == position.bytes()) ? readEntry(bytes) : null;
		if (entry == null) {
			throw new IOException("no whole entry at " + position + " of the log in " + this.folder);
		}
		return LogEntry.parseFrom(entry);
	}

	/**
	 * Writes some of the entries that are waiting and reports the outcome. After a
	 * failure all entries that are waiting fail. Called by the writer thread.
	 */
	void writeNextBatch() {
		List<PendingEntry> batch = takeBatch(MAX_BATCH_BYTES);
		if (batch.isEmpty()) {
			return;
		}
		long segment = segment();
		List<EntryPosition> positions = new ArrayList<>();
		Throwable failure = write(batch, positions);
		if (failure != null) {
			startOutage(failure);
			batch.addAll(takeBatch(Long.MAX_VALUE));
		}
		release(batch);
		IOException outcome = (failure != null) ? this.outage.cause() : null;
		execute(() -> {
			for (int i = 0; i < batch.size(); i++) {
				report(batch.get(i), (outcome != null) ? null : positions.get(i), outcome);
			}
		});
		logOutcome(segment, failure);
	}

	/**
	 * Deletes the segments before a given one. Those that cannot be deleted are left to
	 * the next call.
	 * @param firstToKeep the number of the first segment to keep
	 */
	void deleteBefore(long firstToKeep) {
		Iterator<Map.Entry<Long, Long>> older = this.olderSegments.headMap(firstToKeep).entrySet().iterator();
		while (older.hasNext()) {
			Map.Entry<Long, Long> segment = older.next();
			try {
				this.files.delete(file(segment.getKey()));
				this.olderBytes -= segment.getValue();
				older.remove();
			}
			catch (IOException ex) {
				EventLog.log(Event.LOG_FAILED, ex, "operation", "delete", "segment", segment.getKey());
			}
		}
	}

	/**
	 * Returns the oldest segment that is not deleted yet.
	 * @return the number of the segment, which may be the current one
	 */
	long oldest() {
		return this.olderSegments.isEmpty() ? segment() : this.olderSegments.firstKey();
	}

	/**
	 * Returns the size of the segments before the current one.
	 * @return the size in bytes
	 */
	long olderBytes() {
		return this.olderBytes;
	}

	// ---- Metrics

	/**
	 * Returns the size of the entries that wait to be written or are being written.
	 * @return the size in bytes
	 */
	long pendingBytes() {
		synchronized (this.queue) {
			return this.pendingBytes;
		}
	}

	/**
	 * Returns how many segments {@link #replay(BiConsumer)} read only in part.
	 * @return the number of segments
	 */
	int tornSegments() {
		return this.tornSegments;
	}

	/**
	 * Returns the size of what {@link #replay(BiConsumer)} did not read.
	 * @return the size in bytes
	 */
	long unreadBytes() {
		return this.unreadBytes;
	}

	/**
	 * Returns for how long writes have been failing.
	 * @return the time since the first of them, or zero if the last write succeeded
	 */
	Duration failingTime() {
		Outage current = this.outage;
		return (current != null) ? this.clock.elapsed(current.since()) : Duration.ZERO;
	}

	/**
	 * Returns how many entries were rejected without an attempt to write them.
	 * @return the number of entries since the start
	 */
	long rejectedEntries() {
		return this.rejected.get();
	}

	/**
	 * Returns the room that is left on the disk of the log.
	 * @return the size in bytes, or -1 if it is unknown
	 */
	long roomBytes() {
		try {
			return this.files.roomBytes(this.folder);
		}
		catch (IOException | RuntimeException ex) {
			return -1;
		}
	}

	// ---- Helpers

	private IOException reasonToReject(int bytes) {
		if (bytes > MAX_ENTRY_BYTES) {
			return new IOException("entry of " + bytes + " bytes exceeds the limit of " + MAX_ENTRY_BYTES
					+ " bytes of the log in " + this.folder);
		}
		Outage current = this.outage;
		if ((current != null) && (this.clock.nanoTime() - current.retryAt() < 0)) {
			return new IOException("log in " + this.folder + " is not written since its disk failed "
					+ failingTime().toMillis() + " ms ago", current.cause());
		}
		long pending = pendingBytes();
		if ((pending > 0) && (pending + bytes > MAX_PENDING_BYTES)) {
			return new IOException(
					"log in " + this.folder + " has " + pending + " bytes to write, no room for " + bytes + " more");
		}
		return null;
	}

	private void addOlderSegment(long number, long bytes) {
		this.olderSegments.put(number, bytes);
		this.olderBytes += bytes;
	}

	private void reportTorn(long number, ByteBuffer bytes) {
		this.tornSegments++;
		this.unreadBytes += bytes.remaining();
		EventLog.log(Event.LOG_TORN, "segment", number, "position", bytes.position(), "bytes", bytes.limit(),
				"unreadBytes", bytes.remaining());
	}

	// Errors are caught as well: entries would wait forever if the writer thread ended.
	private Throwable write(List<PendingEntry> batch, List<EntryPosition> positions) {
		try {
			positions.addAll(this.segments.write(batch.stream().map(PendingEntry::bytes).toList()));
			return null;
		}
		catch (IOException | RuntimeException | Error ex) {
			// An interrupt would close every channel that is used later.
			Thread.interrupted();
			return ex;
		}
	}

	private void startOutage(Throwable failure) {
		IOException cause = (failure instanceof IOException ex) ? ex
				: new IOException("log in " + this.folder + " could not be written", failure);
		long now = this.clock.nanoTime();
		long since = (this.outage != null) ? this.outage.since() : now;
		this.outage = new Outage(cause, since, now + RETRY_DELAY.toNanos());
	}

	private void logOutcome(long segment, Throwable failure) {
		if (failure != null) {
			EventLog.log(Event.LOG_FAILED, failure, "operation", "write", "segment", segment, "failingMillis",
					failingTime().toMillis(), "roomBytes", roomBytes());
		}
		else if (this.outage != null) {
			Duration failing = failingTime();
			this.outage = null;
			EventLog.log(Event.LOG_RECOVERED, "segment", segment(), "failingMillis", failing.toMillis(), "rejected",
					this.rejected.get());
		}
	}

	private static void report(PendingEntry entry, EntryPosition position, IOException outcome) {
		try {
			entry.done().accept(position, outcome);
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "task", "log callback");
		}
	}

	// Runs a task by the executor of callbacks, again if there is no memory for it now.
	private void execute(Runnable task) {
		while (true) {
			try {
				this.callbackExecutor.accept(task);
				return;
			}
			catch (OutOfMemoryError ex) {
				LockSupport.parkNanos(RETRY_DELAY.toNanos());
			}
		}
	}

	private long segmentNumber(String name) throws IOException {
		try {
			return Long.parseLong(name.substring(0, name.length() - SUFFIX.length()));
		}
		catch (NumberFormatException ex) {
			throw new IOException(
					"unexpected file \"" + name + "\" in log folder " + this.folder + ": name is not a segment number",
					ex);
		}
	}

	private Path file(long number) {
		return this.folder.resolve(String.format("%010d", number) + SUFFIX);
	}

	private static byte[] readEntry(ByteBuffer bytes) {
		int length = bytes.getInt(bytes.position());
		int checksum = bytes.getInt(bytes.position() + 4);
		if ((length <= 0) || (length > MAX_ENTRY_BYTES) || (length > bytes.remaining() - HEADER_BYTES)) {
			return null;
		}
		byte[] entry = new byte[length];
		bytes.get(bytes.position() + HEADER_BYTES, entry);
		if (checksum(entry) != checksum) {
			return null;
		}
		bytes.position(bytes.position() + HEADER_BYTES + length);
		return entry;
	}

	static int checksum(byte[] entry) {
		CRC32C crc = new CRC32C();
		crc.update(entry);
		return (int) crc.getValue();
	}

	private void runWriter() {
		while (awaitEntries()) {
			try {
				writeNextBatch();
			}
			catch (RejectedExecutionException ex) {
				// The event loop has ended, and with it all that waits for outcomes.
			}
			catch (RuntimeException | Error ex) {
				logQuietly(ex);
			}
		}
	}

	private static void logQuietly(Throwable cause) {
		try {
			EventLog.log(Event.INTERNAL_ERROR, cause, "task", "log writer");
		}
		catch (RuntimeException | Error ex) {
			// No memory to log that there is no memory.
		}
	}

	// Returns false once the log is closed and all entries are written.
	private boolean awaitEntries() {
		synchronized (this.queue) {
			while (this.queue.isEmpty() && !this.closed) {
				try {
					this.queue.wait();
				}
				catch (InterruptedException ex) {
					// Only close() ends the thread.
				}
			}
			return !this.queue.isEmpty();
		}
	}

	private List<PendingEntry> takeBatch(long maxBytes) {
		synchronized (this.queue) {
			List<PendingEntry> batch = new ArrayList<>();
			long bytes = 0;
			while (!this.queue.isEmpty() && (batch.isEmpty() || (bytes + this.queue.peek().size() <= maxBytes))) {
				bytes += this.queue.peek().size();
				batch.add(this.queue.poll());
			}
			return batch;
		}
	}

	private void release(List<PendingEntry> batch) {
		synchronized (this.queue) {
			batch.forEach((p) -> this.pendingBytes -= p.size());
		}
	}

	/**
	 * What a start read of the log.
	 *
	 * @param segments the number of segments
	 * @param bytes the size of the segments in bytes, including what is corrupt
	 * @param time the time that reading took, including that of the reader of the entries
	 */
	record Replay(int segments, long bytes, Duration time) {
	}

	/**
	 * The time in which writes fail.
	 *
	 * @param cause the latest failure
	 * @param since when the first write failed, on the clock of the log in nanoseconds
	 * @param retryAt when the next write is tried, on the same clock
	 */
	private record Outage(IOException cause, long since, long retryAt) {
	}

	/**
	 * An entry that is waiting to be written.
	 *
	 * @param bytes the encoded entry
	 * @param done receives the position of the entry once it is synced to disk, or the
	 * failure
	 */
	private record PendingEntry(byte[] bytes, BiConsumer<EntryPosition, IOException> done) {

		int size() {
			return HEADER_BYTES + this.bytes.length;
		}

	}

}
