package org.mangorack.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.UpstreamId;
import org.mangorack.config.Upstream;
import org.mangorack.config.UpstreamKind;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.http.ScriptedServer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link EventReader}.
 */
class EventReaderTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	// Guards against passing on the data of another caller within the description of an
	// error.
	@ParameterizedTest
	@ValueSource(strings = { "secret", "{\"secret\":1,\"secret\":2}", "{\"x\":1} secret", "{\"x\":\"secret" })
	void anErrorDoesNotQuoteAnUnreadableEvent(String event) throws Exception {
		String response = "HTTP/1.1 200 OK\r\nContent-Length: " + (event.length() + 8) + "\r\n\r\ndata: " + event
				+ "\n\n";
		try (ScriptedServer server = new ScriptedServer(); PooledHttpClient http = new PooledHttpClient(TIMEOUT)) {
			server.setScript((path, out) -> out.write(response.getBytes(StandardCharsets.ISO_8859_1)));
			Upstream upstream = new Upstream(new UpstreamId("e1"), UpstreamKind.MODEL, Set.of("m"), server.address(),
					"dc", 4, false, false);
			UpstreamClient client = new UpstreamClient(http);
			try (EventReader events = new EventReader(client, upstream,
					client.send(upstream, "GET", "/", Map.of(), null, TIMEOUT, true), TIMEOUT)) {
				assertThatExceptionOfType(IOException.class).isThrownBy(events::next)
					.satisfies((ex) -> assertThat(ex.getMessage()).contains("e1").doesNotContain("secret"));
			}
		}
	}

}
