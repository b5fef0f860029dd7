package org.mangorack.relay;

import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.Prompt;
import org.mangorack.http.HttpAddress;
import org.mangorack.observe.Metrics;
import org.mangorack.relay.FleetProtocol.ResponseHead;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamConnection} with responses to other requests that arrive after
 * a request was written.
 */
class StrayResponseTests {

	private static final String ID = "X-Id";

	private final FleetProtocol protocol = (FleetProtocol) Proxy.newProxyInstance(getClass().getClassLoader(),
			new Class<?>[] { FleetProtocol.class }, (proxy, method, arguments) -> head((HttpResponse) arguments[0]));

	private final Upstream upstream = new Upstream(
			new UpstreamRegistration("u-1", "pool", HttpAddress.parse("127.0.0.1:1"), "dc", 1, false, 1), 0);

	private EmbeddedChannel channel;

	@AfterEach
	void close() {
		if (this.channel != null) {
			this.channel.finishAndReleaseAll();
		}
	}

	// Guards against a request that waits for its deadline because nothing more can be
	// decoded on its connection.
	@Test
	void anUnreadableBodyOfAnotherResponseFailsTheRequestAtOnce() {
		Outcome outcome = new Outcome();
		open().send(request("GET", "r2"), new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, outcome);
		receive("HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n5"
				+ "HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 6\r\n\r\nfor r2");
		assertThat(outcome.text()).startsWith("incomplete");
		assertThat(this.channel.isOpen()).isFalse();
	}

	// Guards against a request that waits for its deadline because its connection is
	// taken for one of another protocol.
	@Test
	void aSwitchOfProtocolsFailsTheRequestAtOnce() {
		Outcome outcome = new Outcome();
		open().send(request("GET", "r2"), new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, outcome);
		receive("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n"
				+ "HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 6\r\n\r\nfor r2");
		assertThat(outcome.text()).startsWith("incomplete");
		assertThat(this.channel.isOpen()).isFalse();
	}

	// Guards against an invalid status that reaches a caller, and against a request that
	// waits for its deadline because the status is taken for that of an interim response.
	@ParameterizedTest
	@ValueSource(strings = { "000 X", "000", "099 X", "1 X", "20 X", "+20 X", "2 00", "2000 OK", "0200 OK", "600 X",
			"700 X", "999 X", "-12 X", "200OK" })
	void anInvalidStatusFailsTheRequestAtOnce(String status) {
		Outcome outcome = new Outcome();
		open().send(request("GET", "r2"), new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, outcome);
		receive("HTTP/1.1 " + status + "\r\nX-Id: r2\r\nContent-Length: 6\r\n\r\nfor r2");
		assertThat(outcome.text()).startsWith("incomplete");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@ParameterizedTest
	@MethodSource("strays")
	void aTornResponseIsNeverJoinedWithTheNextOne(String stray, String next, String method) {
		String body = method.equals("HEAD") ? "" : "for r2";
		List<String> mixed = new ArrayList<>();
		for (int cut = 0; cut <= stray.length(); cut++) {
			for (int piece : List.of(1, 7, 4096)) {
				Outcome outcome = new Outcome();
				open().send(request(method, "r2"), new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER, outcome);
				String bytes = stray.substring(0, cut) + next;
				for (int i = 0; i < bytes.length(); i += piece) {
					receive(bytes.substring(i, Math.min(bytes.length(), i + piece)));
				}
				close();
				String got = outcome.text();
				if (!got.equals("200:" + body + ":end") && !got.startsWith("incomplete")
						&& !(got.startsWith("200:") && got.contains(":incomplete"))) {
					mixed.add("cut at " + cut + " in pieces of " + piece + ": " + got);
				}
			}
		}
		assertThat(mixed).isEmpty();
	}

	static Stream<Arguments> strays() {
		String head = "HTTP/1.1 500 Failed\r\nKeep-Alive: timeout=5\r\nX-Id: r1\r\n";
		String ownHead = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nX-Id: r2\r\n";
		List<String> strays = List.of(head + "Content-Length: 6\r\n\r\nfor r1",
				head + "Transfer-Encoding: chunked\r\n\r\n6\r\nfor r1\r\n0\r\n\r\n",
				head + "Transfer-Encoding: chunked\r\n\r\n6\r\nfor r1\r\n0\r\nX-Sum: 1\r\n\r\n", head + "\r\nfor r1",
				"HTTP/1.1 204 None\r\nX-Id: r1\r\n\r\n", "HTTP/1.1 304 Same\r\nX-Id: r1\r\nContent-Length: 6\r\n\r\n",
				"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
				"HTTP/1.0 500 Failed\r\nX-Id: r1\r\n\r\nfor r1", "bytes that are no response\r\n\r\n");
		List<String> responses = List.of(ownHead + "Content-Length: 6\r\n\r\nfor r2",
				ownHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nfor r2\r\n0\r\n\r\n", ownHead + "\r\nfor r2",
				ownHead.replace("200 OK", "200 OK: fine") + "Content-Length: 6\r\n\r\nfor r2");
		Stream<Arguments> withBody = strays.stream()
			.flatMap((stray) -> responses.stream().map((next) -> Arguments.of(stray, next, "GET")));
		Stream<Arguments> withoutBody = strays.stream()
			.map((stray) -> Arguments.of(stray, ownHead + "Content-Length: 6\r\n\r\n", "HEAD"));
		return Stream.concat(withBody, withoutBody);
	}

	// ---- Helpers

	private UpstreamConnection open() {
		UpstreamClient client = new UpstreamClient(null, this.protocol, () -> 0, new Metrics());
		UpstreamConnection connection = new UpstreamConnection(client, this.upstream, this.protocol);
		this.channel = new EmbeddedChannel(new UpstreamDecoder(connection::onBytesReceived), new HttpRequestEncoder(),
				connection);
		return connection;
	}

	private void receive(String text) {
		if (this.channel.isOpen()) {
			this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
		}
	}

	private static CallHead request(String method, String id) {
		return new CallHead(method, "/read/1", "check.example", id, null, null, null, null, 0, null, null, null, null,
				null, Prompt.UNKNOWN, new DefaultHttpHeaders());
	}

	private static ResponseHead head(HttpResponse response) {
		return new ResponseHead(response.status().code(), response.headers().get(ID), false, true, false,
				response.headers());
	}

	/**
	 * Records a response as text.
	 */
	private static final class Outcome implements ResponseListener {

		private final StringBuilder received = new StringBuilder();

		private String text() {
			return this.received.toString();
		}

		@Override
		public void head(ResponseHead head) {
			this.received.append(head.status()).append(':');
		}

		@Override
		public void data(ByteBuf bytes) {
			this.received.append(bytes.toString(StandardCharsets.ISO_8859_1));
		}

		@Override
		public void end() {
			this.received.append(":end");
		}

		@Override
		public void incomplete(String cause) {
			this.received.append((this.received.length() == 0) ? "" : ":").append("incomplete: ").append(cause);
		}

	}

}
