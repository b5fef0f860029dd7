package org.mangorack.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.mangorack.http.StatusServer;
import org.mangorack.http.StopSchedule;
import org.mangorack.keeper.ConfigurationRelay;
import org.mangorack.keeper.ConfigurationSource;
import org.mangorack.keeper.GroupDocument;
import org.mangorack.keeper.GroupView;
import org.mangorack.keeper.KeeperClient;
import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Departure;
import org.mangorack.keeper.proto.Evacuations;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.PlatformContact;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.keeper.proto.Usage;
import org.mangorack.limit.ColdRate;
import org.mangorack.observe.DaemonThreads;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.LoopDelay;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ContactTracker;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoredObject;

/**
 * An entry instance: serves callers, exchanges heartbeats with the keepers and caches the
 * configuration and the upstreams of the platform.
 */
public final class EntryNode implements AutoCloseable {

	/**
	 * The interval between heartbeats in a small fleet. Token bucket levels and the list
	 * of entries are up to this old.
	 */
	static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(200);

	/**
	 * The maximum interval between heartbeats.
	 */
	static final Duration MAX_HEARTBEAT_INTERVAL = Duration.ofMillis(400);

	/**
	 * The number of entries above which the heartbeat interval grows with the fleet, up
	 * to the maximum, so that the load on keepers grows more slowly than the fleet.
	 */
	static final int FULL_RATE_ENTRIES = 24;

	/**
	 * How long callers may cache the list of addresses. Short, as entries are added and
	 * removed often.
	 */
	static final Duration MAX_DIRECTORY_AGE = Duration.ofSeconds(1);

	/**
	 * How long a stopping entry still accepts connections. Some callers cache the list of
	 * addresses for three times its time to live.
	 */
	static final Duration SHUTDOWN_LINGER = Duration.ofMillis(2500);

	/**
	 * The configuration age above which the entry queries the platform itself. Keepers
	 * that reach the platform confirm the configuration more often than that.
	 */
	static final Duration PROBE_AGE = Duration.ofMillis(2200);

	/**
	 * The fraction of the time limit for applying a configuration change after which the
	 * entry queries the platform itself, if that is sooner.
	 */
	static final double PROBE_AGE_FRACTION = 0.8;

	/**
	 * How long no keeper may be connected before the group counts as possibly replaced.
	 */
	static final Duration GROUP_LOST_TIMEOUT = Duration.ofMillis(1500);

	/**
	 * The interval between queries to the seeds while no keeper group is known.
	 */
	static final Duration SEED_QUERY_INTERVAL = Duration.ofMillis(400);

	private static final Duration PROBE_CHECK_INTERVAL = Duration.ofMillis(150);

	private final EntrySettings settings;

	private final FleetProtocol protocol;

	private final Metrics metrics;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final EventLoopGroup eventLoopGroup = new MultiThreadIoEventLoopGroup(1,
			new DefaultThreadFactory("traffic", true), NioIoHandler.newFactory());

	private final EventLoop loop = this.eventLoopGroup.next();

	private final ConfigurationHolder configuration;

	private final ConfigurationFetcher fetcher;

	private final KeeperClient keepers;

	private final UpstreamTable upstreams;

	private final ColdRate coldRate;

	private final WorkspaceRateLimiter rates;

	private final RelayServer server;

	private final PlatformOutageDetector contact;

	private final KeeperReplies keeperReplies;

	private final PlatformProbe probe;

	private final LoopDelay loopDelay;

	private final ScheduledExecutorService controlExecutor = Executors
		.newSingleThreadScheduledExecutor(DaemonThreads.named("control"));

	private final Runnable heartbeatTask = new GuardedTask("beat", this::sendHeartbeat);

	private final CountDownLatch stopped = new CountDownLatch(1);

	private boolean configurationStale;

	private boolean earlyHeartbeatSent;

	private long seedsQueriedAt;

	private long keepersConnectedAt;

	private volatile boolean stopping;

