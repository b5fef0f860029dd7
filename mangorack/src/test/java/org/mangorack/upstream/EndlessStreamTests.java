package org.mangorack.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.call.UpstreamId;
import org.mangorack.config.Upstream;
import org.mangorack.config.UpstreamKind;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.http.ScriptedServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests that {@link EventReader} keeps a bounded number of bytes of a stream without end.
 */
class EndlessStreamTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int EXCESSIVE_BYTES = 64 * 1024 * 1024;

	// Guards against running out of memory because of one faulty model engine.
	@ParameterizedTest
	@MethodSource("endless")
	void anEndlessStreamIsCut(String name, String before, String unit) throws Exception {
		AtomicInteger written = new AtomicInteger();
		try (ScriptedServer server = new ScriptedServer(); PooledHttpClient http = new PooledHttpClient(TIMEOUT)) {
			server.setScript(
					ScriptedServer.Script.endless("HTTP/1.1 200 OK\r\n\r\n" + before, unit, EXCESSIVE_BYTES, written));
			Upstream upstream = new Upstream(new UpstreamId("e1"), UpstreamKind.MODEL, Set.of("m"), server.address(),
					"dc", 4, false, false);
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> read(new UpstreamClient(http), upstream));
			assertThat(written.get()).isLessThan(EXCESSIVE_BYTES);
		}
	}

	static Stream<Arguments> endless() {
		return Stream.of(Arguments.of("a line", "", "x"), Arguments.of("an event", "data: ", "x"),
				Arguments.of("comments", "", ": x\n\n"),
				Arguments.of("bytes after the last event", "data: [DONE]\n\n", "x"),
				Arguments.of("lines after the last event", "data: [DONE]\n\n", "x\r\n"),
				Arguments.of("events", "", "data: {\"x\":\"" + "y".repeat(1000) + "\"}\n\n"));
	}

	private static void read(UpstreamClient client, Upstream upstream) throws IOException {
		try (EventReader events = new EventReader(client, upstream,
				client.send(upstream, "GET", "/", Map.of(), null, TIMEOUT, true), TIMEOUT)) {
			while (events.next().isPresent()) {
				continue;
			}
		}
	}

}
