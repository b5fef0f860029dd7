package org.mangorack.http;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.util.Timeout;

/**
 * The answer of a server. Closing it returns the connection to the pool if the body was
 * read to its end, and closes the connection otherwise. Closing it again has no effect.
 */
public final class HttpReply implements Closeable {

	private static final int CHUNK_BYTES = 8192;

	private final ClassicHttpResponse response;

	private final PooledHttpClient client;

	private final HttpAddress address;

	private final DefaultBHttpClientConnection connection;

	private final boolean keepAlive;

	private boolean atEnd;

	private boolean closed;

	HttpReply(ClassicHttpResponse response, PooledHttpClient client, HttpAddress address,
			DefaultBHttpClientConnection connection, boolean keepAlive) {
		this.response = response;
		this.client = client;
		this.address = address;
		this.connection = connection;
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
	 * Returns a header.
	 * @param name the name of the header
	 * @param otherwise the value when the header is missing
	 * @return the value
	 */
	public String header(String name, String otherwise) {
		Header header = this.response.getFirstHeader(name);
		return (header != null) ? header.getValue() : otherwise;
	}

	/**
	 * Changes how long a read of the body may wait.
	 * @param limit the longest silence
	 */
	public void setReadTimeout(Duration limit) {
		this.connection.setSocketTimeout(Timeout.ofMilliseconds(Math.max(1, limit.toMillis())));
	}

	/**
	 * Returns the body as a stream that notices its end.
	 * @return the stream
	 * @throws IOException if the body cannot be opened
	 */
	public InputStream body() throws IOException {
		HttpEntity entity = this.response.getEntity();
		if (entity == null) {
			this.atEnd = true;
			return InputStream.nullInputStream();
		}
		return new EndNoticingStream(entity.getContent());
	}

	/**
	 * Reads the whole body.
	 * @param maxBytes the longest accepted body
	 * @return the body
	 * @throws IOException if the body breaks off or is too long
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
	 * Closes the connection at once, also while another thread reads from it.
	 */
	public void abort() {
		this.client.discard(this.connection);
	}

	@Override
	public void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		if (this.atEnd && this.keepAlive && this.connection.isOpen()) {
			this.client.release(this.address, this.connection);
			return;
		}
		this.client.discard(this.connection);
	}

	/**
	 * Remembers that the end of the body was reached.
	 */
	private final class EndNoticingStream extends InputStream {

		private final InputStream in;

		private EndNoticingStream(InputStream in) {
			this.in = in;
		}

		@Override
		public int read() throws IOException {
			int b = this.in.read();
			HttpReply.this.atEnd |= (b < 0);
			return b;
		}

		@Override
		public int read(byte[] bytes, int offset, int length) throws IOException {
			int n = this.in.read(bytes, offset, length);
			HttpReply.this.atEnd |= (n < 0);
			return n;
		}

	}

}
