package org.mangorack.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.mangorack.http.StatusServer;
import org.mangorack.keeper.GroupDocument;
import org.mangorack.keeper.KeeperClient;
import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.keeper.proto.Usage;
import org.mangorack.observe.DaemonThreads;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * An entry: the addresses for callers, the beats to the keepers and the copies of what
 * the platform holds.
 */
public final class EntryNode {

	/**
	 * The time between beats. Levels of buckets and the list of entries are this old.
	 */
	static final Duration BEAT_INTERVAL = Duration.ofMillis(200);

	/**
	 * How long callers may use a list of addresses. Short, as entries come and go.
	 */
	static final Duration DIRECTORY_LIFE = Duration.ofSeconds(1);

	/**
	 * How long a stopping entry goes on taking connections: some callers use a list of
	 * addresses for three times its life.
	 */
	static final Duration LINGER = Duration.ofMillis(2500);

	/**
	 * The part of the grace after which a stop no longer waits for calls.
	 */
	static final double GRACE_PART = 0.93;

	/**
	 * Once the configuration was not confirmed for this long, the entry asks the platform
	 * itself. Keepers confirm it more often than that while they can.
	 */
	static final Duration PROBE_AGE = Duration.ofMillis(2200);

	private static final Duration PROBE_INTERVAL = Duration.ofMillis(600);

	/**
	 * The time between questions to the seeds while no group is known.
	 */
	static final Duration SEED_INTERVAL = Duration.ofSeconds(1);

	// A pulse that is older says nothing about the entries that live.
	private static final Duration PULSE_LIFE = Duration.ofMillis(1200);

	private final EntrySettings settings;

	private final FleetProtocol protocol;

	private final Metrics metrics;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("traffic", true),
			NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	private final ConfigurationHolder configuration;

	private final KindCache configurations;

	private final KindCache upstreamEntries;

	private final KindCache groups;

	private final KeeperClient keepers;

	private final UpstreamTable upstreams;

	private final RateGate rates;

	private final RelayServer server;

	private final FleetContact contact;

	private final Map<String, Known> pulses = new HashMap<>();

	private final ScheduledExecutorService control = Executors
		.newSingleThreadScheduledExecutor(DaemonThreads.named("control"));

	private final ObjectStore store;

	private final CountDownLatch stopped = new CountDownLatch(1);

	private List<String> lastAddresses = List.of();

	private boolean configurationStale;

	// The version that the platform held when it was last heard.
	private volatile long platformVersion;

	private long seedsAskedAt;

	private volatile long probedAt;

	private volatile boolean stopping;

	/**
	 * Creates an entry that does not serve yet.
	 * @param settings its settings
	 * @param store the object API of the platform
	 * @param protocol the names that callers, upstreams and operators use
	 * @param metrics receives metrics
	 */
	public EntryNode(EntrySettings settings, ObjectStore store, FleetProtocol protocol, Metrics metrics) {
		this.settings = settings;
		this.store = store;
		this.seedsAskedAt = this.clock.nanoTime();
		this.probedAt = this.clock.nanoTime() - Duration.ofDays(1).toNanos();
		this.protocol = protocol;
		this.metrics = metrics;
		this.configuration = new ConfigurationHolder(protocol, this.clock);
		this.configurations = new KindCache(store, ObjectKind.FLEET_CONFIGURATION, this.clock,
				KindCache.SPARING_RETRY_DELAY, this::offerConfiguration);
		this.upstreamEntries = new KindCache(store, ObjectKind.UPSTREAM, this.clock, KindCache.SPARING_RETRY_DELAY,
				this::refreshUpstreams);
		this.groups = new KindCache(store, ObjectKind.KEEPER_GROUP, this.clock, KindCache.SPARING_RETRY_DELAY,
				this::adoptGroup);
		this.keepers = new KeeperClient(this.loop, this.clock, settings.dataCentre(), settings.tolerance());
		UpstreamClient client = new UpstreamClient(this.loop, protocol, this.clock, metrics);
		this.upstreams = new UpstreamTable(this.loop, this.upstreamEntries, protocol, client, this.clock,
				settings.dataCentre());
		this.rates = new RateGate(this.keepers, this.loop, this.clock);
		this.contact = new FleetContact(this.clock, this.keepers::view, this::sinceContact);
		this.server = new RelayServer(this.loop, protocol, this.clock, metrics, this.configuration,
				settings.maxConfigurationAge(), this.contact, this.upstreams, client, this.keepers, this.rates);
	}

	// ---- Life-cycle

