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
			this.socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			answer.sent = true;
		}
		catch (IOException ex) {
			answer.failure = ex.getMessage();
			close();
			return answer;
		}
		return receive(answer, timeoutMillis);
	}

	/**
	 * Reads the answer to a request that was sent in one piece with the one before.
	 * @param timeoutMillis how long a read may wait, in milliseconds
	 * @return the answer, which may be incomplete; one of a request that counts as not
	 * sent if the connection ended with the answer before
	 */
	Answer receiveNext(int timeoutMillis) {
		Answer answer = new Answer();
		answer.number = ++this.requests;
		if (!this.open) {
			answer.failure = "closed after the answer before";
			return answer;
		}
		answer.sent = true;
		return receive(answer, timeoutMillis);
	}

	private Answer receive(Answer answer, int timeoutMillis) {
		try {
			this.socket.setSoTimeout(timeoutMillis);
			read(answer);
		}
		catch (MalformedAnswerException ex) {
			answer.malformed = true;
			answer.failure = ex.getMessage();
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

	/**
	 * Returns the bytes that have come since the last answer was read.
	 * @return the bytes; empty if there are none or the connection is closed
	 */
	String unawaited() {
		try {
			return (this.open && (this.in.available() > 0))
					? new String(this.in.readNBytes(this.in.available()), StandardCharsets.ISO_8859_1) : "";
		}
		catch (IOException ex) {
			return "";
		}
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
			String start = readLine();
			if (!GivenAnswers.isStatusLine(start)) {
				throw new MalformedAnswerException("status line \"" + start + "\"");
			}
			answer.status = Integer.parseInt(start.split(" ")[1]);
			for (String line = readLine(); !line.isEmpty(); line = readLine()) {
				readHeader(answer, line);
			}
		}
		while (answer.status < 200);
		String length = answer.headers.get("Content-Length");
		if ("chunked".equalsIgnoreCase(answer.headers.get("Transfer-Encoding"))) {
			readChunks(answer);
		}
		else if (length == null) {
			answer.body.writeBytes(this.in.readAllBytes());
			answer.headers.put("Connection", "close");
		}
		else {
			readBytes(answer, parse(length, 10));
		}
		answer.whole = true;
	}

	private static void readHeader(Answer answer, String line) throws IOException {
		int colon = line.indexOf(':');
		if (colon < 1) {
			throw new MalformedAnswerException("header \"" + line + "\"");
		}
		answer.headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
	}

	private void readChunks(Answer answer) throws IOException {
		int length;
		do {
			length = parse(readLine(), 16);
			readBytes(answer, length);
			String end = readLine();
			if (!end.isEmpty()) {
				throw new MalformedAnswerException("end of a chunk \"" + end + "\"");
			}
		}
		while (length > 0);
	}

	private static int parse(String length, int radix) throws IOException {
		try {
			return Integer.parseUnsignedInt(length, radix);
		}
		catch (NumberFormatException ex) {
			throw new MalformedAnswerException("length \"" + length + "\"");
		}
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

		private boolean malformed;

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
			return of(number, status, Map.of(), body, failure);
		}

		/**
		 * Creates an answer with headers that was received without a connection.
		 * @param number how many requests were sent on the connection, this one included
		 * @param status the status; 0 if none came
		 * @param headers the headers
		 * @param body the body
		 * @param failure why the answer is not whole, or {@code null} if it is
		 * @return the answer
		 */
		static Answer of(int number, int status, Map<String, String> headers, String body, String failure) {
			Answer answer = new Answer();
			answer.number = number;
			answer.sent = true;
			answer.status = status;
			answer.headers.putAll(headers);
			answer.body.writeBytes(body.getBytes(StandardCharsets.ISO_8859_1));
			answer.whole = (failure == null);
			answer.failure = failure;
			return answer;
		}

		/**
		 * Creates the answer of a caller that received bytes which are no answer.
		 * @param failure what they are
		 * @return the answer
		 */
		static Answer malformed(String failure) {
			Answer answer = of(1, 0, "", failure);
			answer.malformed = true;
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

		/**
		 * Tells whether bytes that are no answer were received.
		 * @return {@code true} if they were
		 */
		boolean isMalformed() {
			return this.malformed;
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

	/**
	 * Thrown when bytes that are no answer were received.
	 */
	private static final class MalformedAnswerException extends IOException {

		MalformedAnswerException(String message) {
			super(message);
		}

	}

}
