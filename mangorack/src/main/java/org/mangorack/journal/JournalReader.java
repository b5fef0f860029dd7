package org.mangorack.journal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;

import org.mangorack.journal.proto.Entry;
import org.mangorack.journal.proto.Segment;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * Reads and seals journals of other instances and deletes their segments.
 */
public final class JournalReader {

	private static final int MAX_PARALLEL_READS = 8;

	private final ObjectStore store;

	private final Executor executor;

	/**
	 * Creates a reader.
	 * @param store the object store
	 * @param executor runs parallel reads
	 */
	public JournalReader(ObjectStore store, Executor executor) {
		this.store = store;
		this.executor = executor;
	}

	// ---- Public API

	/**
	 * Reads all segments of a journal.
	 * @param id the journal
	 * @param first the number of its first segment
	 * @return the content
	 * @throws StoreException if the platform does not answer
	 * @throws IOException if a segment cannot be decoded
	 */
	public Content read(JournalId id, long first) throws StoreException, IOException {
		Content content = new Content(new ArrayList<>(), first, false);
		int batchSize = 1;
		while (true) {
			List<Optional<Segment>> segments = readRange(id, content.next(), batchSize);
			for (Optional<Segment> segment : segments) {
				if (segment.isEmpty()) {
					return content;
				}
				content.entries().addAll(segment.get().getEntriesList());
				boolean isSeal = !segment.get().getSealedBy().isEmpty();
				content = new Content(content.entries(), content.next() + 1, isSeal);
				if (isSeal) {
					return content;
				}
			}
			batchSize = Math.min(MAX_PARALLEL_READS, batchSize * 2);
		}
	}

	/**
	 * Seals a journal, which prevents its writer from appending more entries, and reads
	 * it.
	 * @param id the journal
	 * @param first the number of its first segment
	 * @param sealer the journal of the sealing instance
	 * @return the final content
	 * @throws StoreException if the platform does not answer
	 * @throws IOException if a segment cannot be decoded
	 */
	public Content seal(JournalId id, long first, JournalId sealer) throws StoreException, IOException {
		Segment seal = Segment.newBuilder()
			.setNonce(UUID.randomUUID().toString())
			.setSealedBy(sealer.toString())
			.build();
		Content content = read(id, first);
		while (!content.sealed()) {
			try {
				this.store.create(ObjectKind.SEGMENT, id.segmentName(content.next()), SegmentCodec.encode(seal));
				EventLog.log(Event.JOURNAL_SEALED, "journal", id, "segments", content.next() - first);
				return new Content(content.entries(), content.next() + 1, true);
			}
			catch (StoreException ex) {
				if (ex.reason() != StoreException.Reason.CONFLICT) {
					throw ex;
				}
			}
			Content rest = read(id, content.next());
			content.entries().addAll(rest.entries());
			content = new Content(content.entries(), rest.next(), rest.sealed());
		}
		return content;
	}

	/**
	 * Deletes a range of segments of a journal.
	 * @param id the journal
	 * @param from the number of the first segment to delete
	 * @param to the number of the segment after the last one to delete
	 * @throws StoreException if the platform does not answer
	 */
	public void delete(JournalId id, long from, long to) throws StoreException {
		for (long n = from; n < to; n++) {
			try {
				this.store.delete(ObjectKind.SEGMENT, id.segmentName(n), null);
			}
			catch (StoreException ex) {
				if (ex.reason() != StoreException.Reason.NOT_FOUND) {
					throw ex;
				}
			}
		}
	}

	// ---- Helpers

	private List<Optional<Segment>> readRange(JournalId id, long from, int count) throws StoreException, IOException {
		if (count == 1) {
			return List.of(readOne(id.segmentName(from)));
		}
		List<CompletableFuture<Optional<Segment>>> reads = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			String name = id.segmentName(from + i);
			reads.add(CompletableFuture.supplyAsync(() -> readUnchecked(name), this.executor));
		}
		List<Optional<Segment>> segments = new ArrayList<>();
		try {
			reads.forEach((read) -> segments.add(read.join()));
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof UncheckedStoreException failure) {
				throw failure.storeCause();
			}
			throw new IOException("failed to read journal " + id + ": " + ex.getMessage(), ex);
		}
		return segments;
	}

	private Optional<Segment> readUnchecked(String name) {
		try {
			return readOne(name);
		}
		catch (StoreException ex) {
			throw new UncheckedStoreException(ex);
		}
		catch (IOException ex) {
			throw new CompletionException(ex);
		}
	}

	private Optional<Segment> readOne(String name) throws StoreException, IOException {
		Optional<StoredObject> stored = this.store.get(ObjectKind.SEGMENT, name);
		if (stored.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(SegmentCodec.decode(name, stored.get().spec()));
	}

	/**
	 * The content of a journal.
	 *
	 * @param entries the entries in the order in which they were appended
	 * @param next the number of the segment after the last one read
	 * @param sealed whether the journal is sealed
	 */
	public record Content(List<Entry> entries, long next, boolean sealed) {
	}

	/**
	 * Wraps a {@link StoreException} thrown by a parallel read.
	 */
	private static final class UncheckedStoreException extends RuntimeException {

		private final transient StoreException storeCause;

		private UncheckedStoreException(StoreException cause) {
			super(cause);
			this.storeCause = cause;
		}

		private StoreException storeCause() {
			return this.storeCause;
		}

	}

}