	/**
	 * Starts to serve. An entry that has no configuration yet is not ready and refuses
	 * requests.
	 * @throws IOException if a port is taken
	 */
	public void start() throws IOException {
		this.groups.start();
		this.configurations.start();
		this.upstreamEntries.start();
		this.server.start(this.settings.callers());
		new StatusServer(this.loop, this::answerStatus).start(this.settings.readiness());
		new StatusServer(this.loop, this::answerStatus).start(this.settings.directory());
		if (this.settings.metrics() != null) {
			new StatusServer(this.loop, (request) -> StatusServer.metrics(this.metrics)).start(this.settings.metrics());
		}
		this.control.scheduleWithFixedDelay(new GuardedTask("probe", this::probe), PROBE_INTERVAL.toMillis(),
				PROBE_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.loop.scheduleAtFixedRate(new GuardedTask("beat", this::beat), 0, BEAT_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
		EventLog.log(Event.INSTANCE_STARTED, "instance", this.settings.instance(), "role", "entry", "callers",
				this.settings.callers(), "tolerance", this.settings.tolerance());
	}

	/**
	 * Stops without cutting a call: leaves the list of addresses, serves on for callers
	 * that have not heard of it, and ends with the last call.
	 */
	public void stop() {
		long startedAt = this.clock.nanoTime();
		this.stopping = true;
		EventLog.log(Event.DRAIN_STARTED, "instance", this.settings.instance(), "role", "entry");
		try {
			onLoop(() -> {
				this.server.announceClose();
				beat();
			});
			TimeUnit.MILLISECONDS.sleep(LINGER.toMillis());
			onLoop(this.server::closeIdle);
			long limit = (long) (this.settings.grace().toNanos() * GRACE_PART);
			while ((this.server.openConnections() > 0) && (this.clock.nanoTime() - startedAt < limit)) {
				TimeUnit.MILLISECONDS.sleep(20);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		EventLog.log(Event.INSTANCE_STOPPED, "instance", this.settings.instance(), "role", "entry", "open",
				this.server.openConnections());
		this.stopped.countDown();
	}

	/**
	 * Waits until the entry is stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStop() throws InterruptedException {
		this.stopped.await();
	}

	// ---- Knowledge

	private void offerConfiguration() {
		this.configurations.objects().values().forEach((object) -> {
			long confirmedAt = this.clock.nanoTime() - this.configurations.age().toNanos();
			this.platformVersion = this.configuration.offer(object.spec(), confirmedAt, "platform");
		});
	}

	// Also finds out whether the platform answers this entry, which its long watches do
	// not.
	private void probe() {
		if (this.configuration.age().compareTo(PROBE_AGE) < 0) {
			return;
		}
		long askedAt = this.clock.nanoTime();
		try {
			for (StoredObject object : this.store.list(ObjectKind.FLEET_CONFIGURATION).items()) {
				this.probedAt = this.clock.nanoTime();
				this.configuration.offer(object.spec(), askedAt, "probe");
			}
		}
		catch (StoreException ex) {
			this.metrics.count("mangorack.platform.probes.failed", 1, "reason", ex.reason().name());
		}
	}

	private void refreshUpstreams() {
		this.loop.execute(this.upstreams::refresh);
	}

	private void adoptGroup() {
		this.groups.object(GroupDocument.NAME)
			.ifPresent((object) -> this.loop
				.execute(() -> this.keepers.adopt(GroupDocument.read(object.spec(), this.settings.tolerance()))));
	}

	// ---- Beats

	private void beat() {
		noteConfigurationAge();
		List<Usage> usage = this.rates.takeUsage();
		Map<String, Long> reported = this.rates.reported();
		List<Load> load = this.upstreams.load();
		long sentAt = this.clock.nanoTime();
		boolean alone = (this.keepers.view().epoch() == 0) && (sentAt - this.seedsAskedAt > SEED_INTERVAL.toNanos());
		if (alone) {
			this.seedsAskedAt = sentAt;
			this.keepers.askSeeds(this.settings.seeds(), beat("", List.of(), load),
					(pulse) -> takeConfiguration(pulse, "seed", sentAt));
		}
		this.keepers.beat((disk) -> beat(disk, usage, load), (member, pulse) -> heard(member, pulse, reported, sentAt));
	}

	private Beat beat(String disk, List<Usage> usage, List<Load> load) {
		Known known = this.pulses.get(disk);
		Beat.Builder beat = Beat.newBuilder()
			.setInstance(this.settings.instance())
			.setCallerAddress(this.settings.callers().toString())
			.setZone(this.settings.dataCentre())
			.setAccepting(isReady())
			.addAllUsage(usage)
			.setConfiguration(this.configuration.version())
			.setEntries((known != null) ? known.entriesVersion() : 0)
			.addAllLoad(load)
			.setContactAgeMs(sinceContact().toMillis());
		if ((known != null) && (known.configuration() < this.configuration.version())) {
			beat.setDocument(this.configuration.document());
			beat.setConfigurationAgeMs(this.configuration.age().toMillis());
		}
		return beat.build();
	}

	private Duration sinceContact() {
		Duration sinceProbe = this.clock.elapsed(this.probedAt);
		return Stream.of(this.configurations, this.upstreamEntries, this.groups)
			.map(KindCache::sinceAnswer)
			.filter((since) -> since.compareTo(sinceProbe) < 0)
			.min(Comparator.naturalOrder())
			.orElse(sinceProbe);
	}

	private void takeConfiguration(Pulse pulse, String source, long sentAt) {
		long confirmedAt = sentAt - TimeUnit.MILLISECONDS.toNanos(pulse.getConfigurationAgeMs());
		if (!pulse.getDocument().isEmpty()) {
			this.configuration.offer(pulse.getDocument(), confirmedAt, source);
		}
		else if (pulse.getConfiguration() == this.configuration.version()) {
			this.configuration.confirm(pulse.getConfiguration(), confirmedAt);
		}
	}

	private void heard(Member member, Pulse pulse, Map<String, Long> reported, long sentAt) {
		takeConfiguration(pulse, member.getName(), sentAt);
		Known before = this.pulses.get(member.getDisk());
		boolean sameList = (before != null) && (before.entriesVersion() == pulse.getEntries());
		this.pulses.put(member.getDisk(), new Known(this.clock.nanoTime(), pulse.getEntries(),
				sameList ? before.entries() : pulse.getEntryList(), pulse.getLoadList(), pulse.getConfiguration()));
		this.contact.heard(member.getDisk(), pulse);
		this.rates.setLevels(member.getDisk(), pulse.getLevelList(), reported);
		List<Load> elsewhere = new ArrayList<>();
		freshPulses().forEach((p) -> elsewhere.addAll(p.load()));
		this.upstreams.setLoadElsewhere(elsewhere);
	}

	private List<Known> freshPulses() {
		long now = this.clock.nanoTime();
		return this.pulses.values().stream().filter((p) -> now - p.heardAt() < PULSE_LIFE.toNanos()).toList();
	}

	private void noteConfigurationAge() {
		this.configuration.confirm(this.platformVersion, this.clock.nanoTime() - this.configurations.age().toNanos());
		boolean stale = !this.server.isConfigurationFresh();
		if (stale != this.configurationStale) {
			this.configurationStale = stale;
			EventLog.log(stale ? Event.CONFIGURATION_STALE : Event.CONFIGURATION_CONFIRMED, "version",
					this.configuration.version(), "ageMillis", this.configuration.age().toMillis(), "limitMillis",
					this.settings.maxConfigurationAge().toMillis());
		}
	}

	// ---- Status

	private boolean isReady() {
		return !this.stopping && (this.configuration.current() != null);
	}

	private FullHttpResponse answerStatus(FullHttpRequest request) {
		String path = request.uri().split("\\?", 2)[0];
		if (path.equals(this.protocol.readinessPath())) {
			return StatusServer.response(isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
					"text/plain", new byte[0]);
		}
		if (path.equals(this.protocol.directoryPath())) {
			return StatusServer.response(HttpResponseStatus.OK, "application/json",
					this.protocol.directory(addresses(), DIRECTORY_LIFE));
		}
		return StatusServer.response(HttpResponseStatus.NOT_FOUND, "text/plain", new byte[0]);
	}

	// The entries that any keeper heard lately, or the last known ones while none
	// answers.
	private List<String> addresses() {
		Map<String, String> live = new TreeMap<>();
		freshPulses().forEach((p) -> p.entries().forEach((e) -> live.put(e.getInstance(), e.getCallerAddress())));
		if (!live.isEmpty()) {
			this.lastAddresses = List.copyOf(live.values());
		}
		else if (this.lastAddresses.isEmpty() && isReady()) {
			this.lastAddresses = List.of(this.settings.callers().toString());
		}
		return this.lastAddresses;
	}

	private void onLoop(Runnable task) throws InterruptedException {
		try {
			this.loop.submit(task).get();
		}
		catch (ExecutionException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex.getCause(), "place", "stop");
		}
	}

	/**
	 * What a keeper said last.
	 *
	 * @param heardAt when, on the monotonic clock
	 * @param entriesVersion the version of its list of entries
	 * @param entries the entries that it hears
	 * @param load calls under way at upstreams
	 * @param configuration the version of its configuration
	 */
	private record Known(long heardAt, long entriesVersion, List<Entry> entries, List<Load> load, long configuration) {
	}

}
