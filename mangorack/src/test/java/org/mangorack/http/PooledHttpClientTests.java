package org.mangorack.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Verdict;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PooledHttpClientTests {

	private static final Duration LIMIT = Duration.ofSeconds(5);

	private final PooledHttpClient client = new PooledHttpClient(LIMIT);

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
			.isThrownBy(() -> this.client.send(new HttpAddress("127.0.0.1", unused), "GET", "/", Map.of(), null, LIMIT,
					ConnectionUse.FRESH))
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

	@Test
	void bodyOverTheLimitIsRefused() throws IOException {
		try (HttpReply reply = this.client.send(this.address, "POST", "/", Map.of(), new byte[2048], LIMIT,
				ConnectionUse.FRESH)) {
			assertThat(reply.status()).isEqualTo(413);
			assertThat(new String(reply.readAll(4096), StandardCharsets.UTF_8)).contains("\"verdict\":\"not_run\"");
		}
	}

	private HttpReply get(String path) throws HttpCallException {
		return this.client.send(this.address, "GET", path, Map.of(), null, LIMIT, ConnectionUse.POOLED);
	}

}
