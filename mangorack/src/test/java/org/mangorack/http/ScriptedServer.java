package org.mangorack.http;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that responds to requests without a body with scripted bytes. Connections stay
 * open until the client closes them.
 */
public final class ScriptedServer implements Closeable {

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final AtomicInteger connections = new AtomicInteger();

	private final AtomicInteger unwritten = new AtomicInteger();

	private volatile Script script;

	/**
	 * Starts a server.
	 * @throws IOException if no port can be bound
	 */
	public ScriptedServer() throws IOException {
		start(this::accept);
	}

	/**
	 * Returns the address.
	 * @return the address
	 */
	public HttpAddress address() {
		return new HttpAddress("127.0.0.1", this.listener.getLocalPort());
	}

	/**
	 * Sets the script of further responses.
	 * @param script writes each response
	 */
	public void setScript(Script script) {
		this.script = script;
	}

	/**
	 * Returns how many connections were accepted.
	 * @return the number of connections
	 */
	int connections() {
		return this.connections.get();
	}

	/**
	 * Waits until the responses to all received requests are written.
	 */
	void awaitWritten() {
		while (this.unwritten.get() > 0) {
			Thread.yield();
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.listener.accept();
				this.connections.incrementAndGet();
				start(() -> serve(socket));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void serve(Socket accepted) {
		try (Socket socket = accepted) {
			socket.setTcpNoDelay(true);
			BufferedReader in = new BufferedReader(
					new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
			for (String path = readRequest(in); path != null; path = readRequest(in)) {
				this.unwritten.incrementAndGet();
				try {
					this.script.respond(path, socket.getOutputStream());
				}
				finally {
					this.unwritten.decrementAndGet();
				}
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	// Returns the path of the next request, or null at the end of the connection.
	private static String readRequest(BufferedReader in) throws IOException {
		String requestLine = in.readLine();
		for (String line = requestLine; line != null; line = in.readLine()) {
			if (line.isEmpty()) {
				return requestLine.split(" ")[1];
			}
		}
		return null;
	}

	private static void start(Runnable work) {
		Thread thread = new Thread(work, "scripted-server");
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Writes the response to a request.
	 */
	public interface Script {

		/**
		 * Writes a response.
		 * @param path the path of the request
		 * @param out the connection
		 * @throws IOException if the connection is to be closed
		 */
		void respond(String path, OutputStream out) throws IOException;

		/**
		 * Returns a script that repeats bytes until the client closes the connection.
		 * @param before the bytes that are written once
		 * @param unit the bytes that are repeated
		 * @param maxBytes the number of bytes after which the connection ends
		 * @param written counts the bytes
		 * @return the script
		 */
		static Script endless(String before, String unit, long maxBytes, AtomicInteger written) {
			byte[] block = unit.repeat(Math.max(1, 8192 / unit.length())).getBytes(StandardCharsets.ISO_8859_1);
			return (path, out) -> {
				out.write(before.getBytes(StandardCharsets.ISO_8859_1));
				while (written.get() < maxBytes) {
					out.write(block);
					written.addAndGet(block.length);
				}
				throw new IOException("the client accepted " + maxBytes + " bytes");
			};
		}

	}

}
