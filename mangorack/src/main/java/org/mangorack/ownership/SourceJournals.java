package org.mangorack.ownership;

import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.mangorack.journal.JournalId;
import org.mangorack.journal.JournalReader;
import org.mangorack.journal.proto.Entry;
import org.mangorack.member.LeaseRecord;
import org.mangorack.ownership.ShardRecord.Source;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;

/**
 * Seals and reads the journals of previous shard owners.
 */
final class SourceJournals {

	private final ObjectStore store;

	private final JournalReader reader;

	private final JournalId self;

	private final Map<JournalId, JournalReader.Content> sealed = new ConcurrentHashMap<>();

	SourceJournals(ObjectStore store, JournalReader reader, JournalId self) {
		this.store = store;
		this.reader = reader;
		this.self = self;
	}

	/**
	 * Seals the journal of a dead run and caches its content.
	 * @param journal the journal
	 * @throws StoreException if a call to the platform fails
	 * @throws IOException if the journal cannot be read
	 */
	void seal(JournalId journal) throws StoreException, IOException {
		if (!this.sealed.containsKey(journal)) {
			this.sealed.put(journal, readStable(journal, (first) -> this.reader.seal(journal, first, this.self)));
		}
	}

	/**
	 * Reads the source journals of shards.
	 * @param records the records of the shards
	 * @return the entries by journal
	 * @throws StoreException if a call to the platform fails
	 * @throws IOException if a journal cannot be read
	 */
	Map<JournalId, List<Entry>> read(Collection<ShardRecord> records) throws StoreException, IOException {
		Map<JournalId, List<Entry>> journals = new HashMap<>();
		for (ShardRecord record : records) {
			for (Source source : record.sources()) {
				if (!journals.containsKey(source.journal())) {
					journals.put(source.journal(), read(source.journal()));
				}
			}
		}
		return journals;
	}

	/**
	 * Clears the cached content of sealed journals.
	 */
	void clearCache() {
		this.sealed.clear();
	}

	private List<Entry> read(JournalId id) throws StoreException, IOException {
		JournalReader.Content cached = this.sealed.get(id);
		return ((cached != null) ? cached : readStable(id, (first) -> this.reader.read(id, first))).entries();
	}

	// Reads a journal that its writer may be compacting at the same time. A read ends at
	// the first missing segment, which may be one that the compaction deleted. The read
	// is
	// therefore repeated unless the first segment is the same before and after it.
	private JournalReader.Content readStable(JournalId id, JournalRead read) throws StoreException, IOException {
		while (true) {
			long first = firstSegment(id);
			JournalReader.Content content = read.from(first);
			if (firstSegment(id) == first) {
				return content;
			}
		}
	}

	private long firstSegment(JournalId id) throws StoreException, IOException {
		return this.store.get(ObjectKind.LEASE, id.toString())
			.flatMap(LeaseRecord::read)
			.map(LeaseRecord::firstSegment)
			.orElseThrow(
					() -> new IOException("journal " + id + " cannot be read because its lease object does not exist"));
	}

	/**
	 * A read of a journal.
	 */
	@FunctionalInterface
	private interface JournalRead {

		JournalReader.Content from(long first) throws StoreException, IOException;

	}

}
