package org.mangorack.ownership;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

import org.mangorack.journal.Journal;
import org.mangorack.journal.JournalId;
import org.mangorack.journal.JournalReader;
import org.mangorack.journal.proto.Entry;
import org.mangorack.member.Fleet;
import org.mangorack.member.LeaseRecord;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Invariants;
import org.mangorack.observe.Metrics;
import org.mangorack.ownership.ShardRecord.Source;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;

/**
 * Takes over, loads, serves and hands over shards for one run of the instance. Decisions
 * are made on the control thread. Calls to the platform are made by jobs on another
 * thread, one job at a time.
 *
 * @param <R> the type of a shard's state
 */
public final class ShardOwnership<R extends ShardReplica> {

	private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(5);

	private final JournalId self;

	private final Fleet fleet;

	private final Journal journal;

	private final SourceJournals sources;

	private final ShardTables tables;

	private final ReplicaFactory<R> factory;

	private final BooleanSupplier leaseHeld;

	private final ExecutorService io;

	private final Metrics metrics;

	private final JournalCompactor compactor;

	private final Map<ShardId, OwnedShard<R>> ownedShards = new ConcurrentHashMap<>();

	private final Map<ShardId, Long> highestEpochs = new ConcurrentHashMap<>();

	private final Set<ShardId> unresolvedHandovers = ConcurrentHashMap.newKeySet();

	private Map<ShardId, ShardRecord> stableRecords;

	private Set<JournalId> stableRuns = Set.of();

	private Set<JournalId> stableAssignable = Set.of();

	private volatile boolean jobRunning;

	private volatile boolean closed;

	/**
	 * Creates the ownership of a run without shards.
	 * @param fleet the known instances
	 * @param journal the journal of this run
	 * @param reader reads journals of other runs
	 * @param store the object store of the platform
	 * @param tableCache the local cache of the shard tables
	 * @param factory creates the state of a shard
	 * @param lease the lease of this run
	 * @param leaseHeld returns whether this run may act as an owner
	 * @param io runs blocking calls to the platform
	 * @param metrics the metrics of the instance
	 */
	public ShardOwnership(Fleet fleet, Journal journal, JournalReader reader, ObjectStore store, KindCache tableCache,
			ReplicaFactory<R> factory, LeaseManager lease, BooleanSupplier leaseHeld, ExecutorService io,
			Metrics metrics) {
		this.self = journal.id();
		this.fleet = fleet;
		this.journal = journal;
		this.sources = new SourceJournals(store, reader, this.self);
		this.tables = new ShardTables(store, tableCache);
		this.factory = factory;
		this.leaseHeld = leaseHeld;
		this.io = io;
		this.metrics = metrics;
		this.compactor = new JournalCompactor(journal, reader, lease);
	}

	// ---- Life-cycle

	/**
	 * Stops serving all shards immediately.
	 */
	public void close() {
		this.closed = true;
		this.ownedShards.values().forEach(OwnedShard::close);
		this.ownedShards.clear();
	}

	// ---- Accessors

	/**
	 * Returns the shards that this instance serves.
	 * @return the owned shards
	 */
	public List<OwnedShard<R>> owned() {
		return new ArrayList<>(this.ownedShards.values());
	}

	/**
	 * Returns the recorded owner of each shard.
	 * @return the owners; shards without an owner are absent
	 */
	public Map<ShardId, JournalId> owners() {
		Map<ShardId, JournalId> owners = new TreeMap<>();
		this.tables.records().forEach((shard, record) -> {
			if (record.owner() != null) {
				owners.put(shard, record.owner());
			}
		});
		return owners;
	}

	/**
	 * Returns whether no cached shard record refers to this run as owner or source.
	 * @return {@code true} if this run may end without a takeover
	 */
	public boolean isUnreferenced() {
		return this.tables.records().values().stream().noneMatch((r) -> r.refersTo(this.self));
	}

	// ---- Public API

	/**
	 * Locates a shard, and acquires it if this instance serves it.
	 * @param shard the shard
	 * @return the location
	 */
	public ShardLocation<R> locate(ShardId shard) {
		OwnedShard<R> owned = this.ownedShards.get(shard);
		if (owned != null) {
			boolean acquired = this.leaseHeld.getAsBoolean() && owned.tryAcquire();
			return acquired ? new ShardLocation.Local<>(owned) : new ShardLocation.Unavailable<>();
		}
		JournalId owner = this.tables.record(shard).owner();
		if ((owner == null) || owner.equals(this.self) || this.fleet.isDead(owner)) {
			return new ShardLocation.Unavailable<>();
		}
		return new ShardLocation.Remote<>(owner.instance());
	}

