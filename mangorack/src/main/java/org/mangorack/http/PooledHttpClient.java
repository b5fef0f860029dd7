package org.mangorack.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.TruncatedChunkException;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestConnControl;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

import org.mangorack.call.Verdict;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;

/**
 * A blocking HTTP/1.1 client that pools idle connections per server and reports for each
 * failure whether the request may have reached the server. Bytes that belong to no
 * response are never taken for a part of the next one. They may belong to another caller,
 * so they go to the log, and no error quotes them.
 */
public final class PooledHttpClient implements Closeable {

	private static final int MAX_IDLE_PER_SERVER = 64;

	// A request on a connection that the server closed while idle fails within one round
	// trip.
	private static final Duration STALE_CONNECTION_TIMEOUT = Duration.ofMillis(100);

	private final Map<HttpAddress, Deque<ClientConnection>> idle = new ConcurrentHashMap<>();

	private final Set<ClientConnection> open = ConcurrentHashMap.newKeySet();

	private final HttpRequestExecutor executor = new HttpRequestExecutor();

	private final HttpProcessor processor = HttpProcessorBuilder.create()
		.addAll(new RequestContent(true), new RequestTargetHost(), new RequestConnControl())
		.build();

	private final Map<HttpAddress, Long> singleUseUntil = new ConcurrentHashMap<>();

	private final Duration connectTimeout;

	private final MonotonicClock clock;

	private volatile boolean closed;

	/**
	 * Creates a client.
	 * @param connectTimeout the maximum time to establish a connection
	 */
	public PooledHttpClient(Duration connectTimeout) {
		this(connectTimeout, MonotonicClock.SYSTEM);
	}

	PooledHttpClient(Duration connectTimeout, MonotonicClock clock) {
		this.connectTimeout = connectTimeout;
		this.clock = clock;
	}

	// ---- Public API

	/**
	 * Sends a request and waits for the response head.
	 * @param address the address of the server
	 * @param method the HTTP method
	 * @param path the path and query
	 * @param headers the headers, excluding those that specify the length of the body
	 * @param body the body, or {@code null}
	 * @param readTimeout the maximum time to wait for data on each read
	 * @param connectionUse the connections that may be used
	 * @return the response, to be closed by the caller
	 * @throws HttpCallException if no response was received
	 */
	public HttpReply send(HttpAddress address, String method, String path, Map<String, String> headers, byte[] body,
			Duration readTimeout, ConnectionUse connectionUse) throws HttpCallException {
		ClientConnection pooled = (connectionUse != ConnectionUse.FRESH) ? takeIdle(address) : null;
		if (pooled != null) {
			long sentAt = this.clock.nanoTime();
			try {
				return exchange(address, pooled, true, request(address, method, path, headers, body), readTimeout);
			}
			catch (IOException | HttpException ex) {
				discard(pooled);
				if (ex instanceof SocketTimeoutException) {
					// The others may have gone silent at the same time.
					discardIdle(address);
					throw new HttpCallException("no answer from " + address + " within " + readTimeout,
							Verdict.MAY_HAVE_RUN, ex);
				}
				if ((connectionUse == ConnectionUse.POOLED_LONG_POLL)
						&& (this.clock.elapsed(sentAt).compareTo(STALE_CONNECTION_TIMEOUT) > 0)) {
					throw new HttpCallException("cut by " + address + ": " + describe(address, ex),
							Verdict.MAY_HAVE_RUN, ex);
				}
				describe(address, ex);
			}
		}
		return sendOnNewConnection(address, request(address, method, path, headers, body), readTimeout);
	}

	/**
	 * Closes all connections. Requests in progress fail, and further requests fail
	 * without being sent.
	 */
	@Override
	public void close() {
		this.closed = true;
		this.open.forEach((c) -> c.close(CloseMode.IMMEDIATE));
		this.open.clear();
		this.idle.clear();
	}

	// ---- Helpers

	void release(HttpAddress address, ClientConnection connection) {
		Deque<ClientConnection> queue = this.idle.computeIfAbsent(address, (a) -> new ArrayDeque<>());
		synchronized (queue) {
			if (!isSingleUse(address) && (queue.size() < MAX_IDLE_PER_SERVER)) {
				queue.push(connection);
				return;
			}
		}
		discard(connection);
	}

