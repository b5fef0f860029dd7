package org.mangorack.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.time.Duration;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;

import org.mangorack.observe.MonotonicClock;

/**
 * A connection from a caller that, after its last response, discards what the caller
 * still sends before it is closed. Closing a socket with unread bytes resets the
 * connection, and a caller that is still writing may then lose the response.
 */
final class LingeringServerConnection extends DefaultBHttpServerConnection {

	/**
	 * The longest time for which bytes are discarded.
	 */
	static final Duration MAX_LINGER = Duration.ofSeconds(2);

	private static final int BUFFER_BYTES = 16 * 1024;

	LingeringServerConnection(Http1Config config, HttpMessageParserFactory<ClassicHttpRequest> parserFactory) {
		super(null, config, null, null, null, null, parserFactory, null);
	}

	@Override
	public void close() throws IOException {
		SocketHolder holder = getSocketHolder();
		try {
			if (holder != null) {
				flush();
				discardInput(holder.getSocket());
			}
		}
		catch (IOException ex) {
			// The caller has closed the connection or sends for longer than it may.
		}
		finally {
			super.close();
		}
	}

	private static void discardInput(Socket socket) throws IOException {
		socket.shutdownOutput();
		InputStream in = socket.getInputStream();
		byte[] buffer = new byte[BUFFER_BYTES];
		long startedAt = MonotonicClock.SYSTEM.nanoTime();
		int read = 0;
		while (read >= 0) {
			long left = MAX_LINGER.minus(MonotonicClock.SYSTEM.elapsed(startedAt)).toMillis();
			if (left <= 0) {
				return;
			}
			socket.setSoTimeout((int) left);
			read = in.read(buffer);
		}
	}

}
