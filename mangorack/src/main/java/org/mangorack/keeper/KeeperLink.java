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
 * A connection to a keeper that reconnects whenever it is lost. Not thread-safe unless
 * noted otherwise: confined to its event loop.
 */
final class KeeperLink {

	/**
	 * The inactivity timeout. A connection with pending requests is closed if for this
	 * long the keeper has neither sent a byte nor accepted a part of a large request.
	 * Several times the heartbeat interval and the duration of a slow disk sync.
	 */
	static final Duration INACTIVITY_TIMEOUT = Duration.ofMillis(800);

	private static final Duration RECONNECT_DELAY = Duration.ofMillis(150);

	private static final int CONNECT_TIMEOUT_MS = 500;

	private final EventLoop loop;

	private final Member member;

	private final MonotonicClock clock;

	private final Runnable onConnected;

	private final Map<Long, Pending> pending = new LinkedHashMap<>();

	private Channel channel;

	private boolean connected;

	private boolean connectedBefore;

	private boolean closed;

	private long lastRequestId;

	private volatile long lastActivity;

	KeeperLink(EventLoop loop, Member member, MonotonicClock clock, Runnable onConnected) {
		this.loop = loop;
		this.member = member;
		this.clock = clock;
		this.onConnected = onConnected;
	}

	// ---- Life-cycle

	void connect() {
		if (this.closed) {
			return;
		}
		ChannelFuture future = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel ch) {
					ch.pipeline().addLast(new ReadActivity());
					MessageFrames.addTo(ch.pipeline(), Reply.getDefaultInstance());
					ch.pipeline().addLast(new Handler());
				}
			})
			.connect(this.member.getHost(), this.member.getPort());
		future.addListener((f) -> {
			if (!f.isSuccess()) {
				scheduleConnect();
			}
		});
	}

	void close() {
		this.closed = true;
		if (this.channel != null) {
			this.channel.close();
		}
	}

	// ---- Accessors

	Member member() {
		return this.member;
	}

	boolean isConnected() {
		return this.connected;
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
		if (!this.connected) {
			listener.connectionLost();
			return;
		}
		long id = ++this.lastRequestId;
		this.pending.put(id, new Pending(listener, this.clock.nanoTime()));
		ChannelProgressivePromise written = this.channel.newProgressivePromise();
		written.addListener(new WriteActivity());
		this.channel.writeAndFlush(request.setId(id).setDisk(this.member.getDisk()).build(), written);
	}

	/**
	 * Closes the connection if requests are pending and the inactivity timeout has
	 * expired.
	 */
	void checkInactivity() {
		if (this.pending.isEmpty()) {
			return;
		}
		long now = this.clock.nanoTime();
		long oldest = this.pending.values().iterator().next().sentAt();
		if (now - Math.max(oldest, this.lastActivity) > INACTIVITY_TIMEOUT.toNanos()) {
			EventLog.log(Event.KEEPER_SILENT, "keeper", this.member.getName(), "waiting", this.pending.size());
			this.channel.close();
		}
	}

	// ---- Helpers

	private void scheduleConnect() {
		if (!this.closed && !this.loop.isShuttingDown()) {
			this.loop.schedule(this::connect, RECONNECT_DELAY.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	private void onDisconnected() {
		boolean wasConnected = this.connected;
		this.connected = false;
		List<Pending> lost = new ArrayList<>(this.pending.values());
		this.pending.clear();
		if (wasConnected && !this.closed) {
			EventLog.log(Event.KEEPER_LOST, "keeper", this.member.getName(), "waiting", lost.size());
		}
		lost.forEach((p) -> p.listener().connectionLost());
		scheduleConnect();
	}

	/**
	 * Records when bytes arrive, so that a large reply over a slow network does not count
	 * as inactivity.
	 */
	private final class ReadActivity extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			KeeperLink.this.lastActivity = KeeperLink.this.clock.nanoTime();
			ctx.fireChannelRead(message);
		}

	}

	/**
	 * Records when the keeper accepts a part of a large request. The completion of a
	 * write is no sign of activity, since the operating system may still buffer the
	 * bytes.
	 */
	private final class WriteActivity implements ChannelProgressiveFutureListener {

		@Override
		public void operationProgressed(ChannelProgressiveFuture future, long progress, long total) {
			if (progress < total) {
				KeeperLink.this.lastActivity = KeeperLink.this.clock.nanoTime();
			}
		}

		@Override
		public void operationComplete(ChannelProgressiveFuture future) {
			// A failed write closes the connection, which is reported on its own.
		}

	}

	/**
	 * Dispatches replies to the listeners of their requests.
	 */
	private final class Handler extends SimpleChannelInboundHandler<Reply> {

		@Override
		public void channelActive(ChannelHandlerContext ctx) {
			KeeperLink link = KeeperLink.this;
			if (link.closed) {
				ctx.close();
				return;
			}
			link.channel = ctx.channel();
			link.connected = true;
			link.lastActivity = link.clock.nanoTime();
			EventLog.log(link.connectedBefore ? Event.KEEPER_REGAINED : Event.KEEPER_CONNECTED, "keeper",
					link.member.getName());
			link.connectedBefore = true;
			link.onConnected.run();
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			onDisconnected();
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, Reply reply) {
			KeeperLink link = KeeperLink.this;
			boolean last = reply.getDurable() || (reply.getStatusValue() != 0);
			Pending pendingRequest = last ? link.pending.remove(reply.getId()) : link.pending.get(reply.getId());
			if (pendingRequest != null) {
				pendingRequest.listener().replied(reply);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			EventLog.log(Event.KEEPER_LOST, "keeper", KeeperLink.this.member.getName(), "cause", cause);
			ctx.close();
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
