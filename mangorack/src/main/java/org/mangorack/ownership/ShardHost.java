package org.mangorack.ownership;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.mangorack.config.Settings;
import org.mangorack.journal.Journal;
import org.mangorack.journal.JournalId;
import org.mangorack.journal.JournalReader;
import org.mangorack.member.Fleet;
import org.mangorack.member.LeaseRecord;
import org.mangorack.member.LeaseRecord.Phase;
import org.mangorack.observe.DaemonThreads;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.WriteRateLimiter;

/**
 * Hosts shards on this instance. Manages the lease, the journal and the shard ownership
 * of the current run, and starts a new run after the current one was fenced by another
 * instance.
 *
 * @param <R> the type of a shard's state
 */
public final class ShardHost<R extends ShardReplica> {

	private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

	private static final Duration LEASE_CHECK_INTERVAL = Duration.ofMillis(200);

	private static final Duration COLLECTION_INTERVAL = Duration.ofSeconds(2);

	private static final Duration RESTART_DELAY = Duration.ofMillis(500);

	private final Settings settings;

	private final ObjectStore store;

	private final Fleet fleet;

	private final KindCache tableCache;

	private final ReplicaFactory<R> factory;

	private final MonotonicClock clock;

	private final Metrics metrics;

	private final ExecutorService io;

	private final ScheduledExecutorService control;

	private final ScheduledExecutorService leaseTimer = Executors
		.newSingleThreadScheduledExecutor(DaemonThreads.named("lease"));

	private final JournalReader reader;

	private final JournalCollector collector;

	private volatile Run<R> run;

	private volatile boolean lapsed;

	private volatile boolean stopping;

	private volatile Phase phase = Phase.ACTIVE;

	private long lastRenewal;

	private boolean restarting;

	/**
	 * Creates a host without shards.
	 * @param settings the settings of the instance
	 * @param store the object store of the platform
	 * @param fleet the known instances
	 * @param tableCache the local cache of the shard tables
	 * @param factory creates the state of a shard
	 * @param clock the time source
	 * @param metrics the metrics of the instance
	 * @param io runs blocking calls to the platform
	 * @param control the control thread
	 */
	public ShardHost(Settings settings, ObjectStore store, Fleet fleet, KindCache tableCache, ReplicaFactory<R> factory,
			MonotonicClock clock, Metrics metrics, ExecutorService io, ScheduledExecutorService control) {
		this.settings = settings;
		this.store = store;
		this.fleet = fleet;
		this.tableCache = tableCache;
		this.factory = factory;
		this.clock = clock;
		this.metrics = metrics;
		this.io = io;
		this.control = control;
		this.reader = new JournalReader(store, io);
		this.collector = new JournalCollector(fleet, new ShardTables(store, tableCache), this.reader, store, clock,
				settings.instance());
		metrics.gauge("mangorack.shards.owned", () -> owned().size());
		metrics.gauge("mangorack.journal.backlog.bytes",
				() -> (this.run != null) ? this.run.journal.backlogBytes() : 0);
	}

	// ---- Life-cycle

