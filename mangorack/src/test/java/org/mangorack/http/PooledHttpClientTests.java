package org.mangorack.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Verdict;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PooledHttpClientTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	// Well above the client's limit for treating a pooled connection as stale.
	private static final Duration CLOSE_DELAY = Duration.ofMillis(600);

	private static final String EMPTY_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

	private final PooledHttpClient client = new PooledHttpClient(TIMEOUT);

	private HttpFrontEnd server;

	private HttpAddress address;

	@BeforeEach
	void start() throws IOException {
		this.server = new HttpFrontEnd(new HttpAddress("127.0.0.1", 0), 1024,
				(call) -> CallAnswer.text(200, call.path()));
		this.server.start();
		this.address = new HttpAddress("127.0.0.1", this.server.port());
	}

	@AfterEach
	void stop() {
		this.client.close();
		this.server.close();
	}

	@Test
	void connectionIsPooledOnceWhenReplyIsClosedTwice() throws IOException {
		HttpReply reply = get("/first");
		reply.readAll(1024);
		reply.close();
		reply.close();
		try (HttpReply second = get("/second"); HttpReply third = get("/third")) {
			assertThat(new String(third.readAll(1024), StandardCharsets.UTF_8)).isEqualTo("/third");
			assertThat(new String(second.readAll(1024), StandardCharsets.UTF_8)).isEqualTo("/second");
		}
	}

	@Test
	void refusedConnectionHasVerdictNotRun() throws IOException {
		int unused;
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			unused = socket.getLocalPort();
		}
		assertThatExceptionOfType(HttpCallException.class)
			.isThrownBy(() -> this.client.send(new HttpAddress("127.0.0.1", unused), "GET", "/", Map.of(), null,
					TIMEOUT, ConnectionUse.FRESH))
			.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.NOT_RUN));
	}

	@Test
	void silentServerHasVerdictMayHaveRun() throws IOException {
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			HttpAddress target = new HttpAddress("127.0.0.1", silent.getLocalPort());
			assertThatExceptionOfType(HttpCallException.class)
				.isThrownBy(() -> this.client.send(target, "POST", "/", Map.of(), new byte[] { 1 },
						Duration.ofMillis(100), ConnectionUse.FRESH))
				.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
		}
	}

	// Guards against a response whose head breaks off and that is passed on as a complete
	// one, with an empty or shortened body.
	@ParameterizedTest
	@MethodSource("partsOfHead")
	void aResponseThatEndsWithinItsHeadIsNotReturned(String part) throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
			Thread server = new Thread(() -> answerOnce(listener, part), "cutting-server");
			server.setDaemon(true);
			server.start();
			HttpAddress target = new HttpAddress("127.0.0.1", listener.getLocalPort());
			assertThatExceptionOfType(HttpCallException.class).isThrownBy(() -> get(target, ConnectionUse.FRESH))
				.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
			server.join();
		}
	}

	static Stream<String> partsOfHead() {
		String head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 10\r\n\r\n";
		return IntStream.range(0, head.length()).mapToObj((length) -> head.substring(0, length));
	}

	// Guards against a response without a length that is cut in the last byte of its
	// head.
	@Test
	void aResponseWithoutALengthThatEndsWithinItsHeadIsNotReturned() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
			Thread server = new Thread(() -> answerOnce(listener, "HTTP/1.1 200 OK\r\nX-Test: 1\r\n\r"), "server");
			server.setDaemon(true);
			server.start();
			HttpAddress target = new HttpAddress("127.0.0.1", listener.getLocalPort());
			assertThatExceptionOfType(HttpCallException.class).isThrownBy(() -> get(target, ConnectionUse.FRESH));
			server.join();
		}
	}

	@Test
	void aResponseWithoutALengthEndsWithItsConnection() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
			Thread server = new Thread(() -> answerOnce(listener, "HTTP/1.1 200 OK\r\n\r\nwhole"), "server");
			server.setDaemon(true);
			server.start();
			HttpAddress target = new HttpAddress("127.0.0.1", listener.getLocalPort());
			try (HttpReply reply = this.client.send(target, "GET", "/", Map.of(), null, TIMEOUT, ConnectionUse.FRESH)) {
				assertThat(new String(reply.readAll(1024), StandardCharsets.UTF_8)).isEqualTo("whole");
			}
			server.join();
		}
	}

	// Guards against cutting a caller off: a request in progress must end with a verdict
	// when the client is closed.
	@Test
	void closingTheClientEndsRequestsInProgressAndPreventsOthers() throws Exception {
		try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			HttpAddress target = new HttpAddress("127.0.0.1", silent.getLocalPort());
			Thread closing = new Thread(() -> {
				try (Socket socket = silent.accept()) {
					readHead(socket);
					this.client.close();
					socket.getInputStream().read();
				}
				catch (IOException ex) {
					throw new UncheckedIOException(ex);
				}
			}, "closing");
			closing.start();
			assertThatExceptionOfType(HttpCallException.class).isThrownBy(() -> get(target, ConnectionUse.POOLED))
				.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
			closing.join();
			assertThatExceptionOfType(HttpCallException.class).isThrownBy(() -> get(target, ConnectionUse.POOLED))
				.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.NOT_RUN));
		}
	}

	@Test
	void bodyOverTheLimitIsRefused() throws IOException {
		try (HttpReply reply = this.client.send(this.address, "POST", "/", Map.of(), new byte[2048], TIMEOUT,
				ConnectionUse.FRESH)) {
			assertThat(reply.status()).isEqualTo(413);
			assertThat(new String(reply.readAll(4096), StandardCharsets.UTF_8)).contains("\"verdict\":\"not_run\"");
		}
	}

	@Test
	void aLongPollThatBreaksOffIsNotRetried() throws IOException, InterruptedException {
		try (ServerSocket listener = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
			Thread server = new Thread(() -> answerOnceThenClose(listener, CLOSE_DELAY), "cutting-server");
			server.setDaemon(true);
			server.start();
			HttpAddress target = new HttpAddress("127.0.0.1", listener.getLocalPort());
			get(target, ConnectionUse.POOLED_LONG_POLL);
			assertThatExceptionOfType(HttpCallException.class)
				.isThrownBy(() -> get(target, ConnectionUse.POOLED_LONG_POLL))
				.withMessageContaining("cut by")
				.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
			server.join();
		}
	}

	@Test
	void aLongPollOnAConnectionClosedWhileIdleIsRetried() throws IOException, InterruptedException {
		try (ServerSocket listener = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
			Thread server = new Thread(() -> {
				answerOnce(listener);
				answerOnce(listener);
			}, "closing-server");
			server.setDaemon(true);
			server.start();
			HttpAddress target = new HttpAddress("127.0.0.1", listener.getLocalPort());
			get(target, ConnectionUse.POOLED_LONG_POLL);
			get(target, ConnectionUse.POOLED_LONG_POLL);
			server.join();
		}
	}

	// Guards against one request after another that waits in vain, as all connections
	// that
	// were open have gone silent.
	@Test
	void onlyTheFirstRequestWaitsForConnectionsThatHaveGoneSilent() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 4, InetAddress.getLoopbackAddress())) {
			HttpAddress target = new HttpAddress("127.0.0.1", listener.getLocalPort());
			List<Socket> silent = openIdleConnections(listener, target, 3);
			assertThatExceptionOfType(HttpCallException.class)
				.isThrownBy(() -> this.client.send(target, "GET", "/", Map.of(), null, Duration.ofMillis(200),
						ConnectionUse.POOLED))
				.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
			Thread server = new Thread(() -> answerOnce(listener), "server");
			server.setDaemon(true);
			server.start();
			get(target, ConnectionUse.POOLED);
			server.join();
			for (Socket s : silent) {
				s.close();
			}
		}
	}

	// The connections are released only when all of them are open.
	private List<Socket> openIdleConnections(ServerSocket listener, HttpAddress target, int count) throws Exception {
		List<Socket> accepted = new ArrayList<>();
		List<HttpReply> replies = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			CompletableFuture<HttpReply> reply = CompletableFuture.supplyAsync(() -> {
				try {
					return this.client.send(target, "GET", "/", Map.of(), null, TIMEOUT, ConnectionUse.POOLED);
				}
				catch (HttpCallException ex) {
					throw new UncheckedIOException(ex);
				}
			});
			accepted.add(listener.accept());
			answer(accepted.get(i));
			replies.add(reply.get());
		}
		for (HttpReply r : replies) {
			r.readAll(1024);
			r.close();
		}
		return accepted;
	}

	// Accepts one connection, responds to the first request, reads the second one and
	// closes the connection after a delay without responding.
	private static void answerOnceThenClose(ServerSocket listener, Duration after) {
		try (Socket socket = listener.accept()) {
			answer(socket);
			readHead(socket);
			TimeUnit.MILLISECONDS.sleep(after.toMillis());
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void answerOnce(ServerSocket listener) {
		answerOnce(listener, EMPTY_RESPONSE);
	}

	private static void answerOnce(ServerSocket listener, String response) {
		try (Socket socket = listener.accept()) {
			readHead(socket);
			socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void answer(Socket socket) throws IOException {
		readHead(socket);
		socket.getOutputStream().write(EMPTY_RESPONSE.getBytes(StandardCharsets.US_ASCII));
	}

	private static void readHead(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			head.append((char) socket.getInputStream().read());
		}
	}

	private void get(HttpAddress target, ConnectionUse use) throws IOException {
		try (HttpReply reply = this.client.send(target, "GET", "/", Map.of(), null, TIMEOUT, use)) {
			reply.readAll(1024);
		}
	}

	private HttpReply get(String path) throws HttpCallException {
		return this.client.send(this.address, "GET", path, Map.of(), null, TIMEOUT, ConnectionUse.POOLED);
	}

}