	/**
	 * Creates an entry that is not started.
	 * @param settings its settings
	 * @param store the object API of the platform
	 * @param protocol the protocol of callers, upstreams and operators
	 * @param metrics receives metrics
	 */
	public EntryNode(EntrySettings settings, ObjectStore store, FleetProtocol protocol, Metrics metrics) {
		this.settings = settings;
		this.seedsQueriedAt = this.clock.nanoTime() - SEED_QUERY_INTERVAL.toNanos();
		this.keepersConnectedAt = this.clock.nanoTime();
		this.protocol = protocol;
		this.metrics = metrics;
		this.loopDelay = new LoopDelay(this.loop, this.clock, metrics);
		this.configuration = new ConfigurationHolder(protocol, this.clock, metrics);
		this.fetcher = new ConfigurationFetcher(this.configuration, this.clock, this.loop,
				this::onConfigurationApplied);
		this.keepers = new KeeperClient(this.loop, this.clock, settings.dataCentre(), settings.tolerance());
		UpstreamClient client = new UpstreamClient(this.loop, protocol, this.clock, metrics);
		this.upstreams = new UpstreamTable(this.loop, protocol, client, this.clock, settings.instance(),
				settings.dataCentre());
		this.rates = new WorkspaceRateLimiter(this.keepers, this.configuration::version, this.loop, this.clock);
		this.keeperReplies = new KeeperReplies(this.clock, settings.dataCentre());
		this.probe = new PlatformProbe(store, this.clock, metrics, new ProbeListener());
		this.coldRate = new ColdRate(this.clock, settings.instance(), settings.coldOvershoot(), settings.coldSlack());
		this.upstreams.setColdRate(this.coldRate,
				(pool) -> Optional.ofNullable(this.configuration.current()).map((c) -> c.pool(pool)).orElse(null));
		if (settings.evacuationBound() != null) {
			this.probe.includeEvacuations();
		}
		this.contact = new PlatformOutageDetector(this.clock, this.keepers::view, this::timeSinceContact);
		this.server = new RelayServer(this.loop, protocol, this.clock, metrics, this.configuration, settings,
				this.contact, this.upstreams, client, this.keepers, this.rates);
	}

	// ---- Lifecycle

