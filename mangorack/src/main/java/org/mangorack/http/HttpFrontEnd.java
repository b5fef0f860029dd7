package org.mangorack.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.apache.hc.core5.http.io.support.BasicHttpServerExpectationDecorator;
import org.apache.hc.core5.http.io.support.BasicHttpServerRequestHandler;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.TimeValue;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;
import org.mangorack.call.Refusal;
import org.mangorack.call.Verdict;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;

/**
 * A blocking HTTP/1.1 server that uses one thread per connection.
 */
public final class HttpFrontEnd {

	/**
	 * Name of the response header that carries the request id.
	 */
	public static final String REQUEST_ID = "Mangorack-Request";

	private static final int CHUNK_BYTES = 8192;

	private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(10);

	private final HttpServer server;

	private final HttpService service;

	private final int maxBodyBytes;

	private final AtomicInteger activeRequests = new AtomicInteger();

	private final AtomicLong lastActivityNanos = new AtomicLong(System.nanoTime());

	private volatile boolean closing;

	private volatile Refusal refusal;

	/**
	 * Creates a server without binding its port.
	 * @param address the address to listen on; port 0 selects a free port
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 * @param service handles the requests
	 * @throws IOException if the host name cannot be resolved
	 */
	public HttpFrontEnd(HttpAddress address, int maxBodyBytes, HttpService service) throws IOException {
		this.service = service;
		this.maxBodyBytes = maxBodyBytes;
		HttpRequestHandler handler = this::handle;
		HttpServerRequestHandler chain = new BasicHttpServerExpectationDecorator(
				new BasicHttpServerRequestHandler((request, context) -> handler));
		SocketConfig sockets = SocketConfig.custom()
			.setTcpNoDelay(true)
			.setBacklogSize(1024)
			.setSoReuseAddress(true)
			.setSoTimeout((int) IDLE_TIMEOUT.toSeconds(), TimeUnit.SECONDS)
			.build();
		this.server = new HttpServer(address.port(),
				new ErrorResponseService(RequestRules.DEFAULT_MAX_HEAD_BYTES, chain),
				InetAddress.getByName(address.host()), sockets, null, (socket) -> connection(socket, maxBodyBytes),
				null, null, new ConnectionErrorListener());
	}

	// ---- Life-cycle

	/**
	 * Binds the port and starts accepting connections.
	 * @throws IOException if the port cannot be bound
	 */
	public void start() throws IOException {
		// Initialize logging now: a connection thread cannot do so while its connection
		// is being closed.
		EventLog.open();
		this.server.start();
	}

	/**
	 * Starts a graceful shutdown of the connections: each further response carries
	 * {@code Connection: close}.
	 */
	public void announceClose() {
		this.closing = true;
	}

	/**
	 * Refuses all further requests. Those that are being served are not affected.
	 * @param reason the response to them
	 */
	public void refuseRequests(Refusal reason) {
		this.refusal = reason;
	}

