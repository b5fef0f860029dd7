package org.mangorack.bench.fleet;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

import org.mangorack.http.HttpAddress;

/**
 * A connection of a caller, which is kept for many requests, as long as the entry keeps
 * it.
 */
final class CallerConnection implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 1000;

	private final FleetProcess entry;

	private final Socket socket = new Socket();

	private InputStream in;

	private boolean open;

	private int requests;

	CallerConnection(FleetProcess entry) {
		this.entry = entry;
	}

	FleetProcess entry() {
		return this.entry;
	}

	/**
	 * Tells whether another request may be sent.
	 * @return {@code true} if the connection is open
	 */
	boolean isOpen() {
		return this.open;
	}

	/**
	 * Connects to the entry.
	 * @return whether the entry accepted the connection
	 */
	boolean connect() {
		HttpAddress address = this.entry.address(FleetProcess.Port.CALLERS);
		try {
			this.socket.connect(new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MS);
			this.socket.setTcpNoDelay(true);
			this.in = new BufferedInputStream(this.socket.getInputStream());
			this.open = true;
		}
		catch (IOException ex) {
			close();
		}
		return this.open;
	}

	/**
	 * Sends a request and reads its answer.
	 * @param request the text of the request
	 * @param timeoutMillis how long a read may wait, in milliseconds
	 * @return the answer, which may be incomplete
	 */
	Answer exchange(String request, int timeoutMillis) {
		Answer answer = new Answer();
		answer.number = ++this.requests;
		try {
			this.socket.setSoTimeout(timeoutMillis);
			this.socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			answer.sent = true;
			read(answer);
		}
		catch (SocketTimeoutException ex) {
			answer.failure = "no more bytes within " + timeoutMillis + " ms";
		}
		catch (IOException ex) {
			answer.failure = (ex instanceof EOFException) ? "closed" : ex.getMessage();
		}
		this.open = answer.whole && !"close".equalsIgnoreCase(answer.headers.get("Connection"));
		if (!this.open) {
			close();
		}
		return answer;
	}

	@Override
	public void close() {
		this.open = false;
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// Nothing depends on how a connection ends.
		}
	}

	private void read(Answer answer) throws IOException {
		do {
			answer.headers.clear();
			answer.status = Integer.parseInt(readLine().split(" ")[1]);
			for (String line = readLine(); !line.isEmpty(); line = readLine()) {
				answer.headers.put(line.substring(0, line.indexOf(':')), line.substring(line.indexOf(':') + 1).strip());
			}
		}
		while (answer.status < 200);
		if ("chunked".equalsIgnoreCase(answer.headers.get("Transfer-Encoding"))) {
			readChunks(answer);
		}
		else {
			readBytes(answer, Integer.parseInt(answer.headers.getOrDefault("Content-Length", "0")));
		}
		answer.whole = true;
	}

	private void readChunks(Answer answer) throws IOException {
		int length;
		do {
			length = Integer.parseInt(readLine(), 16);
			readBytes(answer, length);
			readLine();
		}
		while (length > 0);
	}

	private void readBytes(Answer answer, int length) throws IOException {
		byte[] bytes = this.in.readNBytes(length);
		answer.body.writeBytes(bytes);
		if (bytes.length < length) {
			throw new EOFException();
		}
	}

	private String readLine() throws IOException {
		StringBuilder text = new StringBuilder();
		for (int b = this.in.read(); b != '\n'; b = this.in.read()) {
			if (b < 0) {
				throw new EOFException();
			}
			if (b != '\r') {
				text.append((char) b);
			}
		}
		return text.toString();
	}

	/**
	 * What a caller got for a request.
	 */
	static final class Answer {

		private final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		private final ByteArrayOutputStream body = new ByteArrayOutputStream();

		private int number;

		private boolean sent;

		private int status;

		private boolean whole;

		private String failure;

		/**
		 * Creates an answer that was received without a connection.
		 * @param number how many requests were sent on the connection, this one included
		 * @param status the status; 0 if none came
		 * @param body the body
		 * @param failure why the answer is not whole, or {@code null} if it is
		 * @return the answer
		 */
		static Answer of(int number, int status, String body, String failure) {
			Answer answer = new Answer();
			answer.number = number;
			answer.sent = true;
			answer.status = status;
			answer.body.writeBytes(body.getBytes(StandardCharsets.ISO_8859_1));
			answer.whole = (failure == null);
			answer.failure = failure;
			return answer;
		}

		/**
		 * Returns how many requests were sent on the connection, this one included.
		 * @return the number
		 */
		int number() {
			return this.number;
		}

		/**
		 * Tells whether the whole request was written.
		 * @return {@code true} if it was
		 */
		boolean isSent() {
			return this.sent;
		}

		/**
		 * Returns the status.
		 * @return the status; 0 if none came
		 */
		int status() {
			return this.status;
		}

		boolean isWhole() {
			return this.whole;
		}

		boolean isServed() {
			return this.whole && (this.status == 200);
		}

		String header(String name) {
			return this.headers.get(name);
		}

		String body() {
			return this.body.toString(StandardCharsets.ISO_8859_1);
		}

		String failure() {
			return this.failure;
		}

	}

}
