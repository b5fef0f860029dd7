package org.mangorack.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;

import org.mangorack.call.Refusal;
import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.KeeperClient;
import org.mangorack.limit.ProgramAdmission;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.relay.FleetConfiguration.CallerLimits;
import org.mangorack.relay.FleetConfiguration.Pool;

/**
 * Accepts connections from callers and holds the state that their calls share. Not
 * thread-safe: confined to the traffic event loop, except for its start.
 */
final class RelayServer {

	/**
	 * How long the keeper group may be unreachable before calls no longer wait for it.
	 */
	static final Duration KEEPERS_UNAVAILABLE_AFTER = Duration.ofMillis(700);

	private static final Duration CONNECTION_CHECK_INTERVAL = Duration.ofMillis(200);

	private final EventLoop loop;

	private final FleetProtocol protocol;

	private final MonotonicClock clock;

	private final Metrics metrics;

	private final ConfigurationHolder configuration;

	private final Duration maxConfigurationAge;

	private final long promptReuseMinTokenBytes;

	private final boolean limitStarts;

	private final AbsenceCheck absence;

	private final PlatformOutageDetector contact;

	private final UpstreamTable upstreams;

	private final UpstreamClient client;

	private final KeeperClient keepers;

	private final WorkspaceRateLimiter rates;

	private final StartupGate gate;

	private final CallLog log;

	private final MemoryBudget memory;

	private final RouteLatencies routeLatencies = new RouteLatencies();

	// The times between events, by pool of large models.
	private final RouteLatencies generationLatencies = new RouteLatencies();

	private final WaitingTurns turns;

	private final ProgramAdmission admission = new ProgramAdmission(new SplittableRandom());

	private final Set<CallerConnection> connections = new HashSet<>();

	private Channel serverChannel;

	private boolean closing;

	private boolean accepting = true;

	private long callsEndAt;

	private long keepersLastServingAt;

	RelayServer(EventLoop loop, FleetProtocol protocol, MonotonicClock clock, Metrics metrics,
			ConfigurationHolder configuration, EntrySettings settings, PlatformOutageDetector contact,
			UpstreamTable upstreams, UpstreamClient client, KeeperClient keepers, WorkspaceRateLimiter rates) {
		this.loop = loop;
		this.protocol = protocol;
		this.clock = clock;
		this.metrics = metrics;
		this.configuration = configuration;
		this.maxConfigurationAge = settings.maxConfigurationAge();
		this.promptReuseMinTokenBytes = settings.promptReuseMinTokenBytes();
		this.limitStarts = settings.limitStarts();
		this.absence = new AbsenceCheck(loop, configuration, settings.maxAbsenceAge());
		this.contact = contact;
		this.upstreams = upstreams;
		this.client = client;
		this.keepers = keepers;
		this.rates = rates;
		this.gate = new StartupGate(loop, clock);
		this.turns = new WaitingTurns(loop, clock, upstreams, metrics);
		this.log = new CallLog(clock, metrics);
		this.keepersLastServingAt = clock.nanoTime();
		this.memory = new MemoryBudget(MemoryBudget.processLimit(), metrics);
		metrics.gauge("mangorack.held.bytes", this.memory::heldBytes);
		upstreams.setStartsLimited(this::limitsStarts);
		metrics.gauge("mangorack.upstreams.starting", upstreams::startingCount);
	}

	// ---- Lifecycle