	/**
	 * Evaluates the shard ownership and starts the next job if one is needed. Called by
	 * the control thread at short intervals.
	 */
	public void tick() {
		if (this.closed || !this.fleet.isPlatformReachable()) {
			return;
		}
		Map<ShardId, ShardRecord> records = this.tables.records();
		dropLost(records);
		if (this.jobRunning || !this.leaseHeld.getAsBoolean()) {
			return;
		}
		Set<JournalId> runs = this.fleet.live().stream().map(LeaseRecord::journal).collect(Collectors.toSet());
		Set<JournalId> assignable = this.fleet.assignable()
			.stream()
			.map(LeaseRecord::journal)
			.collect(Collectors.toSet());
		boolean sameFleet = runs.equals(this.stableRuns) && assignable.equals(this.stableAssignable);
		if ((records == this.stableRecords) && sameFleet) {
			compact(records);
			return;
		}
		if (resolveHandovers() || takeOver(records) || load(records) || handOver(records) || clearSources(records)) {
			return;
		}
		if (assignable.isEmpty() || this.ownedShards.keySet().stream().allMatch(this::isDesiredOwner)) {
			this.stableRecords = records;
			this.stableRuns = runs;
			this.stableAssignable = assignable;
		}
	}

	// ---- Loss

	private void dropLost(Map<ShardId, ShardRecord> records) {
		this.ownedShards.forEach((shard, owned) -> {
			ShardRecord record = records.get(shard);
			boolean newer = record.epoch() > owned.epoch();
			if (newer) {
				owned.close();
				this.ownedShards.remove(shard, owned);
			}
		});
	}

	// ---- Takeover

	private boolean takeOver(Map<ShardId, ShardRecord> records) {
		Map<String, Set<ShardId>> wanted = new HashMap<>();
		Set<JournalId> dead = new HashSet<>();
		records.forEach((shard, record) -> {
			boolean free = (record.owner() == null) || this.fleet.isDead(record.owner());
			if (free && isDesiredOwner(shard)) {
				wanted.computeIfAbsent(shard.table(), (t) -> new HashSet<>()).add(shard);
				Optional.ofNullable(record.owner()).ifPresent(dead::add);
			}
		});
		if (wanted.isEmpty()) {
			return false;
		}
		submitJob("takeover", () -> {
			for (JournalId journal : dead) {
				this.sources.seal(journal);
			}
			for (Map.Entry<String, Set<ShardId>> table : wanted.entrySet()) {
				takeOverTable(table.getKey(), table.getValue(), dead);
			}
		});
		return true;
	}

	private void takeOverTable(String table, Set<ShardId> wanted, Set<JournalId> dead) throws StoreException {
		this.tables.change(table, (shard, record) -> {
			boolean free = (record.owner() == null) || dead.contains(record.owner());
			return (wanted.contains(shard) && free) ? record.withOwner(this.self) : record;
		});
		EventLog.log(Event.SHARDS_TAKEN, "table", table, "shards", wanted.size(), "from", dead);
	}

	private boolean isDesiredOwner(ShardId shard) {
		return desiredOwner(shard).map((r) -> r.journal().equals(this.self)).orElse(false);
	}

	private Optional<LeaseRecord> desiredOwner(ShardId shard) {
		return Rendezvous.choose("shard-" + shard, this.fleet.assignable());
	}

	// ---- Load

	private boolean load(Map<ShardId, ShardRecord> records) {
		Map<ShardId, ShardRecord> missing = new TreeMap<>();
		records.forEach((shard, record) -> {
			boolean current = record.epoch() >= this.highestEpochs.getOrDefault(shard, 0L);
			if (this.self.equals(record.owner()) && current && !this.ownedShards.containsKey(shard)) {
				missing.put(shard, record);
			}
		});
		if (missing.isEmpty()) {
			return false;
		}
		submitJob("load", () -> {
			long startedAt = System.nanoTime();
			Map<JournalId, List<Entry>> journals = this.sources.read(missing.values());
			missing.forEach((shard, record) -> serve(shard, record, journals));
			this.metrics.timer("mangorack.shard.load").record(Duration.ofNanos(System.nanoTime() - startedAt));
		});
		return true;
	}

	private void serve(ShardId shard, ShardRecord record, Map<JournalId, List<Entry>> journals) {
		OwnedShard<R> owned = new OwnedShard<>(shard, record.epoch(), this.journal);
		R replica = this.factory.create(shard, owned);
		owned.setReplica(replica);
		for (Source source : record.sources()) {
			for (Entry e : journals.get(source.journal())) {
				if ((e.getShard() == shard.number()) && (e.getEpoch() == source.epoch())) {
					replica.replay(e);
				}
			}
		}
		replica.replayCompleted();
		long highest = this.highestEpochs.merge(shard, record.epoch(), Math::max);
		Invariants.check(highest == record.epoch(), "shard-epoch-grows", shard + "@" + record.epoch());
		owned.appendLiveEntries();
		if (!this.closed) {
			this.ownedShards.put(shard, owned);
		}
		EventLog.log(Event.SHARD_LOADED, "shard", shard, "epoch", record.epoch(), "sources", record.sources().size());
	}

	// ---- Copies

