package org.mangorack.relay;

import java.util.Iterator;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;

import org.mangorack.http.ResponseRules;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;

/**
 * Connection pool for upstreams. Not thread-safe: confined to the traffic event loop.
 */
final class UpstreamClient {

	/**
	 * The connect timeout. The round trip to upstreams takes a few milliseconds, and a
	 * lost SYN would be retransmitted only after a second.
	 */
	static final int CONNECT_TIMEOUT_MS = 300;

	/**
	 * The maximum number of idle connections per upstream. More of them would use up
	 * connections that other instances need.
	 */
	static final int MAX_IDLE_CONNECTIONS = 6;

	private final EventLoop loop;

	private final FleetProtocol protocol;

	private final MonotonicClock clock;

	private final Metrics metrics;

	UpstreamClient(EventLoop loop, FleetProtocol protocol, MonotonicClock clock, Metrics metrics) {
		this.loop = loop;
		this.protocol = protocol;
		this.clock = clock;
		this.metrics = metrics;
	}

	long now() {
		return this.clock.nanoTime();
	}

	/**
	 * Reuses an idle connection that has not carried the request before, or opens a new
	 * one.
	 * @param upstream the upstream
	 * @param requestId the id of the request
	 * @param done receives the connection, or {@code null} if none could be opened
	 */
	void connect(Upstream upstream, String requestId, Consumer<UpstreamConnection> done) {
		UpstreamConnection idle = pollIdle(upstream, requestId);
		if (idle != null) {
			done.accept(idle);
			return;
		}
		UpstreamConnection connection = new UpstreamConnection(this, upstream, this.protocol);
		this.metrics.count("mangorack.upstream.connections", 1);
		ChannelFuture future = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.handler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel ch) {
					ch.pipeline()
						.addLast(new UpstreamDecoder(connection::onBytesReceived), new HttpRequestEncoder(),
								connection);
				}
			})
			.connect(upstream.entry().address().host(), upstream.entry().address().port());
		future.addListener((f) -> done.accept(f.isSuccess() ? connection : null));
	}

	/**
	 * Returns a connection to the pool after a complete response.
	 * @param connection the connection
	 */
	void release(UpstreamConnection connection) {
		Upstream upstream = connection.upstream();
		boolean reuse = upstream.isInUse() && !upstream.isSingleUse(now());
		if (reuse && (upstream.idle().size() < MAX_IDLE_CONNECTIONS)) {
			upstream.idle().push(connection);
		}
		else {
			connection.close();
		}
	}

	/**
	 * Closes expired idle connections, or all idle connections.
	 * @param upstream the upstream
	 * @param all whether to close all idle connections
	 */
	void closeIdle(Upstream upstream, boolean all) {
		Iterator<UpstreamConnection> iterator = upstream.idle().iterator();
		while (iterator.hasNext()) {
			UpstreamConnection connection = iterator.next();
			if (all || !connection.isUsable(now())) {
				iterator.remove();
				connection.close();
			}
		}
	}

	/**
	 * Marks an upstream as shutting down. Its idle connections are closed, and no further
	 * requests are sent to it.
	 * @param upstream the upstream
	 */
	void markDeparting(Upstream upstream) {
		if (!upstream.isDeparting()) {
			upstream.setDeparting();
			closeIdle(upstream, true);
			EventLog.log(Event.UPSTREAM_OUT_OF_USE, "upstream", upstream.id(), "cause",
					"upstream announced its shutdown", "underWay", upstream.callsInFlight());
		}
	}

	/**
	 * Records that an upstream sent bytes that belong to no request, or to another one.
	 * Its idle connections are closed, and for some time each of its connections carries
	 * one request only: the rest of a response that was sent twice cannot be told from
	 * the next response on the same connection.
	 * @param upstream the upstream
	 * @param kind {@code idle} without a pending request, {@code surplus} directly after
	 * a response, {@code answer} for a response to another request, {@code malformed} for
	 * bytes that are no response
	 */
	void strayReceived(Upstream upstream, String kind) {
		this.metrics.count("mangorack.upstream.stray", 1, "kind", kind);
		upstream.setSingleUseUntil(now() + ResponseRules.SINGLE_USE_PERIOD.toNanos());
		closeIdle(upstream, true);
	}

	private UpstreamConnection pollIdle(Upstream upstream, String requestId) {
		closeIdle(upstream, false);
		Iterator<UpstreamConnection> iterator = upstream.idle().iterator();
		while (iterator.hasNext()) {
			UpstreamConnection connection = iterator.next();
			if (!connection.hasCarried(requestId)) {
				iterator.remove();
				return connection;
			}
		}
		return null;
	}

}