	/**
	 * Waits until no request is active and none has started or finished for a given time.
	 * @param quiet the required time without activity
	 * @param limit the maximum time to wait
	 * @return {@code true} if the server became idle within the limit
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean awaitIdle(Duration quiet, Duration limit) throws InterruptedException {
		long deadline = System.nanoTime() + limit.toNanos();
		while (System.nanoTime() < deadline) {
			boolean quietElapsed = System.nanoTime() - this.lastActivityNanos.get() > quiet.toNanos();
			if (quietElapsed && (this.activeRequests.get() == 0)) {
				return true;
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
		return false;
	}

	/**
	 * Stops accepting connections and closes all open ones immediately.
	 */
	public void close() {
		this.server.initiateShutdown();
		this.server.close(CloseMode.IMMEDIATE);
		try {
			this.server.awaitTermination(TimeValue.ofMilliseconds(200));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// ---- Accessors

	/**
	 * Returns the bound port.
	 * @return the TCP port
	 */
	public int port() {
		return this.server.getLocalPort();
	}

	// ---- Helpers

	private static LingeringServerConnection connection(Socket socket, int maxBodyBytes) throws IOException {
		LingeringServerConnection connection = new LingeringServerConnection(
				Http1Config.custom().setMaxLineLength(RequestRules.DEFAULT_MAX_HEAD_BYTES).build(),
				(config) -> new RequestHeadParser(config, RequestRules.DEFAULT_MAX_HEAD_BYTES, maxBodyBytes));
		connection.bind(socket);
		return connection;
	}

	private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
			throws IOException {
		this.activeRequests.incrementAndGet();
		this.lastActivityNanos.set(System.nanoTime());
		String id = UUID.randomUUID().toString();
		CallAnswer answer;
		try {
			byte[] body = readBody(request.getEntity());
			answer = (body != null) ? callService(toCallRequest(id, request, body)) : bodyTooLarge(id);
		}
		catch (IOException | RuntimeException ex) {
			this.activeRequests.decrementAndGet();
			throw ex;
		}
		writeHead(response, answer, id);
		response.setEntity(new ResponseEntity(answer));
	}

	private void writeHead(ClassicHttpResponse response, CallAnswer answer, String id) {
		response.setCode(answer.status());
		answer.headers().forEach((name, value) -> {
			if (!name.equalsIgnoreCase("Content-Type")) {
				response.setHeader(name, value);
			}
		});
		response.setHeader(REQUEST_ID, id);
		if (this.closing) {
			response.setHeader("Connection", "close");
		}
	}

	private CallAnswer callService(CallRequest call) {
		Refusal refused = this.refusal;
		if (refused != null) {
			return CallAnswer.refusal(refused, call.requestId());
		}
		try {
			return this.service.answer(call);
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "request", call.requestId(), "path", call.path());
			return CallAnswer.refusal(
					new Refusal(500, "internal_error", "the request failed unexpectedly", Verdict.MAY_HAVE_RUN, null),
					call.requestId());
		}
	}

	private CallAnswer bodyTooLarge(String id) {
		return CallAnswer.refusal(RequestRules.bodyTooLarge(this.maxBodyBytes), id).withHeader("Connection", "close");
	}

	private byte[] readBody(HttpEntity entity) throws IOException {
		if (entity == null) {
			return new byte[0];
		}
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		byte[] chunk = new byte[CHUNK_BYTES];
		InputStream in = entity.getContent();
		for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
			out.write(chunk, 0, n);
			if (out.size() > this.maxBodyBytes) {
				return null;
			}
		}
		return out.toByteArray();
	}

	private static CallRequest toCallRequest(String id, ClassicHttpRequest request, byte[] body) {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (Header h : request.getHeaders()) {
			headers.putIfAbsent(h.getName(), h.getValue());
		}
		String target = request.getPath();
		int queryStart = target.indexOf('?');
		String path = (queryStart < 0) ? target : target.substring(0, queryStart);
		String query = (queryStart < 0) ? null : target.substring(queryStart + 1);
		return new CallRequest(id, request.getMethod(), path, query, headers, body);
	}

	/**
	 * Response entity that marks the request as finished when the body is written or the
	 * entity is closed.
	 */
	private final class ResponseEntity extends AbstractHttpEntity {

		private final CallAnswer answer;

		private boolean finished;

		private ResponseEntity(CallAnswer answer) {
			super(contentType(answer), null, answer.length() < 0);
			this.answer = answer;
		}

		@Override
		public InputStream getContent() {
			throw new UnsupportedOperationException("response body can only be written, not read");
		}

		@Override
		public long getContentLength() {
			return this.answer.length();
		}

		@Override
		public boolean isRepeatable() {
			return false;
		}

		@Override
		public boolean isStreaming() {
			return false;
		}

		@Override
		public void writeTo(OutputStream out) throws IOException {
			try {
				this.answer.body().writeTo(out);
			}
			finally {
				finish();
			}
		}

		@Override
		public void close() {
			finish();
		}

		private void finish() {
			if (!this.finished) {
				this.finished = true;
				HttpFrontEnd.this.activeRequests.decrementAndGet();
				HttpFrontEnd.this.lastActivityNanos.set(System.nanoTime());
			}
		}

		private static ContentType contentType(CallAnswer answer) {
			return ContentType.parse(answer.headers().getOrDefault("Content-Type", "application/octet-stream"));
		}

	}

	/**
	 * Logs connection errors, except those caused by callers that close or reset their
	 * connection.
	 */
	private static final class ConnectionErrorListener implements ExceptionListener {

		@Override
		public void onError(Exception ex) {
			if (!(ex instanceof SocketException)) {
				EventLog.log(Event.CALLER_GONE, "cause", ex);
			}
		}

		@Override
		public void onError(HttpConnection connection, Exception ex) {
			if (!(ex instanceof ConnectionClosedException)) {
				EventLog.log(Event.CALLER_GONE, "cause", ex);
			}
		}

	}

}
