package org.mangorack.bench.fleet;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.bench.fleet.ScriptedUpstream.Received;
import org.mangorack.http.HttpAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the HTTP behaviour of an entry towards callers and upstreams, with one
 * keeper.
 */
class EntryContractTests {

	@TempDir
	Path folder;

	private TestFleetNodes fleet;

	private ScriptedUpstream upstream;

	@BeforeEach
	void start() throws Exception {
		this.upstream = new ScriptedUpstream((request, out, socket) -> {
			out.write(request.start().contains("/turns/") ? ScriptedUpstream.stream(request, "one", "two")
					: ScriptedUpstream.plain(request, "done"));
			return true;
		});
		this.fleet = new TestFleetNodes();
		this.fleet.startServing(this.folder, this.upstream);
	}

	@AfterEach
	void stop() throws IOException {
		this.fleet.close();
		this.upstream.close();
	}

	// ---- Keys and routes

	@Test
	void theUpstreamGetsTheWorkspaceAndNotTheKey() throws Exception {
		this.fleet.exchange(TestFleetNodes.request("GET", "/read/1?q=2", "r1", "Tenant: b\r\nHold: h\r\n", ""));
		Received received = last();
		assertThat(received.start()).isEqualTo("GET /read/1?q=2 HTTP/1.1");
		assertThat(received.header("Tenant")).isEqualTo("a");
		assertThat(received.header("Authorization")).isNull();
		assertThat(received.header("Hold")).isNull();
		assertThat(received.header("Expected-Instance")).isEqualTo("u-1");
		assertThat(Integer.parseInt(received.header("Time-Remaining"))).isBetween(1, 4000);
	}

	@Test
	void anOpenRouteNeedsNoKeyAndForwardsNone() throws Exception {
		assertThat(this.fleet.exchange(TestFleetNodes.request("GET", "/open/1", "r1", "Tenant: b\r\n", "")))
			.startsWith("HTTP/1.1 200");
		assertThat(last().header("Tenant")).isNull();
		assertThat(last().header("Authorization")).isNull();
	}

	@Test
	void anUnknownKeyAndAnUnknownRouteAreRefused() throws Exception {
		String request = TestFleetNodes.request("GET", "/read/1", "r1", "", "");
		assertThat(this.fleet.exchange(request.replace("key-a", "key-x"))).startsWith("HTTP/1.1 401");
		assertThat(this.fleet.exchange(request.replace("/read/", "/none/"))).startsWith("HTTP/1.1 404");
		assertThat(this.fleet.exchange(request.replace("check.example", "other.example"))).startsWith("HTTP/1.1 404");
	}

	@Test
	void aWithdrawnKeyStopsWorkingWithTheNextConfiguration() throws Exception {
		this.fleet.configure(2, TestFleetNodes.object("{\"tenants\":[{\"name\":\"b\",\"api_keys\":[\"key-b\"]}]}"));
		await(() -> exchange(TestFleetNodes.request("GET", "/read/1", "r1", "", "")).startsWith("HTTP/1.1 401"));
	}

	// ---- Turns

	@Test
	void aTurnGetsTheWholeChainBeforeIt() throws Exception {
		turn("t1", "", "first ");
		turn("t2", "Previous-Turn: t1\r\n", "second ");
		turn("t3", "Previous-Turn: t2\r\n", "third");
		assertThat(last().body()).isEqualTo("first one\ntwo\nsecond one\ntwo\nthird");
	}

	@Test
	void aTurnOfAnotherWorkspaceDoesNotExist() throws Exception {
		turn("t1", "", "first ");
		String request = TestFleetNodes.request("POST", "/turns/1", "t2", "Previous-Turn: t1\r\n", "x");
		assertThat(this.fleet.exchange(request.replace("key-a", "key-b"))).startsWith("HTTP/1.1 404");
		assertThat(this.fleet.exchange(request.replace("t1", "t9"))).startsWith("HTTP/1.1 404");
	}

	@Test
	void aProgramThatSpentItsBudgetIsRefused() throws Exception {
		String headers = "Program: p\r\nToken-Budget: 50\r\nToken-Counts: 1,30\r\n";
		assertThat(turn("t1", headers, "x")).startsWith("HTTP/1.1 200");
		assertThat(turn("t2", headers, "x")).startsWith("HTTP/1.1 200");
		assertThat(turn("t3", headers, "x")).startsWith("HTTP/1.1 402");
	}