	private boolean clearSources(Map<ShardId, ShardRecord> records) {
		Map<String, Map<ShardId, Long>> copied = new HashMap<>();
		records.forEach((shard, record) -> {
			OwnedShard<R> owned = this.ownedShards.get(shard);
			boolean current = (owned != null) && (owned.epoch() == record.epoch());
			if (current && !record.sources().isEmpty()) {
				copied.computeIfAbsent(shard.table(), (t) -> new HashMap<>()).put(shard, record.epoch());
			}
		});
		if (copied.isEmpty()) {
			this.sources.clearCache();
			return false;
		}
		submitJob("copy", () -> {
			if (!this.journal.flush(FLUSH_TIMEOUT)) {
				return;
			}
			for (Map.Entry<String, Map<ShardId, Long>> table : copied.entrySet()) {
				this.tables.change(table.getKey(), (shard, record) -> {
					Long epoch = table.getValue().get(shard);
					boolean same = (epoch != null) && (record.epoch() == epoch);
					return same ? record.withoutSources() : record;
				});
			}
		});
		return true;
	}

	// ---- Compaction

	private void compact(Map<ShardId, ShardRecord> records) {
		if (isSource(records) || !this.compactor.shouldCompact()) {
			return;
		}
		submitJob("compaction", () -> {
			if (!isSource(this.tables.read())) {
				this.compactor.compact(owned());
			}
		});
	}

	private boolean isSource(Map<ShardId, ShardRecord> records) {
		return records.values().stream().anyMatch((r) -> r.hasSource(this.self));
	}

	// ---- Handover

	private boolean handOver(Map<ShardId, ShardRecord> records) {
		Map<String, Map<ShardId, JournalId>> idle = new HashMap<>();
		this.ownedShards.forEach((shard, owned) -> {
			Optional<LeaseRecord> next = desiredOwner(shard).filter((r) -> !r.journal().equals(this.self));
			ShardRecord record = records.get(shard);
			if (next.isEmpty() || (record.epoch() != owned.epoch())) {
				owned.resume();
				return;
			}
			owned.quiesce();
			if (owned.isIdle()) {
				idle.computeIfAbsent(shard.table(), (t) -> new HashMap<>()).put(shard, next.get().journal());
			}
		});
		if (idle.isEmpty()) {
			return false;
		}
		submitJob("handover", () -> {
			if (!this.journal.flush(FLUSH_TIMEOUT)) {
				return;
			}
			for (Map.Entry<String, Map<ShardId, JournalId>> table : idle.entrySet()) {
				handOverTable(table.getKey(), table.getValue());
			}
		});
		return true;
	}

	private void handOverTable(String table, Map<ShardId, JournalId> targets) throws StoreException {
		this.unresolvedHandovers.addAll(targets.keySet());
		Map<ShardId, ShardRecord> after = this.tables.change(table, (shard, record) -> {
			JournalId next = targets.get(shard);
			boolean mine = this.self.equals(record.owner());
			return ((next != null) && mine) ? record.withOwner(next) : record;
		});
		targets.forEach((shard, next) -> {
			if (next.equals(after.get(shard).owner())) {
				this.highestEpochs.merge(shard, after.get(shard).epoch(), Math::max);
				Optional.ofNullable(this.ownedShards.remove(shard)).ifPresent(OwnedShard::close);
				EventLog.log(Event.SHARD_HANDED_OVER, "shard", shard, "to", next);
			}
			this.unresolvedHandovers.remove(shard);
		});
	}

	/**
	 * Resolves handovers with an unknown outcome. Their shards stay quiesced until the
	 * outcome is known.
	 * @return {@code true} if there are such handovers
	 */
	private boolean resolveHandovers() {
		if (this.unresolvedHandovers.isEmpty()) {
			return false;
		}
		submitJob("settle", () -> {
			for (String table : this.unresolvedHandovers.stream().map(ShardId::table).collect(Collectors.toSet())) {
				this.tables.fenceAndRead(table).forEach(this::resolveHandover);
			}
		});
		return true;
	}

	private void resolveHandover(ShardId shard, ShardRecord record) {
		OwnedShard<R> owned = this.ownedShards.get(shard);
		if ((owned != null) && (record.epoch() > owned.epoch())) {
			this.highestEpochs.merge(shard, record.epoch(), Math::max);
			owned.close();
			this.ownedShards.remove(shard, owned);
		}
		this.unresolvedHandovers.remove(shard);
	}

	// ---- Helpers

	private void submitJob(String name, Job job) {
		this.jobRunning = true;
		try {
			this.io.execute(() -> runJob(name, job));
		}
		catch (RejectedExecutionException ex) {
			this.jobRunning = false;
		}
	}

	private void runJob(String name, Job job) {
		try {
			job.run();
		}
		catch (StoreException | IOException ex) {
			EventLog.log(Event.SHARD_LOAD_FAILED, "job", name, "cause", ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "job", name);
		}
		finally {
			this.jobRunning = false;
		}
	}

	/**
	 * A job that makes calls to the platform.
	 */
	@FunctionalInterface
	private interface Job {

		void run() throws StoreException, IOException, InterruptedException;

	}

}
