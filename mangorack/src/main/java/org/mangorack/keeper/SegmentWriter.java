package org.mangorack.keeper;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;

/**
 * Writes the segments of a {@link RecordLog}, one after the other. A segment whose write
 * or sync failed is cut back to its last sync and never written again, because no entry
 * may follow a partially written one, and content that a failed sync has dropped may not
 * be written by the next sync either. Confined to the writer thread.
 */
final class SegmentWriter {

	private static final int BUFFER_BYTES = 256 * 1024;

	private final DiskFiles files;

	private final LongFunction<Path> fileOfSegment;

	private final CompletionListener listener;

	// Entries are copied to this buffer, because the channel would otherwise keep a
	// direct buffer of the size of the largest batch.
	private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);

	// Null until the segment is written to.
	private DiskFiles.OpenFile file;

	private volatile long segment;

	private long syncedBytes;

	/**
	 * Creates a writer that has not created a file yet.
	 * @param files the files of the disk
	 * @param fileOfSegment returns the path of a segment
	 * @param segment the number of the first segment to write
	 * @param listener is told of each segment that is not written any further
	 */
	SegmentWriter(DiskFiles files, LongFunction<Path> fileOfSegment, long segment, CompletionListener listener) {
		this.files = files;
		this.fileOfSegment = fileOfSegment;
		this.segment = segment;
		this.listener = listener;
	}

	/**
	 * Returns the segment that the next entry goes to, or one before it. May be called by
	 * any thread.
	 * @return the number of the segment
	 */
	long segment() {
		return this.segment;
	}

	/**
	 * Writes entries and syncs them to disk.
	 * @param entries the encoded entries
	 * @return where the entries are, in the same order
	 * @throws IOException if they may not be on disk. The next call writes to another
	 * segment
	 */
	List<EntryPosition> write(List<byte[]> entries) throws IOException {
		if (this.syncedBytes > RecordLog.SEGMENT_BYTES) {
			completeSegment();
		}
		boolean synced = false;
		try {
			openFile();
			List<EntryPosition> positions = new ArrayList<>();
			long end = this.syncedBytes;
			for (byte[] entry : entries) {
				int bytes = put(entry);
				positions.add(new EntryPosition(this.segment, end, bytes));
				end += bytes;
			}
			flush();
			this.file.sync();
			this.syncedBytes = end;
			synced = true;
			return positions;
		}
		finally {
			if (!synced) {
				abandonSegment();
			}
		}
	}

	void close() throws IOException {
		if (this.file != null) {
			this.file.close();
		}
	}

	private void openFile() throws IOException {
		if (this.file == null) {
			this.file = this.files.create(path());
			this.files.syncFolder(path().getParent());
		}
	}

	private Path path() {
		return this.fileOfSegment.apply(this.segment);
	}

	private int put(byte[] entry) throws IOException {
		if (this.buffer.remaining() < RecordLog.HEADER_BYTES) {
			flush();
		}
		this.buffer.putInt(entry.length).putInt(RecordLog.checksum(entry));
		for (int position = 0; position < entry.length;) {
			if (!this.buffer.hasRemaining()) {
				flush();
			}
			int count = Math.min(this.buffer.remaining(), entry.length - position);
			this.buffer.put(entry, position, count);
			position += count;
		}
		return RecordLog.HEADER_BYTES + entry.length;
	}

	private void flush() throws IOException {
		this.buffer.flip();
		this.file.write(this.buffer);
		this.buffer.clear();
	}

	private void abandonSegment() {
		this.buffer.clear();
		boolean deleted = false;
		try {
			if (this.file != null) {
				this.file.truncate(this.syncedBytes);
			}
			if (this.syncedBytes == 0) {
				this.files.delete(path());
				deleted = true;
			}
		}
		catch (IOException | RuntimeException ex) {
			EventLog.log(Event.LOG_FAILED, ex, "operation", "cut back", "segment", this.segment, "bytes",
					this.syncedBytes);
		}
		finally {
			endSegment(!deleted);
		}
	}

	private void completeSegment() {
		endSegment(true);
	}

	// All that the file holds and was confirmed is synced, so a failure to close it loses
	// nothing.
	private void endSegment(boolean exists) {
		try {
			close();
		}
		catch (IOException | RuntimeException ex) {
			EventLog.log(Event.LOG_FAILED, ex, "operation", "close", "segment", this.segment);
		}
		long ended = this.segment;
		long bytes = this.syncedBytes;
		this.file = null;
		this.syncedBytes = 0;
		this.segment = ended + 1;
		if (exists) {
			this.listener.completed(ended, bytes);
		}
	}

	/**
	 * Is told of segments that are not written any further.
	 */
	interface CompletionListener {

		/**
		 * Reports a segment that is not written any further.
		 * @param segment the number of the segment
		 * @param bytes its size in bytes
		 */
		void completed(long segment, long bytes);

	}

}
