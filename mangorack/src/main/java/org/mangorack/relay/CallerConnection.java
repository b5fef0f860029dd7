package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

import org.mangorack.call.Refusal;
import org.mangorack.http.RequestRules;
import org.mangorack.observe.Event;
import org.mangorack.relay.FleetConfiguration.CallerLimits;

/**
 * A connection from a caller. Requests are processed one at a time; pipelined requests
 * are queued.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	// Bound on queued HTTP messages, above which reading from the socket is suspended.
	private static final int MAX_QUEUED_MESSAGES = 64;

	// The largest part of a response that is passed to the channel at once.
	private static final int MAX_PART_BYTES = 32 * 1024;

	/**
	 * The longest time for which the rest of a refused request is discarded before the
	 * connection is closed.
	 */
	static final Duration MAX_LINGER = Duration.ofSeconds(2);

	private final RelayServer server;

	private final CallerLimits limits;

	private final Deque<HttpObject> queued = new ArrayDeque<>();

	private final MemoryBudget.Holder input;

	private final MemoryBudget.Holder output;

	private Channel channel;

	private State state = State.IDLE;

	private long stateSince;

	private HttpRequest request;

	// On the heap, as the buffers of the socket that its parts arrive in are larger.
	private ByteBuf body;

	private int queuedBytes;

	private RelayCall call;

	private boolean keepAlive;

	// The part of a large response that is not written to the channel yet.
	private ByteBuf unwritten;

	// Whether the current request was refused before it was read completely.
	private boolean discarding;

	CallerConnection(RelayServer server, CallerLimits limits) {
		this.server = server;
		this.limits = limits;
		this.stateSince = server.now();
		this.input = server.memory().newHolder("request", () -> String.valueOf(this.channel), this::giveUpInput);
		this.output = server.memory().newHolder("output", () -> String.valueOf(this.channel), this::close);
	}

	// ---- Accessors

	boolean isIdle() {
		return (this.state == State.IDLE) && this.queued.isEmpty();
	}

	boolean isStreaming() {
		return (this.state == State.BUSY) && (this.call != null) && this.call.isStreamBegun();
	}

	/**
	 * Returns whether the caller has taken most of what was written.
	 * @return {@code false} if further parts of the response should wait
	 */
	boolean isWritable() {
		return this.channel.isWritable();
	}

	/**
	 * Starts the head timeout at the first byte of a request and restarts the idle
	 * timeout while a body is received. Further bytes of a head do not extend its
	 * timeout.
	 */
	void onBytesReceived() {
		if (this.state == State.IDLE) {
			transitionTo(State.HEAD);
		}
		else if (this.state == State.BODY) {
			this.stateSince = this.server.now();
		}
	}

	/**
	 * Closes the connection or refuses the request if the timeout of the current state
	 * has expired.
	 */
	void checkTimeouts() {
		Duration spent = Duration.ofNanos(this.server.now() - this.stateSince);
		switch (this.state) {
			case IDLE -> {
				if (spent.compareTo(this.limits.idleTimeout()) > 0) {
					close();
				}
			}
			case HEAD -> {
				if (spent.compareTo(this.limits.headTimeout()) > 0) {
					refuse(Refusal.notRun(408, "head_too_slow",
							"the head was not whole after " + this.limits.headTimeout().toMillis() + " ms"));
				}
			}
			case BODY -> {
				if (spent.compareTo(this.limits.idleTimeout()) > 0) {
					refuse(Refusal.notRun(408, "body_too_slow",
							"nothing of the body came for " + this.limits.idleTimeout().toMillis() + " ms"));
				}
			}
			case DISCARDING -> {
				if (spent.compareTo(MAX_LINGER) > 0) {
					close();
				}
			}
			default -> {
				// A call enforces its own deadline.
			}
		}
	}

	void close() {
		this.channel.close();
	}

	/**
	 * Ends the current request with a response, because the entry stops.
	 */
	void endForStop() {
		switch (this.state) {
			case IDLE, DISCARDING -> close();
			case HEAD, BODY -> refuse(RelayCall.stopping("the request was not whole before the instance stopped"));
			case BUSY -> {
				if (this.call != null) {
					this.call.endForStop();
				}
			}
			case CLOSED -> {
				// Nothing is left to end.
			}
		}
	}

	// ---- Responses

	/**
	 * Sends a complete response to the current request.
	 * @param status the status code
	 * @param headers the headers except for Content-Length, Transfer-Encoding and
	 * Connection
	 * @param content the body, which this method releases
	 */
	void respond(int status, HttpHeaders headers, ByteBuf content) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), content);
		response.headers().add(headers);
		write(response);
	}

	/**
	 * Sends a refusal as the response to the current request.
	 * @param refusal the refusal
	 * @param requestId the id of the request, or {@code null}
	 */
	void respond(Refusal refusal, String requestId) {
		write(this.server.protocol().refusal(refusal, requestId));
	}

	/**
	 * Starts a chunked response. The headers are flushed with the first chunk.
	 * @param status the status code
	 * @param headers the headers except for Content-Length, Transfer-Encoding and
	 * Connection
	 */
	void beginStream(int status, HttpHeaders headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		response.headers().add(headers);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		setConnection(response.headers());
		this.channel.write(response);
	}

	void writeChunk(ByteBuf part) {
		int size = part.readableBytes();
		this.output.add(size);
		this.channel.writeAndFlush(new DefaultHttpContent(part)).addListener((f) -> this.output.add(-size));
	}

	void endStream() {
		finish(LastHttpContent.EMPTY_LAST_CONTENT);
	}

	/**
	 * Closes the connection during a response, so that the caller does not take the
	 * truncated body for a complete one.
	 */
	void abort() {
		this.call = null;
		close();
	}

	// ---- Channel events

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
		this.server.connectionOpened(this);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.discarding) {
			ReferenceCountUtil.release(message);
			return;
		}
		this.queued.add((HttpObject) message);
		this.queuedBytes += size(message);
		if (this.queued.size() > MAX_QUEUED_MESSAGES) {
			this.channel.config().setAutoRead(false);
		}
		processQueued();
		updateInput();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.server.connectionClosed(this);
		this.state = State.CLOSED;
		releaseQueued();
		releaseBody();
		releaseUnwritten();
		this.input.close();
		this.output.close();
		RelayCall abandoned = this.call;
		this.call = null;
		if (abandoned != null) {
			abandoned.callerDisconnected();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		writeUnwritten();
		if (this.call != null) {
			this.call.adjustReading();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		this.server.log().log(Event.CALLER_GONE, "cause", cause);
		ctx.close();
	}

	// ---- Helpers

	private void transitionTo(State next) {
		this.state = next;
		this.stateSince = this.server.now();
	}

	private void processQueued() {
		while ((this.state != State.BUSY) && (this.state != State.CLOSED) && !this.queued.isEmpty()) {
			HttpObject message = this.queued.poll();
			this.queuedBytes -= size(message);
			try {
				process(message);
			}
			finally {
				ReferenceCountUtil.release(message);
			}
		}
		if (this.queued.size() <= MAX_QUEUED_MESSAGES) {
			this.channel.config().setAutoRead(true);
		}
	}

	private void process(HttpObject message) {
		if (!message.decoderResult().isSuccess()) {
			refuseMalformed(message.decoderResult().cause());
			return;
		}
		if (message instanceof HttpRequest head) {
			readHead(head);
		}
		if ((message instanceof HttpContent content) && (this.request != null)) {
			readBody(content);
		}
	}

	private void readHead(HttpRequest head) {
		this.request = head;
		this.keepAlive = HttpUtil.isKeepAlive(head);
		this.body = Unpooled.buffer(0);
		this.channel.pipeline().get(CallerEncoder.class).expectResponseTo(head.method().name());
		transitionTo(State.BODY);
		Optional<Refusal> problem = RequestRules.check(head.protocolVersion().text(), head.method().name(), head.uri(),
				head.headers(), this.limits.maxBodyBytes());
		if (problem.isPresent()) {
			refuse(problem.get());
		}
		else if (HttpUtil.is100ContinueExpected(head)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void readBody(HttpContent content) {
		if (this.body.readableBytes() + content.content().readableBytes() > this.limits.maxBodyBytes()) {
			refuse(RequestRules.bodyTooLarge(this.limits.maxBodyBytes()));
			return;
		}
		this.body.writeBytes(content.content());
		updateInput();
		if ((content instanceof LastHttpContent) && (this.request != null)) {
			HttpRequest fullRequest = this.request;
			byte[] bytes = ByteBufUtil.getBytes(this.body);
			releaseBody();
			updateInput();
			this.request = null;
			transitionTo(State.BUSY);
			RelayCall created = this.server.newCall(this, fullRequest, bytes);
			// Without one, a call of the next request may have started already.
			if (created != null) {
				this.call = created;
				created.start();
			}
		}
	}

	private void refuseMalformed(Throwable cause) {
		boolean tooLong = (cause instanceof TooLongHttpHeaderException) || (cause instanceof TooLongHttpLineException);
		refuse(tooLong ? RequestRules.headTooLarge(this.limits.maxHeadBytes())
				: RequestRules.malformed(String.valueOf(cause.getMessage())));
	}

	// Refuses a request that was not read completely. The connection closes, as the start
	// of the next request is unknown.
	private void refuse(Refusal refusal) {
		this.server.log().log(Event.CALLER_MALFORMED, "status", refusal.status(), "cause", refusal.detail());
		this.keepAlive = false;
		this.request = null;
		releaseBody();
		releaseQueued();
		this.input.close();
		this.discarding = true;
		this.channel.config().setAutoRead(true);
		transitionTo(State.BUSY);
		respond(refusal, null);
	}

	private void releaseQueued() {
		this.queued.forEach(ReferenceCountUtil::release);
		this.queued.clear();
		this.queuedBytes = 0;
	}

	private static int size(Object message) {
		return (message instanceof HttpContent content) ? content.content().readableBytes() : 0;
	}

	private void updateInput() {
		this.input.set(this.queuedBytes + ((this.body != null) ? this.body.capacity() : 0));
	}

	private void giveUpInput() {
		if (this.state == State.BODY) {
			refuse(Refusal.unavailable(RelayCall.MEMORY,
					"the instance holds too many bytes for its calls, most of them for this one",
					RelayCall.RETRY_AFTER));
		}
		else {
			close();
		}
	}

	private void releaseBody() {
		if (this.body != null) {
			this.body.release();
			this.body = null;
		}
	}

	private void write(FullHttpResponse response) {
		int size = response.content().readableBytes();
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, size);
		setConnection(response.headers());
		this.output.add(size);
		if (size <= MAX_PART_BYTES) {
			finish(response);
			return;
		}
		this.call = null;
		this.unwritten = response.content();
		this.channel.write(new DefaultHttpResponse(response.protocolVersion(), response.status(), response.headers()));
		writeUnwritten();
	}

	// The channel copies what it gets into direct memory, so it gets no more than it can
	// send soon.
	private void writeUnwritten() {
		while ((this.unwritten != null) && this.channel.isWritable()) {
			int size = Math.min(this.unwritten.readableBytes(), MAX_PART_BYTES);
			ByteBuf part = this.unwritten.readRetainedSlice(size);
			if (this.unwritten.isReadable()) {
				this.channel.writeAndFlush(new DefaultHttpContent(part));
			}
			else {
				releaseUnwritten();
				finish(new DefaultLastHttpContent(part));
			}
		}
	}

	private void releaseUnwritten() {
		if (this.unwritten != null) {
			this.unwritten.release();
			this.unwritten = null;
		}
	}

	private void setConnection(HttpHeaders headers) {
		this.keepAlive &= !this.server.isClosing();
		if (!this.keepAlive) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
	}

	private void finish(Object last) {
		this.call = null;
		boolean keep = this.keepAlive && this.server.isAccepting();
		this.channel.writeAndFlush(last).addListener((ChannelFutureListener) (f) -> {
			this.output.set(0);
			if (f.isSuccess() && this.discarding) {
				discardRest();
				return;
			}
			if (!f.isSuccess() || !keep) {
				f.channel().close();
				return;
			}
			if (this.state == State.BUSY) {
				transitionTo(State.IDLE);
				processQueued();
			}
		});
	}

	// Closing a socket with unread bytes resets the connection, so that a caller that is
	// still writing may lose the response.
	private void discardRest() {
		transitionTo(State.DISCARDING);
		((DuplexChannel) this.channel).shutdownOutput();
	}

	/**
	 * The state of a connection.
	 */
	private enum State {

		/** Waiting for a request. */
		IDLE,

		/** Receiving the head of a request. */
		HEAD,

		/** Receiving the body of a request. */
		BODY,

		/** Processing a request and sending its response. */
		BUSY,

		/** Discarding the rest of a refused request. */
		DISCARDING,

		/** The connection is closed. */
		CLOSED

	}

}
