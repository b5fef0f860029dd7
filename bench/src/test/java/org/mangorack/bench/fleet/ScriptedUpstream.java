package org.mangorack.bench.fleet;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * An upstream whose responses a test writes byte by byte.
 */
final class ScriptedUpstream implements AutoCloseable {

	private final ServerSocket listening;

	private final List<Received> received = new CopyOnWriteArrayList<>();

	private final BlockingQueue<String> closed = new LinkedBlockingQueue<>();

	private volatile Script script;

	ScriptedUpstream(Script script) throws IOException {
		this.script = script;
		this.listening = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
		startDaemon(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listening.getLocalPort();
	}

	List<Received> received() {
		return this.received;
	}

	/**
	 * Returns the queue of connections that the other end closed, each identified by the
	 * id of its last request, or {@code none}.
	 * @return the queue
	 */
	BlockingQueue<String> closed() {
		return this.closed;
	}

	void setScript(Script next) {
		this.script = next;
	}

	@Override
	public void close() throws IOException {
		this.listening.close();
	}

	/**
	 * Creates a response with a content length.
	 * @param request the request
	 * @param body the body
	 * @return the bytes of the response
	 */
	static byte[] plain(Received request, String body) {
		return bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nResponse-Signature: s\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body);
	}

	/**
	 * Creates a chunked event stream with one chunk per event.
	 * @param request the request
	 * @param events the data of the events
	 * @return the bytes of the response
	 */
	static byte[] stream(Received request, String... events) {
		StringBuilder text = new StringBuilder(streamHead(request));
		int id = 0;
		for (String e : events) {
			text.append(chunk("id: " + ++id + "\ndata: " + e + "\n\n"));
		}
		return bytes(text.append("0\r\n\r\n").toString());
	}

	static String streamHead(Received request) {
		return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nResponse-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
	}

	static String chunk(String content) {
		return Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	/**
	 * Sleeps without a checked exception, for use in scripts and tests.
	 * @param millis the time in milliseconds
	 */
	static void sleep(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void startDaemon(Runnable task) {
		Thread thread = new Thread(task, "scripted-upstream");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.listening.isClosed()) {
			try {
				Socket socket = this.listening.accept();
				startDaemon(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		String last = "none";
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			while (true) {
				Received head = readHead(in);
				if (head == null) {
					break;
				}
				last = head.header("Request-Id");
				Script current = this.script;
				boolean responded = current.respondEarly(head, socket.getOutputStream(), socket);
				Received request = readBody(in, head);
				this.received.add(request);
				if (!responded && !current.respond(request, socket.getOutputStream(), socket)) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// Tests close connections on purpose.
		}
		this.closed.add(last);
	}

	private static Received readHead(InputStream in) throws IOException {
		String start = readLine(in);
		if (start == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String text = readLine(in); (text != null) && !text.isEmpty(); text = readLine(in)) {
			headers.put(text.substring(0, text.indexOf(':')), text.substring(text.indexOf(':') + 1).strip());
		}
		return new Received(start, headers, "");
	}

	private static Received readBody(InputStream in, Received head) throws IOException {
		byte[] body = in.readNBytes(Integer.parseInt(head.headers().getOrDefault("Content-Length", "0")));
		return new Received(head.start(), head.headers(), new String(body, StandardCharsets.ISO_8859_1));
	}

	private static String readLine(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		for (int b = in.read(); b != '\n'; b = in.read()) {
			if (b < 0) {
				return null;
			}
			if (b != '\r') {
				text.append((char) b);
			}
		}
		return text.toString();
	}

	/**
	 * Responds to requests.
	 */
	@FunctionalInterface
	interface Script {

		/**
		 * Responds to a request.
		 * @param request the request
		 * @param out receives the response
		 * @param socket the connection
		 * @return {@code true} to keep the connection open
		 * @throws IOException if the connection fails
		 */
		boolean respond(Received request, OutputStream out, Socket socket) throws IOException;

		/**
		 * Responds to a request before its body is read, or leaves it to
		 * {@link #respond}.
		 * @param head the request without its body
		 * @param out receives the response
		 * @param socket the connection
		 * @return {@code true} if the response has been written
		 * @throws IOException if the connection fails
		 */
		default boolean respondEarly(Received head, OutputStream out, Socket socket) throws IOException {
			return false;
		}

	}

	/**
	 * A request as received.
	 *
	 * @param start its request line
	 * @param headers its headers
	 * @param body its body
	 */
	record Received(String start, Map<String, String> headers, String body) {

		String header(String name) {
			return this.headers.get(name);
		}

	}

}
