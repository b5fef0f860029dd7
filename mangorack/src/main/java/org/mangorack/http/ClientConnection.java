package org.mangorack.http;

import java.io.IOException;

import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;

/**
 * A client connection that tells whether bytes were received that no response has
 * consumed.
 */
final class ClientConnection extends DefaultBHttpClientConnection {

	private final ResponseHeadParser parser;

	ClientConnection() {
		this(new ResponseHeadParser(Http1Config.DEFAULT));
	}

	private ClientConnection(ResponseHeadParser parser) {
		super(Http1Config.DEFAULT, null, null, null, null, null, (config) -> parser);
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

}
