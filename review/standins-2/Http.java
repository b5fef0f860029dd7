import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client on blocking sockets. */
final class Http {

	private Http() {
	}

	/** A request that was read whole. */
	record Request(String method, String target, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.get(name);
		}

		String path() {
			int query = this.target.indexOf('?');
			return (query < 0) ? this.target : this.target.substring(0, query);
		}

		String query(String name) {
			int query = this.target.indexOf('?');
			if (query >= 0) {
				for (String pair : this.target.substring(query + 1).split("&")) {
					if (pair.startsWith(name + "=")) {
						return pair.substring(name.length() + 1);
					}
				}
			}
			return null;
		}

	}

	/** A response; status 0 means that none came, whole tells whether it was complete. */
	record Response(int status, Map<String, String> headers, byte[] body, boolean whole, String cause) {

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

	}

	/** Answers requests of a server. */
	interface Handler {

		void handle(Request request, Connection connection) throws IOException;

	}

	/** A server with a thread for each connection. */
	static final class Server implements AutoCloseable {

		private final ServerSocket socket;

		private final Handler handler;

		private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

		Server(String host, int port, Handler handler) throws IOException {
			this.socket = new ServerSocket();
			this.socket.setReuseAddress(true);
			this.socket.bind(new InetSocketAddress(InetAddress.getByName(host), port), 1024);
			this.handler = handler;
			daemon(this::accept);
		}

		String address() {
			return this.socket.getInetAddress().getHostAddress() + ":" + this.socket.getLocalPort();
		}

		private void accept() {
			while (!this.socket.isClosed()) {
				try {
					Connection connection = new Connection(this.socket.accept());
					this.connections.add(connection);
					daemon(() -> serve(connection));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Connection connection) {
			try {
				while (!connection.socket.isClosed()) {
					this.handler.handle(connection.readRequest(), connection);
				}
			}
			catch (IOException | RuntimeException ex) {
				// The peer left, or the handler ended the connection.
			}
			finally {
				connection.close();
				this.connections.remove(connection);
			}
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
			this.connections.forEach(Connection::close);
		}

	}

	/** One end of a connection. */
	static final class Connection {

		final Socket socket;

		private final InputStream in;

		final OutputStream out;

		Connection(Socket socket) throws IOException {
			this.socket = socket;
			socket.setTcpNoDelay(true);
			this.in = new BufferedInputStream(socket.getInputStream(), 65536);
			this.out = socket.getOutputStream();
		}

		static Connection open(String address, int timeoutMillis) throws IOException {
			int colon = address.lastIndexOf(':');
			Socket socket = new Socket();
			socket.connect(new InetSocketAddress(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1))), timeoutMillis);
			return new Connection(socket);
		}

		Request readRequest() throws IOException {
			String[] line = readLine().split(" ");
			Map<String, String> headers = readHeaders();
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			readBody(headers, body, false);
			return new Request(line[0], line[1], headers, body.toByteArray());
		}

		Response readResponse(boolean head) throws IOException {
			String[] line = readLine().split(" ");
			Map<String, String> headers = readHeaders();
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			try {
				if (!head) {
					readBody(headers, body, true);
				}
				return new Response(Integer.parseInt(line[1]), headers, body.toByteArray(), true, "");
			}
			catch (IOException ex) {
				return new Response(Integer.parseInt(line[1]), headers, body.toByteArray(), false, ex.toString());
			}
		}

		private void readBody(Map<String, String> headers, ByteArrayOutputStream body, boolean response)
				throws IOException {
			if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
				for (int size = chunk(); size > 0; size = chunk()) {
					copy(size, body);
					readLine();
				}
				readHeaders();
			}
			else if (headers.containsKey("Content-Length")) {
				copy(Integer.parseInt(headers.get("Content-Length").trim()), body);
			}
			else if (response) {
				throw new IOException("a response without a length");
			}
		}

		private int chunk() throws IOException {
			return Integer.parseInt(readLine().trim(), 16);
		}

		private void copy(int size, ByteArrayOutputStream to) throws IOException {
			byte[] buffer = new byte[16384];
			for (int left = size; left > 0;) {
				int count = this.in.read(buffer, 0, Math.min(left, buffer.length));
				if (count < 0) {
					throw new EOFException("the connection ended within a body");
				}
				to.write(buffer, 0, count);
				left -= count;
			}
		}

		private Map<String, String> readHeaders() throws IOException {
			Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
			for (String line = readLine(); !line.isEmpty(); line = readLine()) {
				int colon = line.indexOf(':');
				headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
			}
			return headers;
		}

		private String readLine() throws IOException {
			ByteArrayOutputStream line = new ByteArrayOutputStream();
			for (int b = this.in.read(); b != '\n'; b = this.in.read()) {
				if (b < 0) {
					throw new EOFException("the connection ended");
				}
				line.write(b);
			}
			String text = line.toString(StandardCharsets.ISO_8859_1);
			return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
		}

		void send(String head, byte[] body) throws IOException {
			byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
			byte[] all = new byte[headBytes.length + body.length];
			System.arraycopy(headBytes, 0, all, 0, headBytes.length);
			System.arraycopy(body, 0, all, headBytes.length, body.length);
			this.out.write(all);
			this.out.flush();
		}

		void respond(int status, String headers, byte[] body) throws IOException {
			send("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n", body);
		}

		void close() {
			try {
				this.socket.close();
			}
			catch (IOException ex) {
				// It is closed.
			}
		}

	}

	/**
	 * Sends a request on a new connection.
	 * @param address the address
	 * @param method the method
	 * @param target the path and query
	 * @param headers the header lines, each with its line end
	 * @param body the body
	 * @param timeoutMillis the longest time without a byte
	 * @return the response
	 */
	static Response call(String address, String method, String target, String headers, byte[] body,
			int timeoutMillis) {
		Connection connection = null;
		try {
			connection = Connection.open(address, 1000);
			connection.socket.setSoTimeout(timeoutMillis);
			String length = (body.length > 0) || method.equals("POST") ? ("Content-Length: " + body.length + "\r\n")
					: "";
			connection.send(method + " " + target + " HTTP/1.1\r\n" + headers + length + "\r\n", body);
			return connection.readResponse(method.equals("HEAD"));
		}
		catch (IOException | RuntimeException ex) {
			return new Response(0, Map.of(), new byte[0], false, ex.toString());
		}
		finally {
			if (connection != null) {
				connection.close();
			}
		}
	}

	static void daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

}
