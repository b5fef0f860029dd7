package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.mangorack.http.ResponseRules;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.relay.FleetProtocol.ResponseHead;

/**
 * A connection to an upstream that carries one request at a time. Responses to other
 * requests are skipped, and a connection that received one is not reused.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

	/**
	 * How long an idle connection is reusable if the upstream sends no Keep-Alive
	 * timeout. Such upstreams close idle connections in less than a second.
	 */
	static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofMillis(250);

	/**
	 * The maximum number of bytes skipped in responses to other requests while a response
	 * is pending.
	 */
	static final int MAX_SKIPPED_BYTES = 1024 * 1024;

	/**
	 * The maximum number of interim responses and responses to other requests skipped
	 * while a response is pending.
	 */
	static final int MAX_SKIPPED_RESPONSES = 64;

	// The fraction of the Keep-Alive timeout for which a connection is reused, so that a
	// request does not race with the upstream closing the connection.
	private static final double IDLE_TIMEOUT_FRACTION = 0.6;

	// How many requests before the last one a connection remembers. The response to an
	// earlier one is not repeated any more.
	private static final int MAX_CARRIED_IDS = 16;

	private final UpstreamClient client;

	private final Upstream upstream;

	private final FleetProtocol protocol;

	private final Deque<String> carriedIds = new ArrayDeque<>();

	private Channel channel;

	private String requestId;

	private ResponseListener listener;

	private boolean requestWritten;

	private boolean headReceived;

	private boolean skipping;

	private int skippedResponses;

	private long skippedBytes;

	private boolean channelFailed;

	private boolean reusable = true;

	private long usableUntil;

	private Duration idleTimeout = DEFAULT_IDLE_TIMEOUT;

	UpstreamConnection(UpstreamClient client, Upstream upstream, FleetProtocol protocol) {
		this.client = client;
		this.upstream = upstream;
		this.protocol = protocol;
	}

	// ---- Accessors

	Upstream upstream() {
		return this.upstream;
	}

	boolean isUsable(long now) {
		return this.reusable && this.channel.isActive() && (now - this.usableUntil < 0);
	}

	/**
	 * Returns whether the connection carried a request recently. A response to it that is
	 * sent once more could not be told from the response to another attempt.
	 * @param id the id of the request
	 * @return {@code true} if a response with the id may still arrive
	 */
	boolean hasCarried(String id) {
		return this.carriedIds.contains(id);
	}

	// ---- Public API

	/**
	 * Sends a request.
	 * @param head the head of the caller's request
	 * @param headers the headers of the request
	 * @param body the body, which may be empty
	 * @param responseListener receives the response
	 */
	void send(CallHead head, HttpHeaders headers, ByteBuf body, ResponseListener responseListener) {
		this.requestId = head.requestId();
		this.carriedIds.add(this.requestId);
		if (this.carriedIds.size() > MAX_CARRIED_IDS) {
			this.carriedIds.remove();
		}
		this.listener = responseListener;
		this.requestWritten = false;
		this.headReceived = false;
		this.skippedResponses = 0;
		this.skippedBytes = 0;
		this.channel.pipeline().get(UpstreamDecoder.class).expectResponseTo(head.method());
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(head.method()),
				head.target(), body, headers, new DefaultHttpHeaders());
		boolean hasBody = body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
				|| head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
		if (hasBody) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		}
		this.channel.writeAndFlush(request).addListener((f) -> {
			this.requestWritten = f.isSuccess();
			if (!f.isSuccess() && (this.listener == responseListener)) {
				fail("the request could not be written: " + f.cause().getMessage());
				close();
			}
		});
	}

	/**
	 * Suspends or resumes reading the response. A connection whose response is complete
	 * reads in any case.
	 * @param reading whether to read
	 */
	void setReading(boolean reading) {
		this.channel.config().setAutoRead(reading);
	}

	/**
	 * Aborts the request by closing the connection, which makes most upstreams stop
	 * processing it.
	 */
	void abort() {
		this.listener = null;
		this.reusable = false;
		this.channel.close();
	}

	void close() {
		this.reusable = false;
		this.channel.close();
	}

	// ---- Channel events

	/**
	 * Closes the connection if bytes arrive while no request is pending. They may be a
	 * part of a head, which the next response would complete.
	 * @param count the number of bytes received
	 */
	void onBytesReceived(int count) {
		if ((this.listener == null) && this.reusable) {
			EventLog.log(Event.STRAY_ANSWER, "upstream", this.upstream.id(), "cause", "bytes without a pending request",
					"bytes", count);
			this.upstream.idle().remove(this);
			close();
			this.client.strayReceived(this.upstream, "idle");
		}
	}

	// Set here, as the channel is used before channelActive is called.
	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (message instanceof HttpResponse response) {
				readHead(response);
			}
			if (message instanceof HttpContent content) {
				readContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.upstream.idle().remove(this);
		fail("the connection closed " + (this.headReceived ? "in the answer" : "without an answer"));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		this.channelFailed = true;
		fail("the connection failed: " + cause.getMessage());
		ctx.close();
	}

	// ---- Helpers

	private void readHead(HttpResponse response) {
		if (this.listener == null) {
			return;
		}
		Optional<String> problem = problem(response);
		if (problem.isPresent()) {
			// The bytes may belong to another caller, whose data this one must not see.
			EventLog.log(Event.STRAY_ANSWER, "upstream", this.upstream.id(), "request", this.requestId, "cause",
					"bytes that are no response", "problem", problem.get());
			this.client.strayReceived(this.upstream, "malformed");
			fail("bytes that are no answer");
			close();
			return;
		}
		ResponseHead head = this.protocol.responseHead(response);
		if (head.leaving()) {
			this.client.markDeparting(this.upstream);
		}
		if (head.status() < 200) {
			skipResponse();
			return;
		}
		if (!this.requestId.equals(head.requestId())) {
			EventLog.log(Event.STRAY_ANSWER, "upstream", this.upstream.id(), "request", this.requestId, "answered",
					head.requestId());
			this.reusable = false;
			this.client.strayReceived(this.upstream, "answer");
			skipResponse();
			return;
		}
		this.skipping = false;
		this.headReceived = true;
		this.reusable &= HttpUtil.isKeepAlive(response) && this.requestWritten;
		this.idleTimeout = idleTimeout(response);
		this.listener.head(head);
	}

	private void readContent(HttpContent content) {
		boolean last = content instanceof LastHttpContent;
		// Nothing is decoded after such a body, not even if it belongs to another
		// response.
		if ((this.listener != null) && !content.decoderResult().isSuccess()) {
			EventLog.log(Event.STRAY_ANSWER, "upstream", this.upstream.id(), "request", this.requestId, "cause",
					"a body that cannot be read", "problem", content.decoderResult().cause().getMessage());
			fail("the body cannot be read");
			close();
			return;
		}
		if (this.skipping) {
			this.skipping = !last;
			this.skippedBytes += content.content().readableBytes();
			checkSkipped();
			return;
		}
		if (this.listener == null) {
			return;
		}
		if (content.content().isReadable()) {
			this.listener.data(content.content());
		}
		if (last && (this.listener != null) && this.headReceived) {
			finish();
		}
	}

	private void skipResponse() {
		this.skipping = true;
		this.skippedResponses++;
		checkSkipped();
	}

	// A malfunctioning upstream may send unrelated responses without end.
	private void checkSkipped() {
		if ((this.skippedResponses > MAX_SKIPPED_RESPONSES) || (this.skippedBytes > MAX_SKIPPED_BYTES)) {
			fail("no answer within " + this.skippedResponses + " other answers and " + this.skippedBytes
					+ " bytes of them");
			close();
		}
	}

	private void finish() {
		if (this.channelFailed) {
			return;
		}
		checkSurplus(this.channel.pipeline().get(UpstreamDecoder.class).undecodedBytes());
		ResponseListener done = this.listener;
		this.listener = null;
		this.requestId = null;
		setReading(true);
		boolean keep = this.reusable && this.requestWritten && this.channel.isActive();
		this.usableUntil = this.client.now() + this.idleTimeout.toNanos();
		if (keep) {
			this.client.release(this);
		}
		else {
			this.channel.close();
		}
		done.end();
	}

	private void checkSurplus(int bytes) {
		if (bytes > 0) {
			EventLog.log(Event.STRAY_ANSWER, "upstream", this.upstream.id(), "request", this.requestId, "cause",
					"bytes after the response", "bytes", bytes);
			this.reusable = false;
			this.client.strayReceived(this.upstream, "surplus");
		}
	}

	private static Optional<String> problem(HttpResponse response) {
		if (!response.decoderResult().isSuccess()) {
			return Optional.of(response.decoderResult().cause().getMessage());
		}
		if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
			return Optional.of("it switches to another protocol, which was not requested");
		}
		return ResponseRules.check(response.protocolVersion().text(), response.status().reasonPhrase(),
				response.headers());
	}

	private void fail(String cause) {
		ResponseListener failed = this.listener;
		this.listener = null;
		this.reusable = false;
		if (failed != null) {
			failed.incomplete(cause);
		}
	}

	private static Duration idleTimeout(HttpResponse response) {
		String stated = response.headers().get("Keep-Alive");
		if (stated == null) {
			return DEFAULT_IDLE_TIMEOUT;
		}
		for (String part : stated.split(",")) {
			String[] pair = part.trim().split("=");
			if ((pair.length == 2) && pair[0].equalsIgnoreCase("timeout") && pair[1].matches("\\d{1,6}")) {
				return Duration.ofMillis((long) (Long.parseLong(pair[1]) * 1000 * IDLE_TIMEOUT_FRACTION));
			}
		}
		return DEFAULT_IDLE_TIMEOUT;
	}

}
