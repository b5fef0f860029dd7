package org.mangorack.member;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Verdict;
import org.mangorack.config.Settings;
import org.mangorack.http.HttpAddress;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.member.proto.Frame;
import org.mangorack.member.proto.Heartbeat;
import org.mangorack.member.proto.Hello;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;

/**
 * Manages the links of this instance to all other instances. Of two instances, the one
 * whose name sorts first dials the other.
 */
public final class PeerLinks {

	/**
	 * Interval between heartbeats.
	 */
	public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(400);

	/**
	 * Maximum age of the last echoed heartbeat for a peer to count as reachable.
	 */
	public static final Duration REACHABILITY_TIMEOUT = Duration.ofMillis(1500);

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(3);

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, new DefaultThreadFactory("peer", true),
			NioIoHandler.newFactory());

	private final Map<String, PeerLink> established = new ConcurrentHashMap<>();

	private final Map<String, PeerLink> dialing = new ConcurrentHashMap<>();

	private final Map<String, HeartbeatTracker> trackers = new ConcurrentHashMap<>();

	private final Map<String, PeerHandler> handlers = new HashMap<>();

	private final String self;

	private final String secret;

	private final LinkSecurity security;

	private final ExecutorService traffic;

	private final MonotonicClock clock;

	private final HeartbeatSource heartbeats;

	private volatile String host;

	private Channel server;

	/**
	 * Creates the link manager of an instance without any open link.
	 * @param settings the settings of the instance
	 * @param traffic executes calls from other instances
	 * @param clock the time source
	 * @param heartbeats supplies the state that is sent in heartbeats
	 * @throws IllegalArgumentException if the certificates are missing or invalid
	 */
	public PeerLinks(Settings settings, ExecutorService traffic, MonotonicClock clock, HeartbeatSource heartbeats) {
		this.self = settings.instance();
		this.secret = settings.peerSecret();
		this.security = LinkSecurity.read(settings.peerTls());
		this.traffic = traffic;
		this.clock = clock;
		this.heartbeats = heartbeats;
	}

	// ---- Life-cycle

	/**
	 * Registers the handler for a kind of call. Must be called before {@link #start}.
	 * @param kind the kind of call
	 * @param handler handles the calls
	 */
	public void register(String kind, PeerHandler handler) {
		this.handlers.put(kind, handler);
	}

	/**
	 * Starts listening and sending heartbeats. Outgoing connections are bound to the same
	 * host address.
	 * @param address the address to listen on
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void start(HttpAddress address) throws InterruptedException {
		this.host = address.host();
		this.server = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new LinkInitializer(false, null))
			.bind(new InetSocketAddress(address.host(), address.port()))
			.sync()
			.channel();
		this.eventLoops.scheduleAtFixedRate(this::sendHeartbeats, 0, HEARTBEAT_INTERVAL.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes all links.
	 */
	public void close() {
		if (this.server != null) {
			this.server.close();
		}
		this.established.values().forEach(PeerLink::close);
		this.eventLoops.shutdownGracefully(0, 200, TimeUnit.MILLISECONDS);
	}

	// ---- Public API

	/**
	 * Dials missing links, and closes links that are idle or lead to instances that are
	 * not listed.
	 * @param peers the addresses of the other listed instances by name
	 */
	public void maintain(Map<String, HttpAddress> peers) {
		this.established.forEach((name, link) -> {
			if (!peers.containsKey(name) || (link.idleTime().compareTo(IDLE_TIMEOUT) > 0)) {
				link.close();
			}
		});
		retainTrackers(peers.keySet());
		peers.forEach((name, address) -> {
			if ((this.self.compareTo(name) < 0) && !this.established.containsKey(name)) {
				dial(name, address);
			}
		});
	}

	/**
	 * Calls another instance and waits for the head of its response.
	 * @param peer the name of the instance
	 * @param open the call
	 * @param timeout the maximum time to wait
	 * @return the response, whose body is read as it arrives
	 * @throws PeerCallException if no response was received
	 */
	public CallAnswer call(String peer, CallOpen open, Duration timeout) throws PeerCallException {
		PeerLink link = this.established.get(peer);
		if (link == null) {
			throw new PeerCallException("no link to " + peer, Verdict.NOT_RUN);
		}
		return link.call(open, timeout);
	}

	/**
	 * Returns whether another instance is reachable.
	 * @param peer the name of the instance
	 * @return {@code true} if a heartbeat sent within {@link #REACHABILITY_TIMEOUT} was
	 * echoed
	 */
	public boolean isReachable(String peer) {
		HeartbeatTracker tracker = this.trackers.get(peer);
		return (tracker != null) && tracker.isReachable(this.clock.nanoTime());
	}

	/**
	 * Returns the last heartbeat of another instance if it is reachable.
	 * @param peer the name of the instance
	 * @return the heartbeat, or the default instance if the peer is not reachable or has
	 * sent none
	 */
	public Heartbeat lastHeartbeat(String peer) {
		PeerLink link = this.established.get(peer);
		Heartbeat heartbeat = (link != null) ? link.lastHeartbeat() : null;
		return (isReachable(peer) && (heartbeat != null)) ? heartbeat : Heartbeat.getDefaultInstance();
	}

	// ---- Callbacks of links

	MonotonicClock clock() {
		return this.clock;
	}

	String self() {
		return this.self;
	}

	String secret() {
		return this.secret;
	}

	PeerHandler handler(String kind) {
		return this.handlers.get(kind);
	}

	boolean accepts(Hello hello, Channel channel) {
		boolean certified = this.security.isPeerVerified(channel, hello.getInstance());
		boolean sameSecret = MessageDigest.isEqual(bytes(hello.getSecret()), bytes(this.secret));
		return certified && sameSecret && (hello.getProtocol() == PeerLink.PROTOCOL_VERSION);
	}

	boolean isPeerVerified(PeerLink link, Channel channel) {
		return this.security.isPeerVerified(channel, link.peer());
	}

	void established(PeerLink link) {
		PeerLink old = this.established.put(link.peer(), link);
		this.dialing.remove(link.peer(), link);
		if ((old != null) && (old != link)) {
			old.close();
		}
		EventLog.log(Event.PEER_CONNECTED, "peer", link.peer());
	}

	void closed(PeerLink link) {
		if (link.peer() == null) {
			return;
		}
		this.dialing.remove(link.peer(), link);
		if (this.established.remove(link.peer(), link)) {
			EventLog.log(Event.PEER_LOST, "peer", link.peer());
		}
	}

	void heartbeatReceived(PeerLink link, Heartbeat heartbeat) {
		if (this.established.get(link.peer()) != link) {
			established(link);
		}
		tracker(link.peer()).heartbeatReceived(heartbeat);
	}

	// ---- Helpers

	private void sendHeartbeats() {
		Heartbeat state = this.heartbeats.current();
		this.established.forEach((name, link) -> sendHeartbeat(name, link, state));
		this.dialing.forEach((name, link) -> sendHeartbeat(name, link, state));
	}

	private void sendHeartbeat(String name, PeerLink link, Heartbeat state) {
		if (link.isOpen()) {
			Heartbeat heartbeat = tracker(name).nextHeartbeat(state, this.clock.nanoTime());
			link.send(Frame.newBuilder().setHeartbeat(heartbeat).build());
		}
	}

	private HeartbeatTracker tracker(String name) {
		return this.trackers.computeIfAbsent(name, (n) -> new HeartbeatTracker());
	}

	private void retainTrackers(Set<String> names) {
		this.trackers.keySet().removeIf((name) -> !names.contains(name) && !this.established.containsKey(name));
	}

	private void dial(String name, HttpAddress address) {
		if (this.dialing.containsKey(name)) {
			return;
		}
		LinkInitializer initializer = new LinkInitializer(true, name);
		this.dialing.put(name, initializer.link);
		new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(initializer)
			.connect(new InetSocketAddress(address.host(), address.port()), new InetSocketAddress(this.host, 0))
			.addListener((future) -> {
				if (!future.isSuccess()) {
					this.dialing.remove(name, initializer.link);
				}
			});
		this.eventLoops.schedule(() -> closeUnestablished(name, initializer.link), IDLE_TIMEOUT.toMillis(),
				TimeUnit.MILLISECONDS);
	}

	private void closeUnestablished(String name, PeerLink link) {
		if (this.dialing.remove(name, link)) {
			link.close();
		}
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Configures the channel of a link.
	 */
	private final class LinkInitializer extends ChannelInitializer<SocketChannel> {

		private final PeerLink link;

		private LinkInitializer(boolean dialer, String peer) {
			this.link = dialer ? new PeerLink(PeerLinks.this, PeerLinks.this.traffic, true, peer) : null;
		}

		@Override
		protected void initChannel(SocketChannel channel) {
			PeerLink handler = (this.link != null) ? this.link
					: new PeerLink(PeerLinks.this, PeerLinks.this.traffic, false, null);
			PeerLinks.this.security.addTlsHandler(channel, channel.pipeline(), this.link != null);
			MessageFrames.addTo(channel.pipeline(), Frame.getDefaultInstance());
			channel.pipeline().addLast(handler);
		}

	}

}
