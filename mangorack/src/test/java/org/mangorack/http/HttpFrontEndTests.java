package org.mangorack.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Refusal;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link HttpFrontEnd} refuses malformed and oversized requests.
 */
class HttpFrontEndTests {

	private static final int MAX_BODY_BYTES = 1024;

	private final Queue<String> served = new ConcurrentLinkedQueue<>();

	private HttpFrontEnd server;

	@BeforeEach
	void start() throws IOException {
		this.server = new HttpFrontEnd(new HttpAddress("127.0.0.1", 0), MAX_BODY_BYTES, (call) -> {
			this.served.add(call.path());
			return CallAnswer.text(200, new String(call.body(), StandardCharsets.UTF_8));
		});
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	@Test
	void aValidRequestIsServed() throws IOException {
		String answer = exchange("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n"
				+ "\r\n2\r\nhi\r\n0\r\n\r\n");
		assertThat(answer).startsWith("HTTP/1.1 200 ").endsWith("hi");
		assertThat(this.served).containsExactly("/a");
	}

	@Test
	void aRequestAfterTheStartOfRefusalsIsRefusedWithoutBeingServed() throws IOException {
		this.server.refuseRequests(Refusal.unavailable("stopping", "the server stops", Duration.ofSeconds(1)));
		this.server.announceClose();
		String answer = exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
		assertThat(answer).startsWith("HTTP/1.1 503 ")
			.contains("\"verdict\":\"not_run\"")
			.contains("Connection: close");
		assertThat(this.served).isEmpty();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "Content-Length: 1\\r\\nTransfer-Encoding: chunked\\r\\n | 400",
			"Transfer-Encoding: chunked\\r\\nContent-Length: 1\\r\\n | 400",
			"Content-Length: 1\\r\\nContent-Length: 2\\r\\n | 400", "Content-Length: +1\\r\\n | 400",
			"Content-Length: -1\\r\\n | 400", "Content-Length: 99999999999999999999\\r\\n | 400",
			"Transfer-Encoding: gzip, chunked\\r\\n | 400", "Transfer-Encoding: identity\\r\\n | 400",
			"Transfer-Encoding: chunked\\r\\nTransfer-Encoding: chunked\\r\\n | 400", "Bad Header: x\\r\\n | 400",
			"Host: another.example\\r\\n | 400", "Content-Length: 10001\\r\\n | 413" })
	void aRequestWhoseHeadIsUnclearIsRefused(String headers, int status) throws IOException {
		assertRefused("POST /a HTTP/1.1\r\nHost: h\r\n" + headers.replace("\\r\\n", "\r\n")
				+ "\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n", status);
	}

	// Guards against a refusal that is lost because the caller is still writing its body.
	@Test
	void aCallerThatWritesABodyThatIsTooLargeReceivesTheRefusal() throws Exception {
		byte[] part = new byte[64 * 1024];
		int parts = 32;
		try (Socket socket = new Socket("127.0.0.1", this.server.port())) {
			socket.setSoTimeout(20_000);
			socket.getOutputStream()
				.write(("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + (part.length * parts) + "\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			for (int i = 0; i < parts; i++) {
				socket.getOutputStream().write(part);
				TimeUnit.MILLISECONDS.sleep(5);
			}
			String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			assertThat(answer).startsWith("HTTP/1.1 413 ").contains("\"verdict\":\"not_run\"");
		}
		assertThat(this.served).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "\u0001\u0002\u0080\u00ff\u0000\r\n\r\n", "GET\r\n\r\n",
			"GET /a HTTP/9.9\r\nHost: h\r\n\r\n", "GET /a HTTP/1.0\r\nHost: h\r\n\r\n", "GET /a HTTP/1.1\r\n\r\n",
			"GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", "G\u0001T /a HTTP/1.1\r\nHost: h\r\n\r\n",
			"GET /a HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nX: \u0001\r\n\r\n" })
	void aMalformedHeadIsRefused(String request) throws IOException {
		assertRefused(request, 400);
	}

	@Test
	void aLongHeaderIsRefused() throws IOException {
		assertRefused("GET /a HTTP/1.1\r\nHost: h\r\nX: " + "x".repeat(200_000) + "\r\n\r\n", 431);
	}

	@Test
	void aLongRequestLineIsRefused() throws IOException {
		assertRefused("GET /" + "x".repeat(200_000) + " HTTP/1.1\r\nHost: h\r\n\r\n", 431);
	}

	@Test
	void manyHeadersAreRefused() throws IOException {
		assertRefused("GET /a HTTP/1.1\r\nHost: h\r\n" + ("X: " + "x".repeat(100) + "\r\n").repeat(2000) + "\r\n", 431);
	}

	// Guards against running a request whose caller closed the connection within the
	// head.
	@ParameterizedTest
	@MethodSource("partsOfHead")
	void aRequestThatEndsWithinItsHeadIsNotServed(String part) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.server.port())) {
			socket.setSoTimeout(10_000);
			socket.getOutputStream().write(part.getBytes(StandardCharsets.ISO_8859_1));
			socket.shutdownOutput();
			readToEnd(socket);
		}
		assertThat(this.served).isEmpty();
	}

	static Stream<String> partsOfHead() {
		String head = "DELETE /a HTTP/1.1\r\nHost: h\r\nX-Test: 1\r\n\r\n";
		return IntStream.range(1, head.length()).mapToObj((length) -> head.substring(0, length));
	}

	// ---- Helpers

	private void assertRefused(String request, int status) throws IOException {
		String answer = exchange(request);
		assertThat(answer).startsWith("HTTP/1.1 " + status + " ")
			.contains("Content-Type: application/problem+json")
			.contains("Connection: close")
			.contains("\"verdict\":\"not_run\"")
			.containsOnlyOnce("HTTP/1.1 " + status);
		assertThat(this.served).isEmpty();
	}

	// Returns everything received until the server closes the connection.
	private String exchange(String request) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.server.port())) {
			socket.setSoTimeout(10_000);
			try {
				socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			}
			catch (SocketException ex) {
				// The server responded and closed the connection before it read the whole
				// request.
			}
			return readToEnd(socket);
		}
	}

	private static String readToEnd(Socket socket) throws IOException {
		StringBuilder answer = new StringBuilder();
		try {
			for (int b = socket.getInputStream().read(); b >= 0; b = socket.getInputStream().read()) {
				answer.append((char) b);
			}
		}
		catch (SocketException ex) {
			// Request bytes that the server left unread reset the connection after
			// the response.
		}
		return answer.toString();
	}

}
