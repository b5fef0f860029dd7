package org.mangorack.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.call.Verdict;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Tests that {@link PooledHttpClient} keeps a bounded number of bytes of a response
 * without end.
 */
class EndlessResponseTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int EXCESSIVE_BYTES = 64 * 1024 * 1024;

	private static final int MAX_BODY_BYTES = 1024 * 1024;

	// Guards against running out of memory because of one faulty server.
	@ParameterizedTest
	@MethodSource("endless")
	void anEndlessResponseIsCut(String name, String before, String unit) throws Exception {
		AtomicInteger written = new AtomicInteger();
		try (ScriptedServer server = new ScriptedServer(); PooledHttpClient client = new PooledHttpClient(TIMEOUT)) {
			server.setScript(ScriptedServer.Script.endless(before, unit, EXCESSIVE_BYTES, written));
			IOException failure = catchThrowableOfType(IOException.class, () -> get(client, server.address()));
			assertThat(written.get()).isLessThan(EXCESSIVE_BYTES);
			if (failure instanceof HttpCallException ex) {
				assertThat(ex.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			}
			assertThat(failure).isNotNull();
		}
	}

	static Stream<Arguments> endless() {
		String head = "HTTP/1.1 200 OK\r\n";
		String chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
		return Stream.of(Arguments.of("no head at all", "", "x"), Arguments.of("empty lines", "", "\r\n"),
				Arguments.of("a reason phrase", "HTTP/1.1 200 ", "x"),
				Arguments.of("a line of a head", head + "X-Long: ", "x"),
				Arguments.of("lines of a head", head, "X-More: x\r\n"),
				Arguments.of("a folded line of a head", head + "X-More: x\r\n", " x\r\n"),
				Arguments.of("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
				Arguments.of("a chunked body", chunked, "10\r\n0123456789abcdef\r\n"),
				Arguments.of("a body that ends with its connection", head + "\r\n", "x"),
				Arguments.of("the length of a chunk", chunked, "0"),
				Arguments.of("the extension of a chunk", chunked + "1;", "x"),
				Arguments.of("a line after a body", chunked + "0\r\nX-Long: ", "x"),
				Arguments.of("lines after a body", chunked + "0\r\n", "X-More: x\r\n"));
	}

	private static void get(PooledHttpClient client, HttpAddress address) throws IOException {
		try (HttpReply reply = client.send(address, "GET", "/", Map.of(), null, TIMEOUT, ConnectionUse.FRESH)) {
			reply.readAll(MAX_BODY_BYTES);
		}
	}

}
