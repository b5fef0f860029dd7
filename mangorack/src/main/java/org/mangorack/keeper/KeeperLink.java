package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelProgressiveFuture;
import io.netty.channel.ChannelProgressiveFutureListener;
import io.netty.channel.ChannelProgressivePromise;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.member.MessageFrames;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;

/**
 * A link to a keeper that reconnects whenever its connection is lost. A connection on
 * which replies are late is taken out of use, but not closed before another one has
 * proved to be served: a keeper that is only slow would otherwise be burdened with
 * connections and with the requests that were lost with them. Not thread-safe unless
 * noted otherwise: confined to its event loop.
 */
final class KeeperLink {

	/**
	 * The interval at which {@link #checkInactivity()} is to be called.
	 */
	static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	/**
	 * The inactivity timeout. A connection with pending requests is taken out of use if
	 * for this long the keeper has neither sent a byte nor accepted a part of a large
	 * request. Several times the heartbeat interval and the duration of a slow disk sync.
	 */
	static final Duration INACTIVITY_TIMEOUT = Duration.ofMillis(800);

	/**
	 * How long a new connection that is to replace a silent one may stay silent itself.
	 */
	static final Duration PROBE_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * How long a silent connection is kept if no other one is served either. No call
	 * waits longer for a reply.
	 */
	static final Duration MAX_SILENCE = KeeperClient.SETTLE_TIMEOUT;

	// The longest time that one check adds to a silence. The event loop reads between two
	// checks, so a stall of this process does not count as silence of the keeper.
	private static final Duration MAX_STEP = CHECK_INTERVAL.multipliedBy(2);

	private static final Duration RECONNECT_DELAY = Duration.ofMillis(150);

	private static final int CONNECT_TIMEOUT_MS = 500;

	private final EventLoop loop;

	private final Member member;

	private final MonotonicClock clock;

	private final Runnable onConnected;

	// The connection that requests are sent on, or null.
	private Connection current;

	// A connection that is being established or has not been answered yet, or null.
	private Connection candidate;

	// Whether the keeper has yet to answer before requests are sent. Remains after a
	// silent
	// connection was closed, as the next one may be as silent.
	private boolean silent;

	private boolean connectedBefore;

	private boolean closed;

	private long lastRequestId;

	private long lastCheck;

	private volatile long lastActivity;

	KeeperLink(EventLoop loop, Member member, MonotonicClock clock, Runnable onConnected) {
		this.loop = loop;
		this.member = member;
		this.clock = clock;
		this.onConnected = onConnected;
		this.lastCheck = clock.nanoTime();
	}

	// ---- Life-cycle

