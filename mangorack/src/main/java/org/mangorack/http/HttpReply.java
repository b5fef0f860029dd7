package org.mangorack.http;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.util.Timeout;

/**
 * The response of a server. Closing it returns the connection to the pool if the body was
 * fully read, and closes the connection otherwise. Closing it again has no effect.
 */
public final class HttpReply implements Closeable {

	private static final int CHUNK_BYTES = 8192;

	private final ClassicHttpResponse response;

	private final PooledHttpClient client;

	private final HttpAddress address;

	private final ClientConnection connection;

	private final boolean connectionReused;

	private boolean keepAlive;

	private boolean endOfBodyReached;

	private boolean closed;

	HttpReply(ClassicHttpResponse response, PooledHttpClient client, HttpAddress address, ClientConnection connection,
			boolean connectionReused, boolean keepAlive) {
		this.response = response;
		this.client = client;
		this.address = address;
		this.connection = connection;
		this.connectionReused = connectionReused;
		this.keepAlive = keepAlive;
	}

	/**
	 * Returns the status code.
	 * @return the HTTP status code
	 */
	public int status() {
		return this.response.getCode();
	}

	/**
	 * Returns the value of a header.
	 * @param name the header name
	 * @param otherwise the default value, returned if the header is absent
	 * @return the value
	 */
	public String header(String name, String otherwise) {
		Header header = this.response.getFirstHeader(name);
		return (header != null) ? header.getValue() : otherwise;
	}

	/**
	 * Returns whether the connection carried other requests before this one. A server may
	 * then have sent the response to one of them again.
	 * @return {@code true} if the connection came from the pool
	 */
	public boolean isConnectionReused() {
		return this.connectionReused;
	}

	/**
	 * Makes {@link #close()} close the connection instead of returning it to the pool.
	 */
	public void preventReuse() {
		this.keepAlive = false;
	}

	/**
	 * Sets the timeout of each read from the body.
	 * @param timeout the maximum time to wait for data
	 */
	public void setReadTimeout(Duration timeout) {
		this.connection.setSocketTimeout(Timeout.ofMilliseconds(Math.max(1, timeout.toMillis())));
	}

	/**
	 * Returns the body as a stream. Reading it to the end makes the connection reusable.
	 * @return the stream
	 * @throws IOException if the body cannot be opened
	 */
	public InputStream body() throws IOException {
		HttpEntity entity = this.response.getEntity();
		if (entity == null) {
			this.endOfBodyReached = true;
			return InputStream.nullInputStream();
		}
		return new EndTrackingStream(entity.getContent());
	}

	/**
	 * Returns the body as lines in UTF-8. Reading them to the end makes the connection
	 * reusable. A read fails if a limit is exceeded.
	 * @param maxLineBytes the maximum length of a line, in bytes
	 * @param maxBytes the maximum length of the body, in bytes
	 * @return the lines
	 * @throws IOException if the body cannot be opened
	 */
	public BufferedReader lines(int maxLineBytes, long maxBytes) throws IOException {
		return new BufferedReader(
				new InputStreamReader(new LineLimitStream(body(), maxLineBytes, maxBytes), StandardCharsets.UTF_8));
	}

	/**
	 * Reads the whole body.
	 * @param maxBytes the maximum size of the body, in bytes
	 * @return the body
	 * @throws IOException if the body is truncated or too long
	 */
	public byte[] readAll(int maxBytes) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		byte[] chunk = new byte[CHUNK_BYTES];
		InputStream in = body();
		for (int n = in.read(chunk); n >= 0; n = in.read(chunk)) {
			out.write(chunk, 0, n);
			if (out.size() > maxBytes) {
				throw new IOException("answer of " + this.address + " is longer than " + maxBytes + " bytes");
			}
		}
		return out.toByteArray();
	}

	/**
	 * Closes the connection immediately, even while another thread is reading from it.
	 */
	public void abort() {
		this.client.discard(this.connection);
	}

	/**
	 * Closes the connection of a response that belongs to another request. For some time,
	 * each connection to the server then carries one request only.
	 * @param answered the id of the other request, as the server sent it
	 */
	public void rejectAsStray(String answered) {
		abort();
		this.client.strayReceived(this.address, "answered", answered);
	}

	@Override
	public void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		int surplus = this.endOfBodyReached ? this.connection.unreadBytes() : 0;
		if (surplus > 0) {
			this.keepAlive = false;
			this.client.strayReceived(this.address, "cause", "bytes after the response", "bytes", surplus);
		}
		if (this.endOfBodyReached && this.keepAlive && this.connection.isOpen()) {
			this.client.release(this.address, this.connection);
			return;
		}
		this.client.discard(this.connection);
	}

	/**
	 * Records when the end of the body has been reached.
	 */
	private final class EndTrackingStream extends InputStream {

		private final InputStream in;

		private EndTrackingStream(InputStream in) {
			this.in = in;
		}

		@Override
		public int read() throws IOException {
			byte[] single = new byte[1];
			return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
		}

		@Override
		public int read(byte[] bytes, int offset, int length) throws IOException {
			try {
				int n = this.in.read(bytes, offset, length);
				HttpReply.this.endOfBodyReached |= (n < 0);
				return n;
			}
			catch (MalformedChunkCodingException | MessageConstraintException ex) {
				throw new IOException("the body of " + HttpReply.this.address + " cannot be read: "
						+ HttpReply.this.client.describe(HttpReply.this.address, ex), ex);
			}
		}

	}

}
