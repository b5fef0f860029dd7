package org.mangorack.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerKeepAliveHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;

import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;

/**
 * A non-blocking HTTP server for small requests: readiness, directory, metrics.
 */
public final class StatusServer {

	private static final int MAX_BODY_BYTES = 64 * 1024;

	// Clients of these endpoints poll every one or two seconds.
	private static final int IDLE_TIMEOUT_SECONDS = 20;

	private final EventLoop eventLoop;

	private final Function<FullHttpRequest, FullHttpResponse> service;

	private Channel serverChannel;

	/**
	 * Creates a server without binding its port.
	 * @param eventLoop the event loop that accepts and serves the connections
	 * @param service handles requests; must not block
	 */
	public StatusServer(EventLoop eventLoop, Function<FullHttpRequest, FullHttpResponse> service) {
		this.eventLoop = eventLoop;
		this.service = service;
	}

	/**
	 * Binds the port and starts accepting connections.
	 * @param address the address to listen on
	 * @throws IOException if the port cannot be bound
	 */
	public void start(HttpAddress address) throws IOException {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.eventLoop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel ch) {
					ch.pipeline()
						.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS), new HttpServerCodec(),
								new HttpServerKeepAliveHandler(), new HttpObjectAggregator(MAX_BODY_BYTES),
								new Handler());
				}
			});
		try {
			this.serverChannel = bootstrap.bind(address.host(), address.port()).sync().channel();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while binding to " + address, ex);
		}
	}

	/**
	 * Stops accepting connections.
	 */
	public void close() {
		this.serverChannel.close();
	}

	/**
	 * Creates a response.
	 * @param status the HTTP status
	 * @param type the content type
	 * @param body the body
	 * @return the response
	 */
	public static FullHttpResponse response(HttpResponseStatus status, String type, byte[] body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
		return response;
	}

	/**
	 * Creates a response with all metrics in the Prometheus text format.
	 * @param metrics the metrics
	 * @return the response
	 */
	public static FullHttpResponse metrics(Metrics metrics) {
		return response(HttpResponseStatus.OK, "text/plain; version=0.0.4",
				metrics.scrape().getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Handles the requests of one connection and closes it when idle.
	 */
	private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
			FullHttpResponse response = StatusServer.this.service.apply(request);
			HttpUtil.setContentLength(response, response.content().readableBytes());
			ctx.writeAndFlush(response);
		}

		@Override
		public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
			if (event instanceof IdleStateEvent) {
				ctx.close();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			EventLog.log(Event.CALLER_GONE, "cause", cause);
			ctx.close();
		}

	}

}
