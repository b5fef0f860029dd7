package org.mangorack.instance;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.mangorack.call.Refusal;
import org.mangorack.config.ConfigurationStore;
import org.mangorack.config.Settings;
import org.mangorack.entry.CallerEntry;
import org.mangorack.entry.ShardContents;
import org.mangorack.http.HttpFrontEnd;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.http.StopSchedule;
import org.mangorack.key.KeyRegistry;
import org.mangorack.member.Fleet;
import org.mangorack.member.PeerLinks;
import org.mangorack.member.proto.Heartbeat;
import org.mangorack.observe.DaemonThreads;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.ownership.ShardHost;
import org.mangorack.platform.HttpObjectStore;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.StoreException;

/**
 * A running instance. Owns the servers, shards and thread pools.
 */
public final class Instance {

	private static final Duration INITIAL_LIST_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration START_RETRY_DELAY = Duration.ofMillis(500);

	private static final Duration MAINTENANCE_INTERVAL = Duration.ofSeconds(1);

	private static final Duration SLOT_REPORT_INTERVAL = Duration.ofSeconds(1);

	private static final Duration PLATFORM_CONNECT_TIMEOUT = Duration.ofMillis(500);

	private static final Duration IDLE_PERIOD = Duration.ofMillis(300);

	private static final Refusal STOPPING = Refusal.unavailable("instance_stopping",
			"the instance may stop before the request ends", Duration.ofMillis(500));

	private final Settings settings;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final Metrics metrics = new Metrics();

	private final ExecutorService traffic = Executors.newCachedThreadPool(DaemonThreads.named("traffic"));

	private final ExecutorService io = Executors.newCachedThreadPool(DaemonThreads.named("platform"));

	private final ScheduledExecutorService control = Executors
		.newSingleThreadScheduledExecutor(DaemonThreads.named("control"));

	private final ScheduledExecutorService maintenance = Executors.newScheduledThreadPool(2,
			DaemonThreads.named("upkeep"));

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final PooledHttpClient platformHttp = new PooledHttpClient(PLATFORM_CONNECT_TIMEOUT);

	private final HttpObjectStore store;

	private final KindCache leases;

	private final KindCache tables;

	private final KindCache keyCache;

	private final KindCache configurationCache;

	private final KindCache instances;

	private final ConfigurationStore configuration;

	private final KeyRegistry keys;

	private final PeerLinks links;

	private final Fleet fleet;

	private final ShardHost<ShardContents> host;

	private final CallerEntry entry;

	private final HttpFrontEnd callers;

	private final HttpFrontEnd operators;

	private final CountDownLatch stopped = new CountDownLatch(1);

	private volatile boolean ready;

	/**
	 * Creates an instance without binding its ports.
	 * @param settings the validated settings
	 * @throws IOException if the host name of an address cannot be resolved
	 */
	public Instance(Settings settings) throws IOException {
		this.settings = settings;
		this.store = new HttpObjectStore(settings.platform().address(), settings.platform().timeout(),
				this.platformHttp, this.metrics);
		this.leases = cache(ObjectKind.LEASE, () -> {
		});
		this.tables = cache(ObjectKind.SHARD_TABLE, this::wakeShardHost);
		this.keyCache = cache(ObjectKind.KEY, () -> {
		});
		this.instances = cache(ObjectKind.INSTANCE, () -> {
		});
		this.configurationCache = cache(ObjectKind.CONFIGURATION, this::refreshConfiguration);
		this.configuration = new ConfigurationStore(this.store);
		this.keys = new KeyRegistry(this.store, this.keyCache);
		this.links = new PeerLinks(settings, this.traffic, this.clock, this::heartbeat);
		this.fleet = new Fleet(settings.instance(), this.leases, this.instances, this.links, this.clock,
				settings.lease().duration());
		this.host = new ShardHost<>(settings, this.store, this.fleet, this.tables,
				(shard, log) -> new ShardContents(log, this.clock, log.isFirstOwner()), this.clock, this.metrics,
				this.io, this.control);
		this.entry = new CallerEntry(settings, this.clock, this.metrics, this.configuration, this.keys, this.keyCache,
				this.configurationCache, this.fleet, this.links, this.host, this.traffic);
		this.callers = new HttpFrontEnd(settings.listen().callers(), settings.limits().maxBodyBytes(),
				this.entry.service());
		OperatorService operatorService = new OperatorService(this);
		this.operators = new HttpFrontEnd(settings.listen().operators(), settings.limits().maxBodyBytes(),
				operatorService);
	}

	// ---- Life-cycle