	/**
	 * Records that a server sent bytes that belong to no request, or to another one. Its
	 * idle connections are closed, and for some time each of its connections carries one
	 * request only: the rest of a response that was sent twice cannot be told from the
	 * next response on the same connection.
	 * @param address the address of the server
	 * @param fields alternating names and values that describe the bytes in the log
	 */
	void strayReceived(HttpAddress address, Object... fields) {
		List<Object> logged = new ArrayList<>(List.of("address", address));
		logged.addAll(Arrays.asList(fields));
		EventLog.log(Event.STRAY_ANSWER, logged.toArray());
		this.singleUseUntil.put(address, this.clock.nanoTime() + ResponseRules.SINGLE_USE_PERIOD.toNanos());
		discardIdle(address);
	}

	private void discardIdle(HttpAddress address) {
		Deque<ClientConnection> queue = this.idle.computeIfAbsent(address, (a) -> new ArrayDeque<>());
		synchronized (queue) {
			queue.forEach(this::discard);
			queue.clear();
		}
	}

	/**
	 * Describes why a response cannot be read, without quoting bytes of the server.
	 * @param address the address of the server
	 * @param cause the failure, which is recorded if the server sent malformed bytes
	 * @return the description
	 */
	String describe(HttpAddress address, Exception cause) {
		if (!isMalformed(cause)) {
			return cause.getMessage();
		}
		strayReceived(address, "cause", "bytes that are no response", "problem", cause.getMessage());
		return "bytes that are no response";
	}

	void discard(ClientConnection connection) {
		this.open.remove(connection);
		connection.close(CloseMode.IMMEDIATE);
	}

	private static boolean isMalformed(Exception cause) {
		return (cause instanceof HttpException) || (cause instanceof MessageConstraintException)
				|| ((cause instanceof MalformedChunkCodingException) && !(cause instanceof TruncatedChunkException));
	}

	private boolean isSingleUse(HttpAddress address) {
		Long until = this.singleUseUntil.get(address);
		return (until != null) && (this.clock.nanoTime() - until < 0);
	}

	private HttpReply sendOnNewConnection(HttpAddress address, ClassicHttpRequest request, Duration readTimeout)
			throws HttpCallException {
		ClientConnection connection = connect(address);
		try {
			return exchange(address, connection, false, request, readTimeout);
		}
		catch (IOException | HttpException ex) {
			discard(connection);
			throw new HttpCallException("no answer from " + address + ": " + describe(address, ex),
					Verdict.MAY_HAVE_RUN, ex);
		}
	}

	private HttpReply exchange(HttpAddress address, ClientConnection connection, boolean reused,
			ClassicHttpRequest request, Duration readTimeout) throws IOException, HttpException {
		connection.setSocketTimeout(Timeout.ofMilliseconds(Math.max(1, readTimeout.toMillis())));
		HttpCoreContext context = HttpCoreContext.create();
		this.executor.preProcess(request, this.processor, context);
		ClassicHttpResponse response = this.executor.execute(request, connection, context);
		boolean keepAlive = DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
		return new HttpReply(response, this, address, connection, reused, keepAlive);
	}

	private ClientConnection connect(HttpAddress address) throws HttpCallException {
		Socket socket = new Socket();
		try {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(address.host(), address.port()),
					Math.max(1, (int) this.connectTimeout.toMillis()));
			ClientConnection connection = new ClientConnection();
			connection.bind(socket);
			this.open.add(connection);
			// Checked after the addition, so that close() cannot miss the connection.
			if (this.closed) {
				discard(connection);
				throw new IOException("the client is closed");
			}
			return connection;
		}
		catch (IOException ex) {
			closeQuietly(socket);
			throw new HttpCallException("cannot connect to " + address + ": " + ex.getMessage(), Verdict.NOT_RUN, ex);
		}
	}

	private ClientConnection takeIdle(HttpAddress address) {
		ClientConnection connection = pollIdle(address);
		int stray = (connection != null) ? connection.unreadBytes() : 0;
		if (stray == 0) {
			return connection;
		}
		discard(connection);
		strayReceived(address, "cause", "bytes without a pending request", "bytes", stray);
		return null;
	}

	private ClientConnection pollIdle(HttpAddress address) {
		Deque<ClientConnection> queue = this.idle.get(address);
		if (queue == null) {
			return null;
		}
		synchronized (queue) {
			return queue.poll();
		}
	}

	private static ClassicHttpRequest request(HttpAddress address, String method, String path,
			Map<String, String> headers, byte[] body) {
		ClassicRequestBuilder builder = ClassicRequestBuilder.create(method)
			.setHttpHost(new HttpHost("http", address.host(), address.port()))
			.setPath(path);
		headers.forEach(builder::addHeader);
		if (body != null) {
			builder.setEntity(new ByteArrayEntity(body, (ContentType) null));
		}
		return builder.build();
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// The socket was never connected, so a failure to close it has no effect.
		}
	}

}