	/**
	 * Starts the server.
	 * @param address the listen address
	 * @throws IOException if the port is in use
	 */
	void start(HttpAddress address) throws IOException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, 1024)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel ch) {
					CallerLimits limits = callerLimits();
					CallerConnection connection = new CallerConnection(RelayServer.this, limits);
					ch.pipeline()
						.addLast(new CallerDecoder(limits.maxHeadBytes(), connection::onBytesReceived),
								new CallerEncoder(), connection);
				}
			});
		try {
			this.serverChannel = bootstrap.bind(address.host(), address.port()).sync().channel();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while binding " + address, ex);
		}
		// The stop may have begun before there was a port to close.
		this.loop.submit(() -> {
			if (!this.accepting) {
				this.serverChannel.close();
			}
		}).syncUninterruptibly();
		this.loop.scheduleWithFixedDelay(new GuardedTask("connections", this::checkConnections),
				CONNECTION_CHECK_INTERVAL.toMillis(), CONNECTION_CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Makes every further response close its connection.
	 * @param callsEndAt when calls that are still in progress will be ended, in
	 * nanoseconds of the clock
	 */
	void announceStop(long callsEndAt) {
		this.closing = true;
		this.callsEndAt = callsEndAt;
	}

	/**
	 * Stops accepting connections and closes those without a request, now and whenever a
	 * request has been answered.
	 */
	void stopAccepting() {
		this.accepting = false;
		if (this.serverChannel != null) {
			this.serverChannel.close();
		}
		List.copyOf(this.connections).stream().filter(CallerConnection::isIdle).forEach(CallerConnection::close);
	}

	/**
	 * Ends all requests with a response, except for streams that have begun, which cannot
	 * have another one.
	 */
	void endCalls() {
		List.copyOf(this.connections)
			.stream()
			.filter((connection) -> !connection.isStreaming())
			.forEach(CallerConnection::endForStop);
	}

	/**
	 * Ends all requests, and breaks off streams that have begun.
	 */
	void endStreams() {
		List.copyOf(this.connections).forEach(CallerConnection::endForStop);
	}

	// ---- Accessors

	/**
	 * Returns the port that the server listens on.
	 * @return the TCP port
	 */
	int port() {
		return ((InetSocketAddress) this.serverChannel.localAddress()).getPort();
	}

	int openConnections() {
		return this.connections.size();
	}

	boolean isClosing() {
		return this.closing;
	}

	boolean isAccepting() {
		return this.accepting;
	}

	/**
	 * Returns whether a request can be served before the entry stops. While the entry
	 * accepts connections this is taken for granted, as most requests take much less than
	 * their time limit.
	 * @param limit the longest time that the request may take
	 * @return {@code true} if the request can be served
	 */
	boolean isServable(Duration limit) {
		return this.accepting || (now() + limit.toNanos() - this.callsEndAt <= 0);
	}

	FleetProtocol protocol() {
		return this.protocol;
	}

	ConfigurationHolder configuration() {
		return this.configuration;
	}

	/**
	 * Returns whether the configuration is recent enough to accept keys: a key revoked
	 * longer ago than the maximum configuration age is then no longer accepted.
	 * @return {@code true} if the configuration was confirmed recently, or if a
	 * fleet-wide outage of the platform rules out a change since
	 */
	boolean isConfigurationFresh() {
		return (this.configuration.age().compareTo(this.maxConfigurationAge) < 0) || this.contact.isFleetWideOutage();
	}

	/**
	 * Returns whether turns are placed at the engines that keep their prompts, because
	 * reading a prompt takes long at the engines of a pool.
	 * @param pool the pool, or {@code null} if it is unknown
	 * @return {@code true} if its engines take at least as much memory for a token as the
	 * settings demand
	 */
	boolean reusesPrompts(Pool pool) {
		return (pool != null) && (pool.memory() != null)
				&& (pool.memory().tokenBytes() >= this.promptReuseMinTokenBytes);
	}

	/**
	 * Returns whether a deployment has engines whose turns are placed by their prompts.
	 * Its calls without affinity then go to few upstreams of each entry, as programs call
	 * tools between their turns at a high rate.
	 * @param current the configuration
	 * @return {@code true} if any pool reuses prompts
	 */
	boolean prefersSubset(FleetConfiguration current) {
		long tokenBytes = current.largestTokenBytes();
		return (tokenBytes > 0) && (tokenBytes >= this.promptReuseMinTokenBytes);
	}

	// A deployment with any pool that reuses prompts: programs wait for tools between
	// their turns, so that an upstream of a plain pool that starts delays them as well.
	private boolean limitsStarts() {
		FleetConfiguration current = this.configuration.current();
		return this.limitStarts && (current != null) && prefersSubset(current);
	}

	WaitingTurns turns() {
		return this.turns;
	}

	ProgramAdmission admission() {
		return this.admission;
	}

	AbsenceCheck absence() {
		return this.absence;
	}

	UpstreamTable upstreams() {
		return this.upstreams;
	}

	UpstreamClient client() {
		return this.client;
	}

	KeeperClient keepers() {
		return this.keepers;
	}

	boolean isKeeperGroupUnavailable() {
		if (this.keepers.isServing()) {
			this.keepersLastServingAt = now();
		}
		return now() - this.keepersLastServingAt > KEEPERS_UNAVAILABLE_AFTER.toNanos();
	}

	WorkspaceRateLimiter rates() {
		return this.rates;
	}

	StartupGate gate() {
		return this.gate;
	}

	RouteLatencies routeLatencies() {
		return this.routeLatencies;
	}

	RouteLatencies generationLatencies() {
		return this.generationLatencies;
	}

	MemoryBudget memory() {
		return this.memory;
	}

	CallLog log() {
		return this.log;
	}

	long now() {
		return this.clock.nanoTime();
	}

	// ---- Public API

	Future<?> schedule(Runnable task, Duration delay) {
		return this.loop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Records how long a turn waited for room at the engines of its pool.
	 * @param priority the priority of the turn
	 * @param time the time of waiting
	 */
	void recordWait(int priority, Duration time) {
		this.metrics.timer("mangorack.turns.waited", "priority", Integer.toString(priority)).record(time);
	}

	/**
	 * Counts an attempt of a turn for a pool of large models.
	 * @param where {@code kept} at the engine that probably keeps its prompt,
	 * {@code moved} away from it, or {@code new} if none is known
	 */
	void recordPlacement(String where) {
		this.metrics.count("mangorack.turns.placed", 1, "where", where);
	}

	/**
	 * Counts a program that began or was refused because its pool was nearly full.
	 * @param priority the priority of the program
	 * @param admitted whether it began
	 */
	void recordAdmission(int priority, boolean admitted) {
		this.metrics.count("mangorack.programs.admission", 1, "outcome", admitted ? "admitted" : "refused", "priority",
				Integer.toString(priority));
	}

	void record(String workspace, String route, String outcome, Duration time) {
		this.metrics.recordCall(workspace.isEmpty() ? "none" : workspace, route, outcome, time);
	}

	/**
	 * Records how long the end of a stream waited for the confirmation of its turn.
	 * @param outcome {@code kept}, {@code unconfirmed}, or {@code ended} if the call
	 * ended before
	 * @param time the time since the upstream ended the stream
	 */
	void recordConfirmation(String outcome, Duration time) {
		this.metrics.timer("mangorack.turns.confirmed", "outcome", outcome).record(time);
	}

	void connectionOpened(CallerConnection connection) {
		this.connections.add(connection);
	}

	void connectionClosed(CallerConnection connection) {
		this.connections.remove(connection);
	}

	/**
	 * Creates a call for a request.
	 * @param connection the caller's connection
	 * @param request the head of the request
	 * @param body its body
	 * @return the call, or {@code null} if the head is invalid and a refusal was sent
	 */
	RelayCall newCall(CallerConnection connection, HttpRequest request, byte[] body) {
		try {
			return new RelayCall(this, connection, this.protocol.callHead(request), body);
		}
		catch (IllegalArgumentException ex) {
			connection.respond(Refusal.notRun(400, "malformed_request", ex.getMessage()), null);
			return null;
		}
	}

	// ---- Helpers

	private CallerLimits callerLimits() {
		FleetConfiguration known = this.configuration.current();
		return (known != null) ? known.callerLimits() : CallerLimits.DEFAULT;
	}

	private void checkConnections() {
		isKeeperGroupUnavailable();
		List.copyOf(this.connections).forEach(CallerConnection::checkTimeouts);
	}

}