	@Test
	void aStreamThatBreaksOffIsNoTurn() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream
				.bytes(ScriptedUpstream.streamHead(request) + ScriptedUpstream.chunk("id: 1\ndata: one\n\n")));
			out.flush();
			return false;
		});
		String response = turn("t1", "", "x");
		assertThat(TestFleetNodes.isComplete(response)).isFalse();
		assertThat(this.fleet.exchange(TestFleetNodes.request("POST", "/turns/1", "t2", "Previous-Turn: t1\r\n", "x")))
			.startsWith("HTTP/1.1 404");
	}

	@Test
	void eventsArePassedOnAsTheyCome() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream
				.bytes(ScriptedUpstream.streamHead(request) + ScriptedUpstream.chunk("id: 1\ndata: one\n\nid: 2\nda")));
			out.flush();
			return true;
		});
		try (Socket socket = this.fleet.connect()) {
			socket.getOutputStream()
				.write(ScriptedUpstream.bytes(TestFleetNodes.request("POST", "/turns/1", "t1", "", "x")));
			StringBuilder text = new StringBuilder();
			while (!text.toString().endsWith("data: one\n\n\r\n")) {
				text.append((char) socket.getInputStream().read());
			}
			assertThat(text.toString()).doesNotContain("id: 2");
		}
		assertThat(this.upstream.closed().poll(20, TimeUnit.SECONDS)).isNotNull();
	}

	// ---- Invalid requests

	@ParameterizedTest
	@CsvSource(delimiter = '|', value = { "Content-Length: 1\\r\\nTransfer-Encoding: chunked\\r\\n | 400",
			"Content-Length: 1\\r\\nContent-Length: 2\\r\\n | 400", "Content-Length: +1\\r\\n | 400",
			"Content-Length: -1\\r\\n | 400", "Transfer-Encoding: gzip, chunked\\r\\n | 400",
			"Transfer-Encoding: chunked\\r\\nTransfer-Encoding: chunked\\r\\n | 400", "Bad Header: x\\r\\n | 400",
			"Host: another.example\\r\\n | 400", "Content-Length: 10001\\r\\n | 413" })
	void aRequestWhoseLengthIsUnclearIsRefusedAndNothingIsPassedOn(String headers, int status) throws Exception {
		int before = this.upstream.received().size();
		String response = this.fleet.exchange(
				"POST /write/1 HTTP/1.1\r\nHost: check.example\r\nRequest-Id: r1\r\nAuthorization: Token key-a\r\n"
						+ headers.replace("\\r\\n", "\r\n") + "\r\n"
						+ "0\r\n\r\nGET /read/smuggled HTTP/1.1\r\nHost: check.example\r\n\r\n");
		assertThat(response).startsWith("HTTP/1.1 " + status).containsIgnoringCase("connection: close");
		assertThat(this.upstream.received()).hasSize(before);
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "NONSENSE\r\n\r\n", "GET http://check.example/read/1 HTTP/1.1\r\nHost: check.example\r\n\r\n",
					"GET /read/1 HTTP/1.1\r\n\r\n", "GET /read/1 HTTP/1.0\r\nHost: check.example\r\n\r\n" })
	void aMalformedHeadIsRefused(String request) throws Exception {
		assertThat(this.fleet.exchange(request)).startsWith("HTTP/1.1 400");
	}

	// Guards against a refusal that is lost because the caller is still writing its body.
	@Test
	void aCallerThatWritesABodyThatIsTooLargeReceivesTheRefusal() throws Exception {
		byte[] part = new byte[64 * 1024];
		int parts = 32;
		try (Socket socket = this.fleet.connect()) {
			socket.getOutputStream()
				.write(("POST /write/1 HTTP/1.1\r\nHost: check.example\r\nRequest-Id: large\r\n"
						+ "Authorization: Token key-a\r\nContent-Length: " + (part.length * parts) + "\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			for (int i = 0; i < parts; i++) {
				socket.getOutputStream().write(part);
				ScriptedUpstream.sleep(5);
			}
			assertThat(TestFleetNodes.readResponse(socket)).startsWith("HTTP/1.1 413");
			assertThat(socket.getInputStream().read()).isNegative();
		}
	}

	@Test
	void aLongHeadIsRefused() throws Exception {
		assertThat(this.fleet
			.exchange("GET /read/1 HTTP/1.1\r\nHost: check.example\r\nX: " + "x".repeat(5000) + "\r\n\r\n"))
			.startsWith("HTTP/1.1 431");
	}

	@Test
	void aSlowHeadIsRefused() throws Exception {
		assertThat(this.fleet.exchange("GET /read/1 HT")).startsWith("HTTP/1.1 408");
	}

	@Test
	void aChunkedBodyArrivesWhole() throws Exception {
		this.fleet.exchange("POST /write/1 HTTP/1.1\r\nHost: check.example\r\nRequest-Id: r1\r\n"
				+ "Authorization: Token key-a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
		assertThat(last().body()).isEqualTo("abcde");
		assertThat(last().header("Transfer-Encoding")).isNull();
	}

	@Test
	void requestsSentAheadAreAnsweredInTheirOrder() throws Exception {
		try (Socket socket = this.fleet.connect()) {
			socket.getOutputStream()
				.write(ScriptedUpstream.bytes(TestFleetNodes.request("GET", "/read/1", "r1", "", "")
						+ TestFleetNodes.request("GET", "/read/2", "r2", "", "")));
			assertThat(TestFleetNodes.readResponse(socket)).contains("Request-Id: r1");
			assertThat(TestFleetNodes.readResponse(socket)).contains("Request-Id: r2");
		}
	}

	// Guards against a body behind the response to HEAD, which callers would take for the
	// next response.
	@ParameterizedTest
	@CsvSource({ "/read/1, 200", "/turns/1, 200", "/nowhere/1, 404" })
	void aResponseToHeadHasNoBody(String path, int status) throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			String id = request.header("Request-Id");
			if (request.start().startsWith("HEAD ")) {
				out.write(ScriptedUpstream.bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + id
						+ "\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\n"));
			}
			else {
				out.write(ScriptedUpstream.plain(request, "for " + id));
			}
			return true;
		});
		try (Socket socket = this.fleet.connect()) {
			String requests = TestFleetNodes.request("HEAD", path, "h1", "", "")
					+ TestFleetNodes.request("GET", "/read/2", "r1", "Connection: close\r\n", "");
			socket.getOutputStream().write(ScriptedUpstream.bytes(requests));
			String received = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			String[] heads = received.split("\r\n\r\n", 3);
			assertThat(heads[0]).startsWith("HTTP/1.1 " + status).contains("h1");
			assertThat(heads[1]).as(received).startsWith("HTTP/1.1 200").contains("r1");
			assertThat(heads[2]).isEqualTo("for r1");
		}
	}

	// Guards against a refusal whose body is missing because an earlier request was HEAD.
	@ParameterizedTest
	@ValueSource(strings = { "GET /read/2 HTTP/1.1 x\r\n\r\n", "GET /read/2\r\n\r\n", "GET /read/2 HTTP/1.1\r\n" })
	void aRefusalAfterAHeadRequestIsWhole(String malformed) throws Exception {
		try (Socket socket = this.fleet.connect()) {
			String requests = TestFleetNodes.request("HEAD", "/nowhere/1", "h1", "", "") + malformed;
			socket.getOutputStream().write(ScriptedUpstream.bytes(requests));
			String received = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			String refusal = received.split("\r\n\r\n", 2)[1];
			assertThat(refusal).startsWith("HTTP/1.1 40");
			assertThat(TestFleetNodes.isComplete(refusal)).as(received).isTrue();
		}
	}

	// Guards against a call that its connection forgets, which nothing ends then.
	@Test
	void theUpstreamConnectionClosesWhenTheCallerDisconnectsAfterAnInvalidRequest() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			// The requests behind the first one are queued meanwhile.
			ScriptedUpstream.sleep(200);
			if (!request.header("Request-Id").equals("left")) {
				out.write(ScriptedUpstream.plain(request, request.header("Time-Remaining")));
			}
			return true;
		});
		// Only the caller's departure may end the call while the test waits.
		this.fleet.configureTimeout(2, Duration.ofMinutes(1));
		TestFleetNodes.awaitResponse(this.fleet.callers(), longRequest("first"),
				(response) -> response.matches("(?s).*\r\n\r\n\\d{5}"));
		try (Socket socket = this.fleet.connect()) {
			String invalid = longRequest("invalid").replace("Time-Remaining: 60000", "Time-Remaining: x");
			socket.getOutputStream()
				.write(ScriptedUpstream.bytes(longRequest("first") + invalid + longRequest("left")));
			await(() -> last().header("Request-Id").equals("left"));
		}
		String closed = this.upstream.closed().poll(20, TimeUnit.SECONDS);
		while ((closed != null) && !closed.equals("left")) {
			closed = this.upstream.closed().poll(20, TimeUnit.SECONDS);
		}
		assertThat(closed).isEqualTo("left");
	}

	@Test
	void theUpstreamConnectionClosesWhenTheCallerDisconnects() throws Exception {
		this.upstream.setScript((request, out, socket) -> true);
		try (Socket socket = this.fleet.connect()) {
			socket.getOutputStream()
				.write(ScriptedUpstream.bytes(TestFleetNodes.request("POST", "/write/1", "left", "", "x")));
			await(() -> last().header("Request-Id").equals("left"));
		}
		// Idle connections of earlier requests may be closed first.
		String closed = this.upstream.closed().poll(20, TimeUnit.SECONDS);
		while ((closed != null) && !closed.equals("left")) {
			closed = this.upstream.closed().poll(20, TimeUnit.SECONDS);
		}
		assertThat(closed).isEqualTo("left");
	}

	// ---- Invalid responses

	@Test
	void aStrayAnswerIsSkippedAndTheOwnOnePassedOn() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.bytes("HTTP/1.1 200 OK\r\nRequest-Id: another\r\nResponse-Signature: s\r\n"
					+ "Content-Length: 5\r\n\r\nwrong"));
			out.write(ScriptedUpstream.plain(request, "right"));
			return true;
		});
		assertThat(this.fleet.exchange(TestFleetNodes.request("POST", "/write/1", "r1", "", "x"))).endsWith("right");
	}

	@ParameterizedTest
	@ValueSource(
			strings = { "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 9\r\n\r\nshort",
					"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 8\r\n\r\nunsigned",
					"garbage that is no answer\r\n\r\n",
					"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 7\r\n\r\nwithout", "" })
	void anAnswerThatIsNotTheUpstreamsWholeOneIsAFailure(String response) throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.bytes(response));
			out.flush();
			return false;
		});
		assertThat(this.fleet.exchange(TestFleetNodes.request("POST", "/write/1", "r1", "", "x")))
			.startsWith("HTTP/1.1 50")
			.contains("may_have_run");
		assertThat(this.upstream.received().stream().filter((r) -> "r1".equals(r.header("Request-Id")))).hasSize(1);
	}

	@Test
	void anAnswerWithoutALengthEndsWithItsConnection() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream
				.bytes("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\nuntil the end"));
			out.flush();
			return false;
		});
		assertThat(this.fleet.exchange(TestFleetNodes.request("GET", "/read/1", "r1", "", "")))
			.endsWith("until the end");
	}

	@Test
	void anAnswerWithoutALengthThatIsResetIsAFailure() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream
				.bytes("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n\r\nuntil the"));
			out.flush();
			socket.setSoLinger(true, 0);
			return false;
		});
		assertThat(this.fleet.exchange(TestFleetNodes.request("POST", "/write/1", "r1", "", "x")))
			.startsWith("HTTP/1.1 502");
	}

	// ---- Attempts

	@Test
	void aRequestThatAnUpstreamDidNotRunGoesToAnother() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.bytes("HTTP/1.1 503 Busy\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
			return true;
		});
		try (ScriptedUpstream second = new ScriptedUpstream((request, out, socket) -> {
			out.write(ScriptedUpstream.plain(request, "done"));
			return true;
		})) {
			this.fleet.addUpstream("u-2", second);
			await(() -> {
				exchange(TestFleetNodes.request("GET", "/read/1", "probe", "", ""));
				return !second.received().isEmpty();
			});
			for (int i = 0; i < 6; i++) {
				assertThat(this.fleet.exchange(TestFleetNodes.request("POST", "/write/1", "r" + i, "", "x")))
					.startsWith("HTTP/1.1 200");
			}
		}
	}

	@Test
	void aRequestThatNoUpstreamTookIsRefusedAsNotRun() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.bytes("HTTP/1.1 503 Busy\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
			return true;
		});
		assertThat(this.fleet.exchange(TestFleetNodes.request("POST", "/write/1", "r1", "", "x")))
			.startsWith("HTTP/1.1 503")
			.contains("not_run")
			.containsIgnoringCase("retry-after");
	}

	@Test
	void anIdempotentRequestIsTriedAgainAfterABreak() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			if (request.header("Request-Id").equals("r1") && (count("r1") == 1)) {
				return false;
			}
			out.write(ScriptedUpstream.plain(request, "done"));
			return true;
		});
		assertThat(this.fleet.exchange(TestFleetNodes.request("GET", "/read/1", "r1", "", ""))).endsWith("done");
	}

	@ParameterizedTest
	@ValueSource(strings = { "/read/1", "/write/1" })
	void anErrorOfTheUpstreamIsPassedOnUnchanged(String path) throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.bytes("HTTP/1.1 500 Failed\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nResponse-Signature: s\r\nContent-Length: 4\r\n\r\noops"));
			return true;
		});
		assertThat(this.fleet.exchange(TestFleetNodes.request("POST", path, "r1", "", "x"))).startsWith("HTTP/1.1 500")
			.endsWith("oops");
	}

	// ---- Directory and shutdown

	@Test
	void theDirectoryListsEntriesKnownToTheKeepers() throws Exception {
		await(() -> directory().contains(this.fleet.callers().toString()));
	}

	@Test
	void anEntryThatNoKeeperTellsOfOthersSendsCallersToAnotherDirectory() throws Exception {
		HttpAddress address = this.fleet.directory();
		this.fleet.startEntry(0);
		await(() -> directory(address).contains(this.fleet.callers().toString()));
		this.fleet.stopKeepers();
		await(() -> directory(address).startsWith("HTTP/1.1 503"));
	}

	@Test
	void aStopCompletesCallsInProgressAndClosesTheirConnections() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			ScriptedUpstream.sleep(1500);
			out.write(ScriptedUpstream.plain(request, "done"));
			return true;
		});
		try (Socket socket = this.fleet.connect()) {
			socket.getOutputStream()
				.write(ScriptedUpstream.bytes(TestFleetNodes.request("POST", "/write/1", "r1", "", "x")));
			await(() -> count("r1") == 1);
			Thread stop = new Thread(this.fleet.entry()::stop);
			stop.start();
			assertThat(TestFleetNodes.readResponse(socket)).endsWith("done").containsIgnoringCase("connection: close");
			stop.join();
		}
	}

	// ---- Helpers

	private static String longRequest(String id) {
		return TestFleetNodes.request("POST", "/write/1", id, "", "x")
			.replace("Time-Remaining: 4000", "Time-Remaining: 60000");
	}

	private Received last() {
		List<Received> all = this.upstream.received();
		return all.get(all.size() - 1);
	}

	private long count(String id) {
		return this.upstream.received().stream().filter((r) -> id.equals(r.header("Request-Id"))).count();
	}

	private String turn(String id, String headers, String body) throws IOException {
		return this.fleet.exchange(TestFleetNodes.request("POST", "/turns/1", id, headers, body));
	}

	private String exchange(String request) {
		try {
			return this.fleet.exchange(request);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private String directory() {
		return directory(this.fleet.directory());
	}

	private static String directory(HttpAddress address) {
		try (Socket socket = new Socket(address.host(), address.port())) {
			socket.getOutputStream()
				.write(ScriptedUpstream
					.bytes("GET /resolution?name=check.example&region=r&zone=dc HTTP/1.1\r\nHost: d\r\n\r\n"));
			return TestFleetNodes.readResponse(socket);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void await(Supplier<Boolean> condition) {
		long startedAt = System.nanoTime();
		while (!condition.get()) {
			assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAt)).isLessThan(30);
			ScriptedUpstream.sleep(50);
		}
	}

}
