package org.mangorack.ownership;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.mangorack.journal.JournalId;
import org.mangorack.journal.JournalReader;
import org.mangorack.member.Fleet;
import org.mangorack.member.LeaseRecord;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;

/**
 * Deletes the journals and leases of dead runs that are no longer needed by any shard.
 * For each dead run, a single instance is responsible, chosen by rendezvous hashing.
 */
final class JournalCollector {

	private static final Duration MIN_UNNEEDED_TIME = Duration.ofSeconds(20);

	private final Fleet fleet;

	private final ShardTables tables;

	private final JournalReader reader;

	private final ObjectStore store;

	private final MonotonicClock clock;

	private final String self;

	private final Map<JournalId, Long> unneededSince = new ConcurrentHashMap<>();

	JournalCollector(Fleet fleet, ShardTables tables, JournalReader reader, ObjectStore store, MonotonicClock clock,
			String self) {
		this.fleet = fleet;
		this.tables = tables;
		this.reader = reader;
		this.store = store;
		this.clock = clock;
		this.self = self;
	}

	/**
	 * Finds a dead run whose journal can be deleted. A journal must have been unneeded
	 * for a minimum time, and this instance must be responsible for it.
	 * @return the lease of the run, or empty if there is none
	 */
	Optional<LeaseRecord> nextUnneeded() {
		for (LeaseRecord lease : this.fleet.leases()) {
			if (!isUnneeded(lease.journal())) {
				this.unneededSince.remove(lease.journal());
				continue;
			}
			long since = this.unneededSince.computeIfAbsent(lease.journal(), (j) -> this.clock.nanoTime());
			if ((this.clock.elapsed(since).compareTo(MIN_UNNEEDED_TIME) > 0) && isResponsible(lease.journal())) {
				return Optional.of(lease);
			}
		}
		return Optional.empty();
	}

	/**
	 * Deletes the journal of a dead run, last segment first, and then its lease. Does
	 * nothing if a shard table on the platform still refers to the journal.
	 * @param lease the lease of the run
	 * @throws StoreException if a call to the platform fails
	 * @throws IOException if the journal cannot be read
	 */
	void collect(LeaseRecord lease) throws StoreException, IOException {
		if (this.tables.read().values().stream().anyMatch((r) -> r.refersTo(lease.journal()))) {
			this.unneededSince.remove(lease.journal());
			return;
		}
		long end = this.reader.read(lease.journal(), lease.firstSegment()).next();
		for (long n = end - 1; n >= lease.firstSegment(); n--) {
			this.reader.delete(lease.journal(), n, n + 1);
		}
		this.store.delete(ObjectKind.LEASE, lease.journal().toString(), null);
		this.unneededSince.remove(lease.journal());
		EventLog.log(Event.JOURNAL_DELETED, "journal", lease.journal(), "segments", end - lease.firstSegment());
	}

	private boolean isUnneeded(JournalId journal) {
		return this.fleet.isDead(journal)
				&& this.tables.records().values().stream().noneMatch((r) -> r.refersTo(journal));
	}

	private boolean isResponsible(JournalId journal) {
		return Rendezvous.choose("journal-" + journal, this.fleet.assignable())
			.map((r) -> r.instance().equals(this.self))
			.orElse(false);
	}

}