	void connect() {
		if (this.closed || isConnected() || (this.candidate != null)) {
			return;
		}
		Connection connection = new Connection();
		this.candidate = connection;
		ChannelFuture future = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel ch) {
					ch.pipeline().addLast(new ReadActivity(connection));
					MessageFrames.addTo(ch.pipeline(), Reply.getDefaultInstance());
					ch.pipeline().addLast(connection);
				}
			})
			.connect(this.member.getHost(), this.member.getPort());
		connection.channel = future.channel();
		future.addListener((f) -> {
			if (!f.isSuccess()) {
				onDisconnected(connection);
			}
		});
	}

	void close() {
		this.closed = true;
		if (this.current != null) {
			this.current.channel.close();
		}
		if (this.candidate != null) {
			this.candidate.channel.close();
		}
	}

	// ---- Accessors

	Member member() {
		return this.member;
	}

	/**
	 * Returns whether requests can be sent.
	 * @return {@code true} if there is a connection on which replies are not late
	 */
	boolean isConnected() {
		return (this.current != null) && !this.silent;
	}

	/**
	 * Returns when the keeper last sent bytes or accepted a part of a large request.
	 * @return the time on the monotonic clock; may be read by any thread
	 */
	long lastActivity() {
		return this.lastActivity;
	}

	// ---- Public API

	/**
	 * Sends a request. Reports a lost connection immediately if the link is not
	 * connected.
	 * @param request the request without its id
	 * @param listener receives the outcome
	 */
	void send(Request.Builder request, ReplyListener listener) {
		if (!isConnected()) {
			listener.connectionLost();
			return;
		}
		this.current.send(request, listener);
	}

	/**
	 * Takes the connection out of use if requests are pending and the inactivity timeout
	 * has expired, and then connects anew. The keeper is reached again once it sends
	 * bytes on the former connection, or answers on the new one, which then replaces the
	 * former.
	 */
	void checkInactivity() {
		long now = this.clock.nanoTime();
		if ((this.candidate != null) && (this.candidate.silence(now) > PROBE_TIMEOUT.toNanos())) {
			this.candidate.channel.close();
		}
		if (this.current != null) {
			long silence = this.current.silence(now);
			if (!this.silent && (silence > INACTIVITY_TIMEOUT.toNanos())) {
				EventLog.log(Event.KEEPER_SILENT, "keeper", this.member.getName(), "waiting",
						this.current.pending.size());
				this.silent = true;
				scheduleConnect();
			}
			else if (silence > MAX_SILENCE.toNanos()) {
				this.current.abandoned = true;
				this.current.channel.close();
			}
		}
		this.lastCheck = now;
	}

	/**
	 * Closes the connection if requests are pending and nothing was received for too
	 * long, and then connects anew. Is to be called every {@link #CHECK_INTERVAL} instead
	 * of {@link #checkInactivity()} for a link whose only request is sent again once it
	 * is connected.
	 * @param limit the longest silence
	 */
	void closeIfSilent(Duration limit) {
		long now = this.clock.nanoTime();
		if ((this.current != null) && (this.current.silence(now) > limit.toNanos())) {
			this.current.channel.close();
		}
		this.lastCheck = now;
	}

	// ---- Helpers

	private void scheduleConnect() {
		if (!this.closed && !this.loop.isShuttingDown()) {
			this.loop.schedule(this::connect, RECONNECT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void onEstablished(Connection connection) {
		if (this.closed || (connection != this.candidate)) {
			connection.channel.close();
		}
		else if ((this.current == null) && !this.silent) {
			use(connection);
		}
		else {
			connection.send(Request.newBuilder(), new Probe(connection));
		}
	}

	private void use(Connection connection) {
		Connection former = this.current;
		this.current = connection;
		this.candidate = null;
		if (former != null) {
			former.channel.close();
			former.reportLost();
		}
		onUsable("new");
	}

	private void onUsable(String connection) {
		this.silent = false;
		this.lastActivity = this.clock.nanoTime();
		EventLog.log(this.connectedBefore ? Event.KEEPER_REGAINED : Event.KEEPER_CONNECTED, "keeper",
				this.member.getName(), "connection", connection);
		this.connectedBefore = true;
		this.onConnected.run();
	}

	private void onActivity(Connection connection) {
		connection.silence = 0;
		connection.activeAt = this.clock.nanoTime();
		if (connection != this.current) {
			return;
		}
		this.lastActivity = connection.activeAt;
		if (this.silent) {
			if (this.candidate != null) {
				this.candidate.channel.close();
				this.candidate = null;
			}
			onUsable("former");
		}
	}

	private void onDisconnected(Connection connection) {
		if (connection == this.candidate) {
			this.candidate = null;
			scheduleConnect();
		}
		else if (connection == this.current) {
			onCurrentLost();
		}
		connection.reportLost();
	}

	private void onCurrentLost() {
		if (!this.closed) {
			EventLog.log(Event.KEEPER_LOST, "keeper", this.member.getName(), "waiting", this.current.pending.size());
		}
		Connection lost = this.current;
		this.current = null;
		this.silent = lost.abandoned;
		lost.reportLost();
		if (!this.silent && (this.candidate != null) && this.candidate.channel.isActive()) {
			use(this.candidate);
		}
		else if (this.candidate == null) {
			scheduleConnect();
		}
	}

	/**
	 * Records when bytes arrive, so that a large reply over a slow network does not count
	 * as inactivity.
	 */
	private final class ReadActivity extends ChannelInboundHandlerAdapter {

		private final Connection connection;

		private ReadActivity(Connection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			onActivity(this.connection);
			ctx.fireChannelRead(message);
		}

	}

	/**
	 * Records when the keeper accepts a part of a large request. The completion of a
	 * write is no sign of activity, since the operating system may still buffer the
	 * bytes.
	 */
	private final class WriteActivity implements ChannelProgressiveFutureListener {

		private final Connection connection;

		private WriteActivity(Connection connection) {
			this.connection = connection;
		}

		@Override
		public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
			if (progress < total) {
				onActivity(this.connection);
			}
		}

		@Override
		public void operationComplete(ChannelProgressiveFuture future) {
			// A failed write closes the connection, which is reported on its own.
		}

	}

	/**
	 * A connection to the keeper. Dispatches replies to the listeners of their requests.
	 */
	private final class Connection extends SimpleChannelInboundHandler<Reply> {

		private final Map<Long, Pending> pending = new LinkedHashMap<>();

		private Channel channel;

		private long activeAt = KeeperLink.this.clock.nanoTime();

		private long silence;

		// Whether this instance closes it, because the keeper was silent for too long.
		private boolean abandoned;

		private void send(Request.Builder request, ReplyListener listener) {
			KeeperLink link = KeeperLink.this;
			long id = ++link.lastRequestId;
			this.pending.put(id, new Pending(listener, link.clock.nanoTime()));
			ChannelProgressivePromise written = this.channel.newProgressivePromise();
			written.addListener(new WriteActivity(this));
			this.channel.writeAndFlush(request.setId(id).setDisk(link.member.getDisk()).build(), written);
		}

		// Returns for how many nanoseconds, seen by checks, requests were left without a
		// sign of activity.
		private long silence(long now) {
			if (this.pending.isEmpty()) {
				this.silence = 0;
				return 0;
			}
			long oldest = this.pending.values().iterator().next().sentAt();
			long since = Math.max(Math.max(oldest, this.activeAt), KeeperLink.this.lastCheck);
			this.silence += Math.min(now - since, MAX_STEP.toNanos());
			return this.silence;
		}

		private void reportLost() {
			List<Pending> lost = new ArrayList<>(this.pending.values());
			this.pending.clear();
			lost.forEach((p) -> p.listener().connectionLost());
		}

		@Override
		public void channelActive(ChannelHandlerContext ctx) {
			this.channel = ctx.channel();
			onEstablished(this);
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			onDisconnected(this);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, Reply reply) {
			boolean last = reply.getDurable() || (reply.getStatusValue() != 0);
			Pending request = last ? this.pending.remove(reply.getId()) : this.pending.get(reply.getId());
			if (request != null) {
				request.listener().replied(reply);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			EventLog.log(Event.KEEPER_LOST, "keeper", KeeperLink.this.member.getName(), "cause", cause);
			ctx.close();
		}

	}

	/**
	 * A request without a body, which each keeper answers at once. The reply shows that a
	 * connection is served, which its establishment does not: the operating system
	 * accepts connections for a process that does not run.
	 */
	private final class Probe implements ReplyListener {

		private final Connection connection;

		private Probe(Connection connection) {
			this.connection = connection;
		}

		@Override
		public void replied(Reply reply) {
			if (this.connection == KeeperLink.this.candidate) {
				use(this.connection);
			}
		}

		@Override
		public void connectionLost() {
			// The link connects again.
		}

	}

	/**
	 * A request whose last reply has not arrived.
	 *
	 * @param listener receives the outcome
	 * @param sentAt when it was sent, on the monotonic clock
	 */
	private record Pending(ReplyListener listener, long sentAt) {
	}

}
