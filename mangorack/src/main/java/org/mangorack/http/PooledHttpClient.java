package org.mangorack.http;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
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
import org.mangorack.observe.MonotonicClock;

/**
 * A blocking HTTP/1.1 client that pools idle connections per server and reports for each
 * failure whether the request may have reached the server.
 */
public final class PooledHttpClient implements Closeable {

	private static final int MAX_IDLE_PER_SERVER = 64;

	// A request on a connection that the server closed while idle fails within one round
	// trip.
	private static final Duration STALE_CONNECTION_TIMEOUT = Duration.ofMillis(100);

	private final Map<HttpAddress, Deque<DefaultBHttpClientConnection>> idle = new ConcurrentHashMap<>();

	private final Set<DefaultBHttpClientConnection> open = ConcurrentHashMap.newKeySet();

	private final HttpRequestExecutor executor = new HttpRequestExecutor();

	private final HttpProcessor processor = HttpProcessorBuilder.create()
		.addAll(new RequestContent(true), new RequestTargetHost(), new RequestConnControl())
		.build();

	private final Duration connectTimeout;

	private volatile boolean closed;

	public PooledHttpClient(Duration connectTimeout) {
		this.connectTimeout = connectTimeout;
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
		DefaultBHttpClientConnection pooled = (connectionUse != ConnectionUse.FRESH) ? takeIdle(address) : null;
		if (pooled != null) {
			long sentAt = MonotonicClock.SYSTEM.nanoTime();
			try {
				return exchange(address, pooled, true, request(address, method, path, headers, body), readTimeout);
			}
			catch (IOException | HttpException ex) {
				discard(pooled);
				if (ex instanceof SocketTimeoutException) {
					throw new HttpCallException("no answer from " + address + " within " + readTimeout,
							Verdict.MAY_HAVE_RUN, ex);
				}
				if ((connectionUse == ConnectionUse.POOLED_LONG_POLL)
						&& (MonotonicClock.SYSTEM.elapsed(sentAt).compareTo(STALE_CONNECTION_TIMEOUT) > 0)) {
					throw new HttpCallException("cut by " + address + ": " + ex.getMessage(), Verdict.MAY_HAVE_RUN, ex);
				}
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

	void release(HttpAddress address, DefaultBHttpClientConnection connection) {
		Deque<DefaultBHttpClientConnection> queue = this.idle.computeIfAbsent(address, (a) -> new ArrayDeque<>());
		synchronized (queue) {
			if (queue.size() < MAX_IDLE_PER_SERVER) {
				queue.push(connection);
				return;
			}
		}
		discard(connection);
	}

	void discard(DefaultBHttpClientConnection connection) {
		this.open.remove(connection);
		connection.close(CloseMode.IMMEDIATE);
	}

	private HttpReply sendOnNewConnection(HttpAddress address, ClassicHttpRequest request, Duration readTimeout)
			throws HttpCallException {
		DefaultBHttpClientConnection connection = connect(address);
		try {
			return exchange(address, connection, false, request, readTimeout);
		}
		catch (IOException | HttpException ex) {
			discard(connection);
			throw new HttpCallException("no answer from " + address + ": " + ex.getMessage(), Verdict.MAY_HAVE_RUN, ex);
		}
	}

	private HttpReply exchange(HttpAddress address, DefaultBHttpClientConnection connection, boolean reused,
			ClassicHttpRequest request, Duration readTimeout) throws IOException, HttpException {
		connection.setSocketTimeout(Timeout.ofMilliseconds(Math.max(1, readTimeout.toMillis())));
		HttpCoreContext context = HttpCoreContext.create();
		this.executor.preProcess(request, this.processor, context);
		ClassicHttpResponse response = this.executor.execute(request, connection, context);
		boolean keepAlive = DefaultConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
		return new HttpReply(response, this, address, connection, reused, keepAlive);
	}

	private DefaultBHttpClientConnection connect(HttpAddress address) throws HttpCallException {
		Socket socket = new Socket();
		try {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(address.host(), address.port()),
					Math.max(1, (int) this.connectTimeout.toMillis()));
			DefaultBHttpClientConnection connection = new DefaultBHttpClientConnection(Http1Config.DEFAULT, null, null,
					null, null, null, ResponseHeadParser::new);
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

	private DefaultBHttpClientConnection takeIdle(HttpAddress address) {
		Deque<DefaultBHttpClientConnection> queue = this.idle.get(address);
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
