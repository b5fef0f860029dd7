package org.mangorack.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.Verdict;
import org.mangorack.observe.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests that {@link PooledHttpClient} takes no bytes of a server for a part of the
 * response to another request.
 */
class StrayBytesTests {

	private static final Duration TIMEOUT = Duration.ofMillis(400);

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

	private ScriptedServer server;

	@BeforeEach
	void start() throws IOException {
		this.server = new ScriptedServer();
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
	}

	@ParameterizedTest
	@CsvSource({ "WITH_ITS_RESPONSE, 500, 200", "WITH_ITS_RESPONSE, 200, 500", "WHILE_IDLE, 500, 200",
			"WHILE_IDLE, 200, 500", "WITH_THE_NEXT_RESPONSE, 500, 200", "WITH_THE_NEXT_RESPONSE, 200, 500" })
	void aTornCopyIsNeverJoinedWithTheNextResponse(Arrival arrival, int statusOfTheCopy, int statusOfTheNext)
			throws Exception {
		String first = response(statusOfTheCopy, "first");
		// A copy that holds a whole head needs an id of the request to be told apart.
		int cuts = (arrival == Arrival.WITH_THE_NEXT_RESPONSE) ? (first.indexOf("\r\n\r\n") + 4) : first.length();
		List<String> mixed = new ArrayList<>();
		for (int cut = 1; cut < cuts; cut++) {
			String torn = first.substring(0, cut);
			this.server
				.setScript((path, out) -> arrival.write(out, path, first, torn, response(statusOfTheNext, "next")));
			try (PooledHttpClient client = new PooledHttpClient(CONNECT_TIMEOUT)) {
				call(client, "/first");
				this.server.awaitWritten();
				String got = call(client, "/next");
				if (!got.equals(statusOfTheNext + " next next") && !isError(got)) {
					mixed.add("cut at " + cut + ": " + got);
				}
			}
		}
		assertThat(mixed).isEmpty();
	}

	// The rest of a response that was sent twice may arrive after the next request.
	@Test
	void afterStrayBytesEachConnectionCarriesOneRequestForSomeTime() throws Exception {
		ManualClock clock = new ManualClock();
		this.server.setScript((path, out) -> write(out, response(200, "next")));
		try (PooledHttpClient client = new PooledHttpClient(CONNECT_TIMEOUT, clock)) {
			call(client, "/next");
			call(client, "/next");
			assertThat(this.server.connections()).isEqualTo(1);
			this.server.setScript((path, out) -> write(out, response(200, "next") + "H"));
			call(client, "/next");
			this.server.setScript((path, out) -> write(out, response(200, "next")));
			call(client, "/next");
			call(client, "/next");
			assertThat(this.server.connections()).isEqualTo(3);
			clock.advance(ResponseRules.SINGLE_USE_PERIOD);
			call(client, "/next");
			call(client, "/next");
			assertThat(this.server.connections()).isEqualTo(4);
		}
	}

	// Guards against passing on the data of another caller within the description of an
	// error.
	@ParameterizedTest
	@ValueSource(strings = { "secret junk\r\n\r\n", "HTTP/1.1 secret OK\r\n\r\n", "HTTP/1.1 200 OK\r\nsecret\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: secret\r\n\r\n", "HTTP/1.1 200 secretHTTP/1.1 200 OK\r\n\r\n",
			"HTTP/1.1 200 OK\r\nX: secretHTTP/1.1 200 OK\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: secret\r\n\r\n", "HTTP/secret 200 OK\r\n\r\n",
			"HTTP/1.1 000 secret\r\n\r\n", "HTTP/1.1 999999999999 secret\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nsecret\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nsecret\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxsecret\r\n0\r\n\r\n" })
	void anErrorDoesNotQuoteMalformedBytes(String bytes) throws Exception {
		this.server.setScript((path, out) -> write(out, bytes));
		try (PooledHttpClient client = new PooledHttpClient(CONNECT_TIMEOUT)) {
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> get(client, "/", ConnectionUse.FRESH))
				.satisfies((ex) -> assertThat(ex.getMessage()).doesNotContain("secret"));
		}
	}

	// Guards against an invalid status that is taken for a success or passed on.
	@ParameterizedTest
	@ValueSource(strings = { "000 X", "000", "099 X", "1 X", "20 X", "+20 X", "2 00", "2000 OK", "0200 OK", "600 X",
			"999 X", "-12 X", "200OK" })
	void aResponseWithAnInvalidStatusIsNoResponse(String status) throws Exception {
		this.server.setScript((path, out) -> write(out, response(200, "next").replace("200 Reason", status)));
		try (PooledHttpClient client = new PooledHttpClient(CONNECT_TIMEOUT)) {
			assertThatExceptionOfType(HttpCallException.class).isThrownBy(() -> get(client, "/", ConnectionUse.FRESH))
				.withMessageContaining("bytes that are no response")
				.satisfies((ex) -> assertThat(ex.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN));
		}
	}

	private static boolean isError(String got) {
		return got.startsWith("error ") && !got.contains("Owner") && !got.contains("HTTP/1.1");
	}

	private String call(PooledHttpClient client, String path) {
		try {
			return get(client, path, ConnectionUse.POOLED);
		}
		catch (IOException ex) {
			return "error " + ex.getMessage();
		}
	}

	private String get(PooledHttpClient client, String path, ConnectionUse use) throws IOException {
		try (HttpReply reply = client.send(this.server.address(), "GET", path, Map.of(), null, TIMEOUT, use)) {
			return reply.status() + " " + reply.header("Owner", "none") + " "
					+ new String(reply.readAll(1024), StandardCharsets.ISO_8859_1);
		}
	}

	private static String response(int status, String owner) {
		return "HTTP/1.1 " + status + " Reason\r\nKeep-Alive: timeout=5\r\nOwner: " + owner + "\r\nContent-Length: "
				+ owner.length() + "\r\n\r\n" + owner;
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	/**
	 * When the torn copy of a response arrives.
	 */
	enum Arrival {

		/** In one piece with the response. */
		WITH_ITS_RESPONSE,

		/** On the idle connection. */
		WHILE_IDLE,

		/** In one piece with the response to the next request. */
		WITH_THE_NEXT_RESPONSE;

		private void write(OutputStream out, String path, String first, String torn, String next) throws IOException {
			if (path.equals("/next")) {
				StrayBytesTests.write(out, (this == WITH_THE_NEXT_RESPONSE) ? (torn + next) : next);
				return;
			}
			StrayBytesTests.write(out, (this == WITH_ITS_RESPONSE) ? (first + torn) : first);
			if (this == WHILE_IDLE) {
				StrayBytesTests.write(out, torn);
			}
		}

	}

}
