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
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over plain sockets: what the stand-ins of the platform, servers and clients share. */
final class Http {

	private Http() {
	}

	/** A request or an answer; header names are in lower case. */
	static final class Message {

		String first;

		final Map<String, String> headers = new LinkedHashMap<>();

		byte[] body = new byte[0];

		boolean complete;

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

	interface Handler {

		/** Handles a request; returns false to close the connection. */
		boolean handle(Message request, OutputStream out, Socket socket) throws IOException, InterruptedException;

	}

	/** Accepts connections until the process ends, a thread for each. */
	static ServerSocket serve(String host, int port, Handler handler) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
		thread(() -> {
			while (!server.isClosed()) {
				Socket socket = server.accept();
				thread(() -> {
					try (socket) {
						socket.setTcpNoDelay(true);
						InputStream in = new BufferedInputStream(socket.getInputStream());
						OutputStream out = socket.getOutputStream();
						Message request = read(in, false);
						while ((request != null) && handler.handle(request, out, socket)) {
							request = read(in, false);
						}
					}
				});
			}
		});
		return server;
	}

	interface Task {

		void run() throws Exception;

	}

	static Thread thread(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (Exception ex) {
				// A peer closed its connection, or the run is over.
			}
		});
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/** Reads a message; null if the connection ends before its first byte. */
	static Message read(InputStream in, boolean answer) throws IOException {
		String line = line(in);
		if (line == null) {
			return null;
		}
		Message message = new Message();
		message.first = line;
		for (line = line(in); (line != null) && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		if (line == null) {
			return message;
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
				int size = Integer.parseInt(need(line(in)).split(";")[0].trim(), 16);
				while (size > 0) {
					copy(in, body, size);
					need(line(in));
					size = Integer.parseInt(need(line(in)).split(";")[0].trim(), 16);
				}
				need(line(in));
			}
			else if (message.header("Content-Length") != null) {
				copy(in, body, Integer.parseInt(message.header("Content-Length")));
			}
			else if (answer) {
				in.transferTo(body);
			}
			message.complete = true;
		}
		catch (IOException ex) {
			message.complete = false;
		}
		message.body = body.toByteArray();
		return message;
	}

	private static String need(String line) throws EOFException {
		if (line == null) {
			throw new EOFException();
		}
		return line;
	}

	private static void copy(InputStream in, ByteArrayOutputStream to, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		to.writeBytes(bytes);
		if (bytes.length < size) {
			throw new EOFException();
		}
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int b = in.read(); b != '\n'; b = in.read()) {
			if (b < 0) {
				return null;
			}
			if (b != '\r') {
				line.write(b);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	static void answer(OutputStream out, int status, Map<String, String> headers, byte[] body) throws IOException {
		StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " x\r\n");
		headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
		head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
		ByteArrayOutputStream whole = new ByteArrayOutputStream();
		whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		whole.writeBytes(body);
		out.write(whole.toByteArray());
		out.flush();
	}

	/** Sends one request on a connection of its own; null if no answer began. */
	static Message call(String host, int port, String method, String target, Map<String, String> headers, byte[] body,
			int timeoutMillis) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(InetAddress.getByName(host), port), 1000);
			socket.setTcpNoDelay(true);
			socket.setSoTimeout(timeoutMillis);
			StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
			headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
			head.append("Content-Length: ").append(body.length).append("\r\nConnection: close\r\n\r\n");
			ByteArrayOutputStream whole = new ByteArrayOutputStream();
			whole.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			whole.writeBytes(body);
			socket.getOutputStream().write(whole.toByteArray());
			return read(new BufferedInputStream(socket.getInputStream()), true);
		}
		catch (IOException ex) {
			return null;
		}
	}

}