	/**
	 * Starts the instance. Blocks, without a time limit, until the platform is reachable.
	 * @throws IOException if a port cannot be bound
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void start() throws IOException, InterruptedException {
		this.operators.start();
		this.links.start(this.settings.listen().peers());
		for (KindCache cache : caches()) {
			cache.start();
		}
		for (KindCache cache : caches()) {
			while (!cache.awaitListed(INITIAL_LIST_TIMEOUT)) {
				EventLog.log(Event.PLATFORM_UNREACHABLE, "address", this.settings.platform().address());
			}
		}
		this.fleet.refresh();
		startShardHost();
		this.maintenance.scheduleWithFixedDelay(this::maintain, MAINTENANCE_INTERVAL.toMillis(),
				MAINTENANCE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.maintenance.scheduleWithFixedDelay(this::reportSlots, SLOT_REPORT_INTERVAL.toMillis(),
				SLOT_REPORT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.callers.start();
		this.ready = true;
		EventLog.log(Event.INSTANCE_STARTED, "instance", this.settings.instance(), "callers", this.callers.port(),
				"operators", this.operators.port());
	}

	/**
	 * Shuts down the instance gracefully: announces that it is leaving, hands over its
	 * shards, completes the active calls, and closes. The drain limit of the settings
	 * bounds the time for this.
	 */
	public void drain() {
		if (!this.stopping.compareAndSet(false, true)) {
			awaitStopQuietly();
			return;
		}
		long startedAt = this.clock.nanoTime();
		EventLog.log(Event.DRAIN_STARTED, "instance", this.settings.instance());
		try {
			this.ready = false;
			this.host.leave();
			StopSchedule schedule = StopSchedule.of(this.settings.limits().drain(), this.settings.limits().linger());
			TimeUnit.NANOSECONDS.sleep(schedule.acceptingUntil().toNanos());
			this.callers.announceClose();
			finishCalls(schedule, startedAt);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		close();
		EventLog.log(Event.INSTANCE_STOPPED, "instance", this.settings.instance());
		this.stopped.countDown();
	}

	/**
	 * Waits until the instance has stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStop() throws InterruptedException {
		this.stopped.await();
	}

	// ---- Accessors

	Settings settings() {
		return this.settings;
	}

	Metrics metrics() {
		return this.metrics;
	}

	ConfigurationStore configuration() {
		return this.configuration;
	}

	KeyRegistry keys() {
		return this.keys;
	}

	Fleet fleet() {
		return this.fleet;
	}

	ShardHost<ShardContents> host() {
		return this.host;
	}

	CallerEntry entry() {
		return this.entry;
	}

	boolean isReady() {
		return this.ready;
	}

	void drainInBackground() {
		this.io.execute(this::drain);
	}

	// ---- Helpers

	private void awaitStopQuietly() {
		try {
			awaitStop();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Requests that come in the second half of the time are refused, as nothing is known
	// of how long they take. Calls that are still in progress at its end are answered.
	private void finishCalls(StopSchedule schedule, long startedAt) throws InterruptedException {
		this.host.awaitHandover(remaining(startedAt, schedule.requestsUntil()));
		if (this.callers.awaitIdle(IDLE_PERIOD, remaining(startedAt, schedule.requestsUntil()))) {
			return;
		}
		this.callers.refuseRequests(STOPPING);
		this.host.awaitHandover(remaining(startedAt, schedule.callsUntil()));
		if (!this.callers.awaitIdle(Duration.ZERO, remaining(startedAt, schedule.callsUntil()))) {
			this.entry.close();
			this.callers.awaitIdle(Duration.ZERO, remaining(startedAt, schedule.responsesUntil()));
		}
	}

	private Duration remaining(long startedAt, Duration until) {
		return until.minus(this.clock.elapsed(startedAt));
	}

	private void startShardHost() throws InterruptedException {
		while (true) {
			try {
				this.host.start();
				return;
			}
			catch (StoreException ex) {
				EventLog.log(Event.PLATFORM_UNREACHABLE, "operation", "create lease", "cause", ex.getMessage());
				TimeUnit.MILLISECONDS.sleep(START_RETRY_DELAY.toMillis());
			}
		}
	}

	private void close() {
		this.callers.close();
		this.host.stop();
		this.maintenance.shutdownNow();
		this.control.shutdownNow();
		caches().forEach(KindCache::close);
		this.links.close();
		this.operators.close();
		this.entry.close();
		this.platformHttp.close();
		this.traffic.shutdownNow();
		this.io.shutdown();
	}

	private void wakeShardHost() {
		if (!this.control.isShutdown()) {
			this.host.scheduleTick();
		}
	}

	private void refreshConfiguration() {
		this.configuration.refresh(this.configurationCache);
	}

	private void maintain() {
		try {
			this.entry.maintain();
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "task", "maintenance");
		}
	}

	private void reportSlots() {
		try {
			this.entry.reportSlots();
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "task", "slot reports");
		}
	}

	private Heartbeat heartbeat() {
		return Heartbeat.newBuilder()
			.setConfiguration(this.configuration.current().revision())
			.setKeys(this.keyCache.lastChange())
			.setPlatformReachable(this.fleet.isPlatformReachable())
			.setLeaving(this.stopping.get())
			.build();
	}

	private KindCache cache(ObjectKind kind, Runnable onChange) {
		return new KindCache(this.store, kind, this.clock, onChange);
	}

	private List<KindCache> caches() {
		return List.of(this.leases, this.tables, this.keyCache, this.configurationCache, this.instances);
	}

}
