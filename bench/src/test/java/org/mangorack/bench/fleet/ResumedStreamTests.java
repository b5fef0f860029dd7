package org.mangorack.bench.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.bench.fleet.ScriptedUpstream.Received;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for interrupted streams on a route whose streams are resumable.
 */
class ResumedStreamTests {

	private static final String LAST_EVENT = "Last-Event-Id";

	private static final String ALL_EVENTS = event(1) + event(2) + event(3);

	private static final String END = "0\r\n\r\n";

	private static final int BUDGET = 50;

	private static final int RESERVED_TOKENS = 30;

	private static final int TOKENS_PER_EVENT = 10;

	@TempDir
	Path folder;

	private TestFleetNodes fleet;

	private ScriptedUpstream upstream;

	// The upstream's response to each attempt. The connection is closed after a response
	// without an end.
	private volatile List<String> scriptedResponses = List.of();

	private volatile String extraHeaders = "";

	@BeforeEach
	void start() throws Exception {
		this.upstream = new ScriptedUpstream((request, out, socket) -> {
			int attempt = attempts(request.header("Request-Id")).size();
			if (attempt > this.scriptedResponses.size()) {
				out.write(ScriptedUpstream.stream(request, "one"));
				return true;
			}
			String part = this.scriptedResponses.get(attempt - 1);
			boolean plain = part.startsWith("HTTP/1.1");
			out.write(ScriptedUpstream.bytes(plain ? part.replace("ID", request.header("Request-Id"))
					: (ScriptedUpstream.streamHead(request)
						.replace("Signature: s", "Signature: s" + attempt)
						.replace("Content-Type", this.extraHeaders + "Content-Type") + part)));
			out.flush();
			return plain || part.endsWith(END);
		});
		this.fleet = new TestFleetNodes();
		this.fleet.startServing(this.folder, this.upstream);
	}

