package org.mangorack.service;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.call.SendGuard;
import org.mangorack.call.Verdict;
import org.mangorack.config.Configuration;
import org.mangorack.dispatch.Dispatcher;
import org.mangorack.dispatch.RetryBudget;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.upstream.UpstreamClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link ServiceCaller} says of no call that may have run that it did not run.
 */
class ServiceCallerTests {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private final PooledHttpClient http = new PooledHttpClient(CONNECT_TIMEOUT);

	private final AtomicInteger received = new AtomicInteger();

	private volatile String response = "";

	private ServerSocket breaking;

	private Configuration configuration;

	private ServiceCaller caller;

	// The upstream that is asked first breaks off after it has read a request, unless a
	// response is set; the other one cannot be reached.
	@BeforeEach
	void start() throws IOException {
		this.breaking = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		int unreachable;
		try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			unreachable = closed.getLocalPort();
		}
		Thread server = new Thread(this::serve, "breaking-upstream");
		server.setDaemon(true);
		server.start();
		this.configuration = Configuration.read(1, Jsons.MAPPER.readTree("""
				{"upstreams":{
				"near":{"kind":"service","pool":"desk","address":"127.0.0.1:%d","dataCentre":"dc1"},
				"far":{"kind":"service","pool":"desk","address":"127.0.0.1:%d","dataCentre":"dc2"}},
				"routes":{"read":{"pool":"desk","path":"/read","idempotent":true},
				"write":{"pool":"desk","path":"/write"}}}
				""".formatted(this.breaking.getLocalPort(), unreachable)), Map.of()).get();
		this.caller = new ServiceCaller(new Dispatcher(() -> this.configuration, "dc1", MonotonicClock.SYSTEM),
				new RetryBudget(), new UpstreamClient(this.http), () -> false);
	}

	@AfterEach
	void stop() throws IOException {
		this.http.close();
		this.breaking.close();
	}

	// Guards against "not run" for a call whose first attempt may have run.
	@Test
	void aLaterAttemptThatDidNotRunDoesNotHideThatAnEarlierOneMayHaveRun() {
		assertThat(call(Optional::empty).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.received).hasValue(1);
	}

	@Test
	void aRefusalBeforeALaterAttemptDoesNotHideThatAnEarlierOneMayHaveRun() {
		Refusal withdrawn = Refusal.notRun(401, "key_withdrawn", "the key was withdrawn");
		Refusal refusal = call(() -> (this.received.get() > 0) ? Optional.of(withdrawn) : Optional.empty());
		assertThat(refusal.status()).isEqualTo(401);
		assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	// Guards against telling a caller that a call has not run, because the service
	// responds to a call that it has run with such a status.
	@ParameterizedTest
	@ValueSource(ints = { 408, 429, 503 })
	void aStatusAloneDoesNotStateThatACallDidNotRun(int status) {
		this.response = response(status);
		Refusal refusal = this.caller.call(call("POST", "/write"), Optional::empty).getLeft();
		assertThat(refusal.status()).isEqualTo(502);
		assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.received).hasValue(1);
	}

	@ParameterizedTest
	@CsvSource({ "POST, /write, 402", "POST, /write, 409", "POST, /write, 500", "GET, /read, 429", "GET, /read, 503" })
	void otherFailuresOfAServiceArePassedOn(String method, String path, int status) {
		this.response = response(status);
		assertThat(this.caller.call(call(method, path), Optional::empty).get().status()).isEqualTo(status);
	}

	private Refusal call(SendGuard guard) {
		return this.caller.call(call("GET", "/read"), guard).getLeft();
	}

	private ServiceCall call(String method, String path) {
		return new ServiceCall(this.configuration.route("desk", method, path).orElseThrow(), method, path, Map.of(),
				new byte[0]);
	}

	private static String response(int status) {
		return "HTTP/1.1 " + status + " Failed\r\nContent-Length: 0\r\n\r\n";
	}

	private void serve() {
		while (!this.breaking.isClosed()) {
			try (Socket socket = this.breaking.accept()) {
				StringBuilder head = new StringBuilder();
				byte[] bytes = new byte[1024];
				while (head.indexOf("\r\n\r\n") < 0) {
					int n = socket.getInputStream().read(bytes);
					if (n < 0) {
						break;
					}
					head.append(new String(bytes, 0, n, StandardCharsets.ISO_8859_1));
				}
				this.received.incrementAndGet();
				socket.getOutputStream().write(this.response.getBytes(StandardCharsets.ISO_8859_1));
			}
			catch (IOException ex) {
				// The test has ended.
			}
		}
	}

}
