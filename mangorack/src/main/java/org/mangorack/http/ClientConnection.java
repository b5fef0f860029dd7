package org.mangorack.http;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * A client connection that tells whether bytes were received that no response has
 * consumed. The size of the head of a response and of its trailers is limited.
 */
final class ClientConnection extends DefaultBHttpClientConnection {

	/**
	 * Maximum total size of the header lines of a response, including those of interim
	 * responses, and of its trailers, in bytes. Also the maximum length of each line.
	 */
	static final int MAX_HEAD_BYTES = 64 * 1024;

	private static final Http1Config CONFIG = Http1Config.custom().setMaxLineLength(MAX_HEAD_BYTES).build();

	private final ResponseHeadParser parser;

	ClientConnection() {
		this(new ResponseHeadParser(CONFIG, MAX_HEAD_BYTES));
	}

	private ClientConnection(ResponseHeadParser parser) {
		super(CONFIG, null, null, null, null, null, (config) -> parser);
		this.parser = parser;
	}

	/**
	 * Returns the number of bytes that can be read without blocking.
	 * @return the number of bytes buffered here or by the operating system, 0 if the
	 * connection is closed
	 */
	int unreadBytes() {
		SocketHolder holder = getSocketHolder();
		if (holder == null) {
			return 0;
		}
		try {
			return this.parser.bufferedBytes() + holder.getSocket().getInputStream().available();
		}
		catch (IOException ex) {
			// The next request on the connection fails for the same reason.
			return this.parser.bufferedBytes();
		}
	}

	@Override
	protected InputStream createContentInputStream(long length, SessionInputBuffer buffer, InputStream in) {
		return super.createContentInputStream(length, new HeadBuffer(buffer, MAX_HEAD_BYTES), in);
	}

}
