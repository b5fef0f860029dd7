package org.mangorack.http;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Input buffer that limits the total size of the header lines of a message and of other
 * lines that follow one another, such as trailers. The length of each line, including the
 * start line, is limited by the underlying buffer.
 */
final class HeadBuffer implements SessionInputBuffer {

	private static final int LINE_END_BYTES = 2;

	private final SessionInputBuffer buffer;

	private final int maxBytes;

	private boolean readingStartLine = true;

	private long lineBytes;

	/**
	 * Creates a buffer for the next head.
	 * @param buffer the underlying session buffer
	 * @param maxBytes the maximum total size of the header lines, in bytes
	 */
	HeadBuffer(SessionInputBuffer buffer, int maxBytes) {
		this.buffer = buffer;
		this.maxBytes = maxBytes;
	}

	@Override
	public int length() {
		return this.buffer.length();
	}

	@Override
	public int capacity() {
		return this.buffer.capacity();
	}

	@Override
	public int available() {
		return this.buffer.available();
	}

	@Override
	public int read(byte[] target, int offset, int length, InputStream in) throws IOException {
		this.lineBytes = 0;
		return this.buffer.read(target, offset, length, in);
	}

	@Override
	public int read(byte[] target, InputStream in) throws IOException {
		this.lineBytes = 0;
		return this.buffer.read(target, in);
	}

	@Override
	public int read(InputStream in) throws IOException {
		this.lineBytes = 0;
		return this.buffer.read(in);
	}

	@Override
	public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
		int before = line.length();
		int result = this.buffer.readLine(line, in);
		int read = line.length() - before;
		if (!this.readingStartLine) {
			this.lineBytes += read + LINE_END_BYTES;
		}
		if (this.lineBytes > this.maxBytes) {
			throw new MessageConstraintException("headers exceed " + this.maxBytes + " bytes");
		}
		// Empty lines may precede the start line.
		this.readingStartLine &= (read == 0);
		return result;
	}

	@Override
	public HttpTransportMetrics getMetrics() {
		return this.buffer.getMetrics();
	}

}
