package org.mangorack.bench.standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.ExceptionListener;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.impl.bootstrap.HttpServer;
import org.apache.hc.core5.http.impl.bootstrap.ServerBootstrap;
import org.apache.hc.core5.http.io.HttpRequestHandler;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.AbstractHttpEntity;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;

/**
 * Base class of simulated systems that are HTTP servers.
 */
public abstract class StandInServer implements AutoCloseable {

	/**
	 * The shared JSON mapper.
	 */
	protected static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpServer server;

	/**
	 * Creates a server, which must be started with {@link #start()}.
	 * @param port the port on the loopback address; 0 picks a free one
	 */
	protected StandInServer(int port) {
		HttpRequestHandler handler = this::handle;
		this.server = ServerBootstrap.bootstrap()
			.setLocalAddress(InetAddress.getLoopbackAddress())
			.setListenerPort(port)
			.setSocketConfig(SocketConfig.custom()
				.setTcpNoDelay(true)
				.setBacklogSize(1024)
				.setSoReuseAddress(true)
				.setSoTimeout(10, TimeUnit.MINUTES)
				.build())
			.setRequestRouter((request, context) -> handler)
			.setExceptionListener(new SilentListener())
			.create();
	}

	/**
	 * Starts listening.
	 * @throws IOException if the port is in use
	 */
	public void start() throws IOException {
		this.server.start();
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the TCP port
	 */
	public int port() {
		return this.server.getLocalPort();
	}

	/**
	 * Returns the address of the server.
	 * @return the address as {@code HOST:PORT}
	 */
	public String address() {
		return "127.0.0.1:" + port();
	}

	@Override
	public void close() {
		this.server.close(CloseMode.IMMEDIATE);
	}

	/**
	 * Handles a request.
	 * @param request the request
	 * @return the reply
	 * @throws IOException to close the connection without a response
	 */
	protected abstract Reply answer(Request request) throws IOException;

	private void handle(ClassicHttpRequest request, ClassicHttpResponse response, HttpContext context)
			throws IOException {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (Header h : request.getHeaders()) {
			headers.putIfAbsent(h.getName(), h.getValue());
		}
		byte[] body = new byte[0];
		if (request.getEntity() != null) {
			try (InputStream in = request.getEntity().getContent()) {
				body = in.readAllBytes();
			}
		}
		String target = request.getPath();
		int queryIndex = target.indexOf('?');
		String path = (queryIndex < 0) ? target : target.substring(0, queryIndex);
		String query = (queryIndex < 0) ? "" : target.substring(queryIndex + 1);
		Reply reply = answer(new Request(request.getMethod(), path, query, headers, body));
		response.setCode(reply.status());
		reply.headers().forEach(response::setHeader);
		response.setEntity(new ReplyEntity(reply));
	}

	/**
	 * An HTTP request.
	 *
	 * @param method the HTTP method
	 * @param path the path without the query
	 * @param query the query string, empty if there is none
	 * @param headers the headers
	 * @param body the body
	 */
	protected record Request(String method, String path, String query, Map<String, String> headers, byte[] body) {

		/**
		 * Parses the body.
		 * @return the body as JSON
		 * @throws IOException if it is not valid JSON
		 */
		public JsonNode json() throws IOException {
			return MAPPER.readTree(this.body);
		}

		/**
		 * Returns a query parameter.
		 * @param name the name
		 * @param defaultValue the default value
		 * @return the value
		 */
		public String parameter(String name, String defaultValue) {
			for (String pair : this.query.split("&")) {
				if (pair.startsWith(name + "=")) {
					return pair.substring(name.length() + 1);
				}
			}
			return defaultValue;
		}

	}

	/**
	 * An HTTP response.
	 *
	 * @param status the HTTP status code
	 * @param type the content type
	 * @param headers the headers other than the content type
	 * @param length the length of the body, or -1 if it is streamed
	 * @param writer the writer of the body
	 */
	protected record Reply(int status, String type, Map<String, String> headers, long length, Writer writer) {

		/**
		 * Creates a JSON reply.
		 * @param status the HTTP status code
		 * @param json the body
		 * @return the reply
		 * @throws IOException if the body cannot be written
		 */
		public static Reply json(int status, JsonNode json) throws IOException {
			byte[] bytes = MAPPER.writeValueAsBytes(json);
			return new Reply(status, "application/json", Map.of(), bytes.length, (out) -> out.write(bytes));
		}

		/**
		 * Creates a reply with a streamed body.
		 * @param type the content type
		 * @param headers the headers other than the content type
		 * @param writer the writer of the body
		 * @return the reply
		 */
		public static Reply stream(String type, Map<String, String> headers, Writer writer) {
			return new Reply(200, type, headers, -1, writer);
		}

		/**
		 * Returns a copy of this reply with its headers replaced.
		 * @param more the new headers
		 * @return the copy
		 */
		public Reply withHeaders(Map<String, String> more) {
			return new Reply(this.status, this.type, more, this.length, this.writer);
		}

	}

	/**
	 * Writes the body of a reply.
	 */
	@FunctionalInterface
	protected interface Writer {

		/**
		 * Writes the body.
		 * @param out the output stream
		 * @throws IOException to close the connection
		 */
		void writeTo(OutputStream out) throws IOException;

	}

	/**
	 * The HTTP entity that writes the body of a reply.
	 */
	private static final class ReplyEntity extends AbstractHttpEntity {

		private final Reply reply;

		private ReplyEntity(Reply reply) {
			super(ContentType.parse(reply.type()), null, reply.length() < 0);
			this.reply = reply;
		}

		@Override
		public InputStream getContent() {
			throw new UnsupportedOperationException("the body can only be written");
		}

		@Override
		public long getContentLength() {
			return this.reply.length();
		}

		@Override
		public boolean isStreaming() {
			return false;
		}

		@Override
		public boolean isRepeatable() {
			return false;
		}

		@Override
		public void writeTo(OutputStream out) throws IOException {
			this.reply.writer().writeTo(out);
		}

		@Override
		public void close() {
			// No resources to release.
		}

	}

	/**
	 * Ignores connection errors, which injected faults cause.
	 */
	private static final class SilentListener implements ExceptionListener {

		@Override
		public void onError(Exception ex) {
			// Expected, as injected faults close connections.
		}

		@Override
		public void onError(HttpConnection connection, Exception ex) {
			// Expected, as injected faults close connections.
		}

	}

}