	/**
	 * Starts the first run.
	 * @throws StoreException if the lease could not be created
	 */
	public void start() throws StoreException {
		startRun();
		this.control.scheduleWithFixedDelay(this::tick, 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.control.scheduleWithFixedDelay(this::collect, COLLECTION_INTERVAL.toMillis(),
				COLLECTION_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.leaseTimer.scheduleWithFixedDelay(this::renewLeaseIfDue, 0, LEASE_CHECK_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Starts the shutdown of this instance: marks it as leaving in its lease. Its shards
	 * are handed over in the background.
	 */
	public void leave() {
		changePhase(Phase.LEAVING);
	}

	/**
	 * Waits until all shards are handed over and the new owners no longer need the
	 * journal of this run.
	 * @param limit the maximum time to wait
	 * @return {@code true} if the run can end without a takeover; {@code false} on a
	 * time-out, or if no remaining instance can take the shards
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean awaitHandover(Duration limit) throws InterruptedException {
		long deadline = System.nanoTime() + limit.toNanos();
		while ((this.run != null) && (System.nanoTime() < deadline)) {
			if (this.run.ownership.owned().isEmpty() && this.run.ownership.isUnreferenced()) {
				return true;
			}
			if (this.fleet.assignable().isEmpty()) {
				return false;
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
		return false;
	}

	/**
	 * Ends the current run and marks its lease as ended.
	 */
	public void stop() {
		this.stopping = true;
		changePhase(Phase.ENDED);
		this.leaseTimer.shutdown();
		Run<R> current = this.run;
		if (current != null) {
			current.close();
			current.lease.renew();
		}
	}

	/**
	 * Schedules an immediate evaluation of the shard ownership. Called when the cached
	 * shard tables have changed.
	 */
	public void scheduleTick() {
		this.control.execute(this::tick);
	}

	// ---- Accessors

	/**
	 * Returns the shards that this instance serves.
	 * @return the owned shards
	 */
	public List<OwnedShard<R>> owned() {
		Run<R> current = this.run;
		return (current != null) ? current.ownership.owned() : List.of();
	}

	/**
	 * Returns the recorded owner of each shard.
	 * @return the owners
	 */
	public Map<ShardId, JournalId> owners() {
		Run<R> current = this.run;
		return (current != null) ? current.ownership.owners() : Map.of();
	}

	/**
	 * Returns whether journal writes cannot become durable at present: no run is active,
	 * the platform is unreachable, or writes have failed for longer than a limit.
	 * @param limit how long writes may fail
	 * @return {@code true} if the journal is stalled
	 */
	public boolean isJournalStalled(Duration limit) {
		Run<R> current = this.run;
		return (current == null) || !this.fleet.isPlatformReachable() || current.journal.isStalled(limit);
	}

	// ---- Public API

	/**
	 * Locates a shard, and acquires it if this instance serves it.
	 * @param shard the shard
	 * @return the location
	 */
	public ShardLocation<R> locate(ShardId shard) {
		Run<R> current = this.run;
		return (current != null) ? current.ownership.locate(shard) : new ShardLocation.Unavailable<>();
	}

	/**
	 * Returns whether this instance may act as the owner of its shards. It may while its
	 * lease is valid. It also may during an outage of the platform: neither this instance
	 * nor any peer that it is in contact with can reach the platform, and it is in
	 * contact with a majority. Once neither condition was met, the instance may not act
	 * as an owner until the lease is renewed.
	 * @return {@code true} if this instance may act as an owner
	 */
	public boolean isLeaseHeld() {
		Run<R> current = this.run;
		if (current == null) {
			return false;
		}
		if (current.lease.isValid()) {
			setLapsed(false);
			return true;
		}
		boolean outage = !this.fleet.isPlatformReachable() && this.fleet.isMajorityReachable()
				&& !this.fleet.isPlatformReachableFromAnyPeer();
		if (!outage || current.lease.isLost()) {
			setLapsed(true);
		}
		return !this.lapsed;
	}

	// ---- Helpers

	private void setLapsed(boolean now) {
		if (this.lapsed != now) {
			this.lapsed = now;
			EventLog.log(now ? Event.LEASE_LAPSED : Event.LEASE_REGAINED, "journal", this.run.journal.id());
		}
	}

	private void startRun() throws StoreException {
		String runId = String.format("%013d-%s", System.currentTimeMillis(),
				UUID.randomUUID().toString().substring(0, 8));
		JournalId id = new JournalId(this.settings.instance(), runId);
		Settings.Addresses addresses = this.settings.advertise();
		LeaseRecord record = new LeaseRecord(id, this.settings.dataCentre(), addresses.callers(), addresses.operators(),
				addresses.peers(), this.phase, 0, 0, UUID.randomUUID().toString());
		LeaseManager lease = new LeaseManager(this.store, this.clock, this.settings.lease().duration(), record);
		lease.create();
		lease.requestUpdate(this.phase, 0);
		WriteRateLimiter budget = new WriteRateLimiter(this.clock, this.settings.platform().writesPerSecond(),
				this.settings.platform().writeBurst());
		Journal journal = new Journal(id, this.store, budget, this.clock, this.metrics, this::fence);
		ShardOwnership<R> ownership = new ShardOwnership<>(this.fleet, journal, this.reader, this.store,
				this.tableCache, this.factory, lease, this::isLeaseHeld, this.io, this.metrics);
		this.run = new Run<>(lease, journal, ownership);
		this.lapsed = false;
		journal.start();
	}

	private void changePhase(Phase next) {
		this.phase = next;
		Run<R> current = this.run;
		if (current != null) {
			current.lease.requestUpdate(next, current.lease.firstSegment());
			this.leaseTimer.execute(this::renewLeaseIfDue);
		}
	}

	private void renewLeaseIfDue() {
		LeaseManager lease = this.run.lease;
		boolean due = this.clock.elapsed(this.lastRenewal).compareTo(this.settings.lease().renewal()) >= 0;
		if (!due && !lease.isDirty()) {
			return;
		}
		this.lastRenewal = this.clock.nanoTime();
		lease.renew();
		isLeaseHeld();
		if (lease.isLost()) {
			fence();
		}
	}

	/**
	 * Ends the current run and starts a new one. Called when the journal was sealed by
	 * another instance or the lease was deleted.
	 */
	private void fence() {
		this.control.execute(() -> {
			if (this.restarting || this.stopping) {
				return;
			}
			this.restarting = true;
			EventLog.log(Event.INSTANCE_FENCED, "journal", this.run.journal.id());
			this.run.close();
			restart();
		});
	}

	private void restart() {
		this.io.execute(() -> {
			try {
				startRun();
				this.control.execute(() -> this.restarting = false);
			}
			catch (StoreException ex) {
				this.control.schedule(this::restart, RESTART_DELAY.toMillis(), TimeUnit.MILLISECONDS);
			}
		});
	}

	private void tick() {
		try {
			this.fleet.refresh();
			if (!this.restarting && (this.run != null)) {
				this.run.ownership.tick();
			}
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "task", "ownership");
		}
	}

	private void collect() {
		if (!this.fleet.isPlatformReachable()) {
			return;
		}
		Optional<LeaseRecord> next = this.collector.nextUnneeded();
		next.ifPresent((lease) -> this.io.execute(() -> collect(lease)));
	}

	private void collect(LeaseRecord lease) {
		try {
			this.collector.collect(lease);
		}
		catch (StoreException | IOException ex) {
			EventLog.log(Event.JOURNAL_WRITE_FAILED, "journal", lease.journal(), "cause", ex.getMessage());
		}
	}

	/**
	 * The resources of one run of the instance.
	 *
	 * @param <R> the type of a shard's state
	 */
	private static final class Run<R extends ShardReplica> {

		private final LeaseManager lease;

		private final Journal journal;

		private final ShardOwnership<R> ownership;

		private Run(LeaseManager lease, Journal journal, ShardOwnership<R> ownership) {
			this.lease = lease;
			this.journal = journal;
			this.ownership = ownership;
		}

		private void close() {
			this.ownership.close();
			this.journal.close();
		}

	}

}