	/**
	 * Starts the servers and background tasks. The entry reports itself as not ready and
	 * refuses requests until it has a configuration.
	 * @throws IOException if a port is in use
	 */
	public void start() throws IOException {
		this.server.start(this.settings.callers());
		new StatusServer(this.loop, this::handleStatusRequest).start(this.settings.readiness());
		new StatusServer(this.loop, this::handleStatusRequest).start(this.settings.directory());
		if (this.settings.metrics() != null) {
			new StatusServer(this.loop, (request) -> StatusServer.metrics(this.metrics)).start(this.settings.metrics());
		}
		this.controlExecutor.scheduleWithFixedDelay(new GuardedTask("probe", this.probe::run),
				PROBE_CHECK_INTERVAL.toMillis(), PROBE_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
		this.keepers.setConnectionListener(this::onKeeperConnected);
		this.loop.execute(this::sendAndScheduleHeartbeat);
		this.loop.execute(this.loopDelay::start);
		EventLog.log(Event.INSTANCE_STARTED, "instance", this.settings.instance(), "role", "entry", "callers",
				this.settings.callers(), "tolerance", this.settings.tolerance());
	}

	/**
	 * Stops gracefully: removes the entry from the list of addresses, keeps serving
	 * callers with an outdated list, and waits for open calls. Calls that do not end
	 * within the grace period are answered before the process ends.
	 */
	public void stop() {
		long startedAt = this.clock.nanoTime();
		this.stopping = true;
		EventLog.log(Event.DRAIN_STARTED, "instance", this.settings.instance(), "role", "entry");
		try {
			runOnLoop(() -> {
				this.coldRate.withdraw();
				this.server.announceStop(startedAt + stopSchedule().callsUntil().toNanos());
				sendHeartbeat();
			});
			Duration accepting = stopSchedule().acceptingUntil().minus(this.clock.elapsed(startedAt));
			TimeUnit.NANOSECONDS.sleep(accepting.toNanos());
			runOnLoop(() -> {
				this.server.announceStop(startedAt + stopSchedule().callsUntil().toNanos());
				this.server.stopAccepting();
			});
			awaitConnectionsClosed(() -> startedAt + stopSchedule().callsUntil().toNanos());
			runOnLoop(this.server::endCalls);
			awaitConnectionsClosed(() -> startedAt + stopSchedule().responsesUntil().toNanos());
			runOnLoop(this.server::endStreams);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		EventLog.log(Event.INSTANCE_STOPPED, "instance", this.settings.instance(), "role", "entry", "open",
				this.server.openConnections());
		this.stopped.countDown();
	}

	/**
	 * Stops immediately and aborts all calls, for use where the process keeps running.
	 */
	@Override
	public void close() {
		this.controlExecutor.shutdownNow();
		this.eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
		this.stopped.countDown();
	}

	/**
	 * Waits until the entry is stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStop() throws InterruptedException {
		this.stopped.await();
	}

	private StopSchedule stopSchedule() {
		return StopSchedule.of(this.settings.grace(), SHUTDOWN_LINGER, this.loopDelay.longest());
	}

	private void awaitConnectionsClosed(LongSupplier until) throws InterruptedException {
		while ((this.server.openConnections() > 0) && (this.clock.nanoTime() - until.getAsLong() < 0)) {
			TimeUnit.MILLISECONDS.sleep(20);
		}
	}

	// ---- Platform contact

	private Duration timeSinceContact() {
		Duration timeSinceResponse = this.probe.timeSinceResponse();
		Duration age = this.configuration.age();
		return (timeSinceResponse.compareTo(age) < 0) ? timeSinceResponse : age;
	}

	private void updateProbeNeeds(long now) {
		if (!this.keepers.connectedMembers().isEmpty()) {
			this.keepersConnectedAt = now;
		}
		boolean groupLost = now - this.keepersConnectedAt > GROUP_LOST_TIMEOUT.toNanos();
		this.probe.setNeeds(new PlatformProbe.Needs(this.configuration.age().compareTo(probeAge()) > 0,
				!this.keeperReplies.hasPlatformContact(), groupLost || (this.keepers.view().epoch() == 0),
				!this.keeperReplies.hasRecentReply(), this.keeperReplies.entryCount()));
	}

	private Duration probeAge() {
		Duration scaledAge = Duration.ofNanos((long) (this.settings.maxAbsenceAge().toNanos() * PROBE_AGE_FRACTION));
		return (scaledAge.compareTo(PROBE_AGE) < 0) ? scaledAge : PROBE_AGE;
	}

	// ---- Heartbeats

	private void sendAndScheduleHeartbeat() {
		this.heartbeatTask.run();
		double scale = Math.max(1, this.keeperReplies.entryCount() / (double) FULL_RATE_ENTRIES);
		long interval = Math.min(MAX_HEARTBEAT_INTERVAL.toNanos(), (long) (HEARTBEAT_INTERVAL.toNanos() * scale));
		this.loop.schedule(this::sendAndScheduleHeartbeat, interval, TimeUnit.NANOSECONDS);
	}

	private void sendHeartbeat() {
		long sentAt = this.clock.nanoTime();
		updateConfigurationStaleness();
		updateProbeNeeds(sentAt);
		List<Usage> usage = this.rates.takeUsage();
		Map<String, Long> reported = this.rates.reported();
		List<Load> load = this.upstreams.drainLoad();
		List<Departure> departures = this.upstreams.departures();
		boolean seedQueryDue = (this.keepers.view().epoch() == 0)
				&& (sentAt - this.seedsQueriedAt >= SEED_QUERY_INTERVAL.toNanos());
		if (seedQueryDue) {
			this.seedsQueriedAt = sentAt;
			this.keepers.querySeeds(this.settings.seeds(), buildHeartbeat("", List.of(), load, departures, true),
					(member, pulse, source) -> {
						onConfigurationVersion(pulse, source, sentAt);
						this.upstreams.apply(pulse.getUpstreams());
						this.upstreams.applyEvacuations(pulse.getEvacuations());
						this.upstreams.applyDepartures(pulse.getDepartureList());
						openGateIfReady();
					});
		}
		Set<String> listSources = this.keeperReplies.listSources(this.keepers.connectedMembers());
		this.keepers.sendHeartbeats((disk) -> buildHeartbeat(disk, usage, load, departures, listSources.contains(disk)),
				(member, pulse, source) -> onHeartbeatReply(member, pulse, source, reported, sentAt));
	}

	private Beat buildHeartbeat(String disk, List<Usage> usage, List<Load> load, List<Departure> departures,
			boolean withLists) {
		KeeperReplies.KeeperState known = this.keeperReplies.known(disk);
		ConfigurationRelay.ConfirmedVersion configured = this.configuration.confirmedVersion();
		return Beat.newBuilder()
			.setInstance(this.settings.instance())
			.setCallerAddress(this.settings.callers().toString())
			.setZone(this.settings.dataCentre())
			.setAccepting(isReady())
			.addAllUsage(usage)
			.setConfiguration(configured.version())
			.setConfigurationAgeMs(configured.age().toMillis() + 1)
			.setEntries((known != null) ? known.entries().version() : 0)
			.setEntriesStart((known != null) ? known.entries().incarnation() : 0)
			.addAllLoad(load)
			.addAllDeparture(departures)
			.setDepartures((known != null) ? known.departuresVersion() : 0)
			.setContactAgeMs(timeSinceContact().toMillis())
			.setPulseTimeMs((known != null) ? known.keeperTimeMillis() : 0)
			.setWithLists(withLists)
			.setUpstreams(this.upstreams.version())
			.setEvacuations(this.upstreams.evacuationsVersion())
			.build();
	}

	private void onConfigurationVersion(Pulse pulse, ConfigurationSource source, long sentAt) {
		this.configuration.confirm(pulse.getConfiguration(),
				sentAt - TimeUnit.MILLISECONDS.toNanos(pulse.getConfigurationAgeMs()));
		this.server.absence().update();
		this.fetcher.onVersionAnnounced(pulse.getConfiguration(), source);
		if (pulse.getConfigurationWanted() && (this.configuration.version() > pulse.getConfiguration())) {
			source.offer(this.configuration.document());
		}
	}

	private void onConfigurationApplied() {
		this.server.absence().update();
		this.server.turns().reconsider();
		openGateIfReady();
	}

	private void onHeartbeatReply(Member member, Pulse pulse, ConfigurationSource source, Map<String, Long> reported,
			long sentAt) {
		onConfigurationVersion(pulse, source, sentAt);
		this.keeperReplies.update(member.getDisk(), pulse);
		PlatformContact platform = pulse.getContact();
		this.upstreams.updatePlatformContact(member.getDisk(), new ContactTracker.Contact(platform.getAnswering(),
				Duration.ofMillis(platform.getLengthMs()), platform.getBroken()));
		this.contact.update(member.getDisk(), pulse);
		this.rates.setLevels(member.getDisk(), pulse, reported);
		if (pulse.getWithLists()) {
			this.upstreams.apply(pulse.getUpstreams());
			this.upstreams.applyEvacuations(pulse.getEvacuations());
			this.upstreams.applyDepartures(pulse.getDepartureList());
			if (this.keeperReplies.known(member.getDisk()).entries().matches(pulse) && !this.stopping) {
				this.coldRate.setEntries(this.keeperReplies.instances(), sentAt);
			}
			this.upstreams.setLoadOfOtherEntries(this.keeperReplies.loadOfOtherEntries());
		}
		openGateIfReady();
	}

	// Sends the first heartbeat as soon as a majority is connected instead of at the next
	// interval, as the entry serves nothing before its replies.
	private void onKeeperConnected() {
		if (!this.server.gate().isOpen() && !this.earlyHeartbeatSent && this.keepers.isServing()) {
			this.earlyHeartbeatSent = true;
			sendHeartbeat();
		}
	}

	private void openGateIfReady() {
		if (this.server.gate().isOpen()) {
			return;
		}
		boolean ready = (this.configuration.current() != null) && (this.upstreams.version() > 0)
				&& this.keepers.isServing();
		if (ready) {
			this.server.gate().open();
			updateConfigurationStaleness();
		}
	}

	private void updateConfigurationStaleness() {
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
		return !this.stopping && (this.configuration.current() != null) && (this.upstreams.version() > 0);
	}

	private FullHttpResponse handleStatusRequest(FullHttpRequest request) {
		String path = request.uri().split("\\?", 2)[0];
		if (path.equals(this.protocol.readinessPath())) {
			return emptyResponse(isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE);
		}
		if (path.equals(this.protocol.directoryPath())) {
			if (!isDirectoryCurrent()) {
				return emptyResponse(HttpResponseStatus.SERVICE_UNAVAILABLE);
			}
			return StatusServer.response(HttpResponseStatus.OK, "application/json",
					this.protocol.directory(addresses(), MAX_DIRECTORY_AGE));
		}
		return emptyResponse(HttpResponseStatus.NOT_FOUND);
	}

	private static FullHttpResponse emptyResponse(HttpResponseStatus status) {
		return StatusServer.response(status, "text/plain", new byte[0]);
	}

	// An entry that never received a list is the only one or has just started.
	private boolean isDirectoryCurrent() {
		return this.keeperReplies.hasCurrentList() || (this.keeperReplies.entryCount() == 0);
	}

	private List<String> addresses() {
		List<String> known = this.keeperReplies.addresses();
		return (known.isEmpty() && isReady()) ? List.of(this.settings.callers().toString()) : known;
	}

	private void runOnLoop(Runnable task) throws InterruptedException {
		try {
			this.loop.submit(task).get();
		}
		catch (ExecutionException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex.getCause(), "place", "stop");
		}
	}

	/**
	 * Applies the results of platform queries.
	 */
	private final class ProbeListener implements PlatformProbe.Listener {

		@Override
		public void configuration(StoredObject object, long queriedAt) {
			EntryNode.this.configuration.offer(object.spec(), queriedAt, "platform");
			EntryNode.this.loop.execute(EntryNode.this::onConfigurationApplied);
		}

		@Override
		public void upstreams(UpstreamNews news, ContactTracker.Contact contact) {
			EntryNode.this.loop.execute(() -> {
				EntryNode.this.upstreams.updatePlatformContact("", contact);
				EntryNode.this.upstreams.apply(news);
			});
		}

		@Override
		public void evacuations(Evacuations evacuations) {
			EntryNode.this.loop.execute(() -> EntryNode.this.upstreams.applyEvacuations(evacuations));
		}

		@Override
		public void group(StoredObject object) {
			GroupView view = GroupDocument.read(object.spec(), EntryNode.this.settings.tolerance());
			EntryNode.this.loop.execute(() -> EntryNode.this.keepers.adopt(view));
		}

	}

}
