package org.mangorack.keeper;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;

/**
 * The log of a keeper: numbered segment files that are only appended to and deleted as a
 * whole. Entries that arrive while a sync is under way share the next one. Each start
 * begins a new segment, so nothing follows an entry that a power loss tore.
 */
final class RecordLog implements AutoCloseable {

	/**
	 * Bytes after which a segment is followed by the next. Segments are deleted as a
	 * whole, so this bounds what an old entry holds back.
	 */
	static final int SEGMENT_BYTES = 4 * 1024 * 1024;

	private static final String SUFFIX = ".log";

	// Length and checksum before each entry.
	private static final int HEADER_BYTES = 8;

	private static final int MAX_ENTRY_BYTES = 64 * 1024 * 1024;

	private final Path folder;

	private final Consumer<Runnable> callbackExecutor;

	private final Thread writer;

	private final Deque<PendingEntry> queue = new ArrayDeque<>();

	private final Deque<Long> olderSegments = new ArrayDeque<>();

	private FileChannel channel;

	private volatile long segment;

	private long bytesInSegment;

	private boolean closed;

	/**
	 * Opens the log. Earlier segments are read by {@link #replay(BiConsumer)}.
	 * @param folder the folder of the segments
	 * @param callbackExecutor runs the callbacks of appends
	 * @throws IOException if the folder cannot be read or holds a file whose name is that
	 * of no segment
	 */
	RecordLog(Path folder, Consumer<Runnable> callbackExecutor) throws IOException {
		this.folder = folder;
		this.callbackExecutor = callbackExecutor;
		Files.createDirectories(folder);
		try (Stream<Path> files = Files.list(folder)) {
			List<String> names = files.map((file) -> file.getFileName().toString())
				.filter((name) -> name.endsWith(SUFFIX))
				.toList();
			List<Long> numbers = new ArrayList<>();
			for (String name : names) {
				numbers.add(segmentNumber(name));
			}
			numbers.stream().sorted().forEach(this.olderSegments::add);
		}
		this.segment = this.olderSegments.isEmpty() ? 1 : (this.olderSegments.peekLast() + 1);
		this.writer = new Thread(this::runWriter, "log-writer");
		this.writer.setDaemon(true);
	}

	// ---- Life-cycle

	/**
	 * Reads the entries of earlier segments.
	 * @param reader receives each entry with its segment
	 * @throws IOException if a segment cannot be read
	 */
	void replay(BiConsumer<Long, LogEntry> reader) throws IOException {
		for (long number : this.olderSegments) {
			ByteBuffer bytes = ByteBuffer.wrap(Files.readAllBytes(file(number)));
			while (bytes.remaining() >= HEADER_BYTES) {
				byte[] entry = readEntry(bytes);
				if (entry == null) {
					EventLog.log(Event.LOG_TORN, "segment", number, "position", bytes.position(), "bytes",
							bytes.limit());
					break;
				}
				reader.accept(number, LogEntry.parseFrom(entry));
			}
		}
	}

	/**
	 * Starts the writing thread.
	 * @throws IOException if the first segment cannot be created
	 */
	void start() throws IOException {
		openSegment();
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
		if (this.channel != null) {
			this.channel.close();
		}
	}

	// ---- Public API

	/**
	 * Returns the segment that the next entries go to, or an earlier one.
	 * @return the number of the segment
	 */
	long segment() {
		return this.segment;
	}

	/**
	 * Appends an entry.
	 * @param entry the entry
	 * @param done receives {@code null} once the entry is synced, or the failure
	 */
	void append(LogEntry entry, Consumer<IOException> done) {
		synchronized (this.queue) {
			this.queue.add(new PendingEntry(entry.toByteArray(), done));
			this.queue.notifyAll();
		}
	}

	/**
	 * Deletes the segments before a given one.
	 * @param firstToKeep the first segment to keep
	 */
	void deleteBefore(long firstToKeep) {
		while (!this.olderSegments.isEmpty() && (this.olderSegments.peekFirst() < firstToKeep)) {
			long number = this.olderSegments.pollFirst();
			try {
				Files.deleteIfExists(file(number));
			}
			catch (IOException ex) {
				EventLog.log(Event.LOG_FAILED, ex, "operation", "delete", "segment", number);
			}
		}
	}

	/**
	 * Returns the earlier segments that are not deleted yet.
	 * @return the number of the oldest one, or the present segment
	 */
	long oldest() {
		Long first = this.olderSegments.peekFirst();
		return (first != null) ? first : this.segment;
	}

	// ---- Helpers

	private long segmentNumber(String name) throws IOException {
		try {
			return Long.parseLong(name.substring(0, name.length() - SUFFIX.length()));
		}
		catch (NumberFormatException ex) {
			throw new IOException("file \"" + name + "\" of folder " + this.folder + " is no segment", ex);
		}
	}

	private Path file(long number) {
		return this.folder.resolve(String.format("%010d", number) + SUFFIX);
	}

	private void openSegment() throws IOException {
		this.channel = FileChannel.open(file(this.segment), StandardOpenOption.CREATE, StandardOpenOption.WRITE,
				StandardOpenOption.TRUNCATE_EXISTING);
		this.channel.force(true);
		this.bytesInSegment = 0;
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

	private static int checksum(byte[] entry) {
		CRC32C crc = new CRC32C();
		crc.update(entry);
		return (int) crc.getValue();
	}

	private void runWriter() {
		while (true) {
			List<PendingEntry> batch = takeBatch();
			if (batch.isEmpty()) {
				return;
			}
			IOException failure = null;
			try {
				write(batch);
			}
			catch (IOException ex) {
				EventLog.log(Event.LOG_FAILED, ex, "operation", "write", "segment", this.segment);
				failure = ex;
			}
			IOException outcome = failure;
			this.callbackExecutor.accept(() -> batch.forEach((p) -> p.done().accept(outcome)));
		}
	}

	private List<PendingEntry> takeBatch() {
		synchronized (this.queue) {
			while (this.queue.isEmpty() && !this.closed) {
				try {
					this.queue.wait();
				}
				catch (InterruptedException ex) {
					this.closed = true;
				}
			}
			List<PendingEntry> batch = new ArrayList<>(this.queue);
			this.queue.clear();
			return batch;
		}
	}

	private void write(List<PendingEntry> batch) throws IOException {
		if (this.bytesInSegment > SEGMENT_BYTES) {
			this.channel.close();
			long completedSegment = this.segment;
			this.segment = completedSegment + 1;
			openSegment();
			this.callbackExecutor.accept(() -> this.olderSegments.add(completedSegment));
		}
		int size = batch.stream().mapToInt((p) -> HEADER_BYTES + p.bytes().length).sum();
		ByteBuffer buffer = ByteBuffer.allocate(size);
		for (PendingEntry p : batch) {
			buffer.putInt(p.bytes().length).putInt(checksum(p.bytes())).put(p.bytes());
		}
		buffer.flip();
		while (buffer.hasRemaining()) {
			this.channel.write(buffer);
		}
		this.channel.force(false);
		this.bytesInSegment += size;
	}

	/**
	 * An entry that waits to be written.
	 *
	 * @param bytes the entry
	 * @param done receives the outcome
	 */
	private record PendingEntry(byte[] bytes, Consumer<IOException> done) {
	}

}