	@AfterEach
	void stop() throws IOException {
		this.fleet.close();
		this.upstream.close();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "id: 2\nda", "id: 2\ndata: two\n", "id", "id: 2\n" })
	void aStreamThatBreaksGoesOnAfterTheLastWholeEvent(String partialEvent) throws Exception {
		this.scriptedResponses = List.of(chunk(event(1) + partialEvent), chunk(event(2)) + chunk(event(3)) + END);
		String response = call("r1", "");
		assertThat(response).containsOnlyOnce("HTTP/1.1 200").contains("Signature: s1").doesNotContain("Signature: s2");
		assertThat(events(response)).isEqualTo(ALL_EVENTS);
		assertThat(TestFleetNodes.isComplete(response)).isTrue();
		assertThat(attempts("r1")).extracting((r) -> r.header(LAST_EVENT)).containsExactly(null, "1");
	}

	@Test
	void aStreamThatEndsWithinAnEventGoesOn() throws Exception {
		this.scriptedResponses = List.of(chunk(event(1) + "id: 2\ndata: t") + END, chunk(event(2) + event(3)) + END);
		assertThat(events(call("r1", ""))).isEqualTo(ALL_EVENTS);
	}

	@Test
	void aStreamThatBreaksBeforeItsFirstEventBeginsAnew() throws Exception {
		this.scriptedResponses = List.of("", chunk("id: 1\nd"), chunk(ALL_EVENTS) + END);
		assertThat(events(call("r1", ""))).isEqualTo(ALL_EVENTS);
		assertThat(attempts("r1")).extracting((r) -> r.header(LAST_EVENT)).containsOnlyNulls().hasSize(3);
	}

	// Guards against the head and signature of one run before the body of another.
	@ParameterizedTest
	@ValueSource(strings = { "i", "id: 1\nd", "id: 1\ndata: e1\n" })
	void aStreamThatBeginsAnewHasTheHeadOfTheRunThatItCameFrom(String partialEvent) throws Exception {
		this.scriptedResponses = List.of(chunk(partialEvent), chunk(ALL_EVENTS) + END);
		String response = call("r1", "");
		assertThat(events(response)).isEqualTo(ALL_EVENTS);
		assertThat(response).contains("Signature: s2").doesNotContain("Signature: s1");
	}

	// Guards against the head of one run before the whole body of another.
	@Test
	void aStreamThatForwardedNoEventIsNotJoinedWithAnotherRun() throws Exception {
		this.scriptedResponses = List.of(chunk(": comment\n\n"), chunk(ALL_EVENTS) + END);
		String response = call("r1", "");
		assertThat(response.contains("Signature: s1") && TestFleetNodes.isComplete(response)).as(response).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "1", "3", "7", "x", "0" })
	void aRunThatDoesNotGoOnThereIsNotJoined(String id) throws Exception {
		this.scriptedResponses = List.of(chunk(event(1)), chunk("id: " + id + "\ndata: other\n\n" + event(2)) + END,
				chunk("id: " + id + "\ndata: other\n\n" + event(2)) + END);
		String response = call("r1", "");
		assertThat(TestFleetNodes.isComplete(response)).isFalse();
		assertThat(events(response)).isEqualTo(event(1));
	}

	@Test
	void anotherUpstreamMayStillGoOnWhereOneDidNot() throws Exception {
		this.scriptedResponses = List.of(chunk(event(1)), chunk(event(1) + event(2)) + END,
				chunk(event(2) + event(3)) + END);
		assertThat(events(call("r1", ""))).isEqualTo(ALL_EVENTS);
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 500 Failed\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\noops",
			"HTTP/1.1 404 Gone\r\nRequest-Id: ID\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\noops" })
	void aRefusedResumptionIsTriedAgainAndNeverJoined(String refusal) throws Exception {
		this.scriptedResponses = List.of(chunk(event(1)), refusal, chunk(event(2) + event(3)) + END);
		assertThat(events(call("r1", ""))).isEqualTo(ALL_EVENTS);
		this.scriptedResponses = List.of(chunk(event(1)), refusal, refusal);
		String response = call("r2", "");
		assertThat(TestFleetNodes.isComplete(response)).isFalse();
		assertThat(events(response)).isEqualTo(event(1));
	}

	@Test
	void theAttemptsOfTheRouteAndTheTimeLeftHold() throws Exception {
		this.scriptedResponses = List.of(chunk(event(1)), chunk(event(2)), chunk(event(3)), chunk(event(4)) + END);
		assertThat(TestFleetNodes.isComplete(call("r1", ""))).isFalse();
		List<Integer> left = attempts("r1").stream().map((r) -> Integer.parseInt(r.header("Time-Remaining"))).toList();
		assertThat(left).hasSize(3).isSortedAccordingTo((a, b) -> b - a).allMatch((ms) -> ms <= 4000);
	}

	@ParameterizedTest
	@ValueSource(strings = { "1", "99", "many", "-1" })
	void thePlaceThatTheCallerNamesIsPassedOn(String lastEventId) throws Exception {
		this.scriptedResponses = List.of(chunk(event(2)), chunk(event(3)) + END);
		assertThat(events(call("r1", "Last-Event-Id: " + lastEventId + "\r\n"))).isEqualTo(event(2) + event(3));
		assertThat(attempts("r1")).extracting((r) -> r.header(LAST_EVENT)).containsExactly(lastEventId, "2");
	}

	@Test
	void anUpstreamThatSaidItLeavesIsNotResumedAt() throws Exception {
		this.extraHeaders = "Server-Leaving: 1\r\n";
		this.scriptedResponses = List.of(chunk(event(1)), chunk(event(2) + event(3)) + END);
		assertThat(TestFleetNodes.isComplete(call("r1", ""))).isFalse();
		assertThat(attempts("r1")).hasSize(1);
	}

	@Test
	void aResumedRunIsChargedOnceForWhatTheCallerGot() throws Exception {
		String budget = "Program: p\r\nToken-Budget: " + BUDGET + "\r\nToken-Counts: 1," + RESERVED_TOKENS + "\r\n";
		this.scriptedResponses = List.of(chunk(event(1)), chunk(event(2)) + END);
		int usedTokens = 0;
		String response = call("r0", budget);
		for (int i = 1; response.startsWith("HTTP/1.1 200"); i++) {
			assertThat(TestFleetNodes.isComplete(response)).isTrue();
			assertThat(usedTokens + RESERVED_TOKENS).as("what was used and reserved when r" + (i - 1) + " was admitted")
				.isLessThanOrEqualTo(BUDGET);
			// The first event is not forwarded if the stream breaks before the
			// reservation
			// is synced.
			usedTokens += TOKENS_PER_EVENT * (events(response).split("data: ").length - 1);
			response = call("r" + i, budget);
		}
		assertThat(response).startsWith("HTTP/1.1 402");
		assertThat(usedTokens + RESERVED_TOKENS).as("what was used and would be reserved").isGreaterThan(BUDGET);
	}

	@Test
	void aStreamThatMayNotBeResumedIsCut() throws Exception {
		this.scriptedResponses = List.of(chunk(event(1)), chunk(event(2)) + END);
		String response = this.fleet.exchange(TestFleetNodes.request("POST", "/turns/1", "r1", "", "x"));
		assertThat(TestFleetNodes.isComplete(response)).isFalse();
		assertThat(attempts("r1")).hasSize(1);
	}

	// ---- Helpers

	private String call(String id, String headers) throws IOException {
		return this.fleet.exchange(TestFleetNodes.request("POST", "/dialog/1", id, headers, "x"));
	}

	private List<Received> attempts(String id) {
		return this.upstream.received().stream().filter((r) -> id.equals(r.header("Request-Id"))).toList();
	}

	private static String event(int id) {
		return "id: " + id + "\ndata: e" + id + "\n\n";
	}

	private static String chunk(String content) {
		return content.isEmpty() ? "" : ScriptedUpstream.chunk(content);
	}

	// Returns the content of all chunks that arrived complete.
	private static String events(String response) {
		StringBuilder content = new StringBuilder();
		int at = response.indexOf("\r\n\r\n") + 4;
		while (at < response.length()) {
			int end = response.indexOf("\r\n", at);
			int length = (end < 0) ? 0 : Integer.parseInt(response.substring(at, end), 16);
			if (length == 0) {
				break;
			}
			content.append(response, end + 2, end + 2 + length);
			at = end + 2 + length + 2;
		}
		return content.toString();
	}

}
