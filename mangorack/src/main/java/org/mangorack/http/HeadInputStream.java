package org.mangorack.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.ConnectionClosedException;

/**
 * The stream that the head of a message is read from. It may end before the head, but not
 * within it. HttpCore takes the end of the connection for the end of the head, so that a
 * head that breaks off would be a message with the headers received so far and an empty
 * or shortened body.
 */
final class HeadInputStream extends FilterInputStream {

	private boolean begun;

	/**
	 * Creates a stream for one head.
	 * @param in the connection
	 * @param begun whether bytes of the head have already been read from it
	 */
	HeadInputStream(InputStream in, boolean begun) {
		super(in);
		this.begun = begun;
	}

	@Override
	public int read() throws IOException {
		return checkEnd(super.read());
	}

	@Override
	public int read(byte[] bytes, int offset, int length) throws IOException {
		return checkEnd(super.read(bytes, offset, length));
	}

	private int checkEnd(int result) throws ConnectionClosedException {
		if ((result < 0) && this.begun) {
			throw new ConnectionClosedException("connection ended within the head of a message");
		}
		this.begun = true;
		return result;
	}

}
