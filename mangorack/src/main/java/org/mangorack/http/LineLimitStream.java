package org.mangorack.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

/**
 * The stream that the lines of a body are read from. It limits the length of each line
 * and the total number of bytes, so that a reader of lines keeps a bounded number of
 * bytes.
 */
final class LineLimitStream extends FilterInputStream {

	private final int maxLineBytes;

	private final long maxBytes;

	private int lineBytes;

	private long totalBytes;

	/**
	 * Creates a stream.
	 * @param in the body
	 * @param maxLineBytes the maximum length of a line, in bytes
	 * @param maxBytes the maximum length of the body, in bytes
	 */
	LineLimitStream(InputStream in, int maxLineBytes, long maxBytes) {
		super(in);
		this.maxLineBytes = maxLineBytes;
		this.maxBytes = maxBytes;
	}

	@Override
	public int read() throws IOException {
		byte[] single = new byte[1];
		return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
	}

	@Override
	public int read(byte[] bytes, int offset, int length) throws IOException {
		int count = super.read(bytes, offset, length);
		for (int i = 0; i < count; i++) {
			byte b = bytes[offset + i];
			this.lineBytes = ((b == '\n') || (b == '\r')) ? 0 : (this.lineBytes + 1);
			if (this.lineBytes > this.maxLineBytes) {
				throw new IOException("a line is longer than " + this.maxLineBytes + " bytes");
			}
		}
		this.totalBytes += Math.max(0, count);
		if (this.totalBytes > this.maxBytes) {
			throw new IOException("the body is longer than " + this.maxBytes + " bytes");
		}
		return count;
	}

}
