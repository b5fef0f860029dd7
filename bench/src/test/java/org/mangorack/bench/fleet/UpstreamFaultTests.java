package org.mangorack.bench.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for upstreams that respond twice, slowly, endlessly or not at all. Operators of
 * similar systems have encountered these faults.
 */
class UpstreamFaultTests {

	private static final int BLOCK = 16 * 1024;

	// Sockets with small buffers may take less than a test waits for.
	private static final int MAX_WAITS = 400;

	// Exceeds any valid response, and several times what an entry can buffer.
	private static final long EXCESSIVE_BYTES = 64L * 1024 * 1024;

	@TempDir
	Path folder;

	private TestFleetNodes fleet;

	private ScriptedUpstream upstream;

	@BeforeEach
	void start() throws Exception {
		this.upstream = new ScriptedUpstream((request, out, socket) -> {
			out.write(ScriptedUpstream.stream(request, "one"));
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

	@Test
	void aLateSecondCopyOfAnAnswerNeverReachesTheNextCaller() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			byte[] response = ScriptedUpstream.plain(request, "for " + request.header("Request-Id"));
			out.write(response);
			out.flush();
			ScriptedUpstream.sleep(30);
			out.write(response);
			return true;
		});
		for (int i = 0; i < 12; i++) {
			assertThat(call("GET", "/read/1", "r" + i)).startsWith("HTTP/1.1 200").endsWith("for r" + i);
			// Some of the duplicates arrive while the connection is idle, others during
			// the next call.
			ScriptedUpstream.sleep(10 * (i % 4));
		}
	}

	// Guards against refusing a request that ran as not run, because the upstream sent an
	// earlier refusal once more.
	@ParameterizedTest
	@CsvSource({ "true, 0", "true, 5", "false, 0", "false, 5" })
	void aRepeatedRefusalIsNeverTakenForTheResponseToTheNextCall(boolean withId, int delayMillis) throws Exception {
		Set<String> run = ConcurrentHashMap.newKeySet();
		this.upstream.setScript((request, out, socket) -> {
			String id = request.header("Request-Id");
			if (id.startsWith("refused")) {
				write(out, refusal("Request-Id: " + id + "\r\n"));
				ScriptedUpstream.sleep(delayMillis);
				write(out, refusal(withId ? ("Request-Id: " + id + "\r\n") : ""));
			}
			else {
				run.add(id);
				out.write(ScriptedUpstream.plain(request, "for " + id));
			}
			return true;
		});
		for (int i = 0; i < 20; i++) {
			assertThat(call("POST", "/write/1", "refused" + i)).startsWith("HTTP/1.1 503");
			String response = call("POST", "/write/1", "r" + i);
			if (response.startsWith("HTTP/1.1 503")) {
				assertThat(run).doesNotContain("r" + i);
			}
			else {
				assertThat(response).startsWith("HTTP/1.1 200").endsWith("for r" + i);
			}
			// Longer than the entry avoids an upstream that refused a call.
			ScriptedUpstream.sleep(100);
		}
		assertThat(run).hasSizeGreaterThan(10);
		assertThat(this.upstream.received().stream().map((r) -> r.header("Request-Id"))).doesNotHaveDuplicates();
	}

	// Guards against telling a caller that a request has not run, because an upstream
	// responds to a request that it has run with such a status.
	@ParameterizedTest
	@CsvSource({ "/write/1, 503, 1", "/write/1, 429, 1", "/write/1, 408, 1", "/turns/1, 503, 1", "/turns/1, 429, 1",
			"/turns/1, 408, 1", "/turns/1, 402, 1", "/dialog/1, 503, 3", "/dialog/1, 402, 3" })
	void aStatusAloneDoesNotStateThatARequestDidNotRun(String path, int status, int runs) throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			write(out, failure(request, status));
			return true;
		});
		String response = call("POST", path, "r1");
		assertThat(response).startsWith("HTTP/1.1 502").contains("may_have_run").doesNotContain("Response-Signature");
		assertThat(this.upstream.received().stream().filter((r) -> r.header("Request-Id").equals("r1"))).hasSize(runs);
	}

	// Guards against telling a caller that a turn that is kept does not exist.
	@ParameterizedTest
	@ValueSource(ints = { 404, 410 })
	void anUpstreamDoesNotStateThatATurnIsAbsent(int status) throws Exception {
		assertThat(call("POST", "/turns/1", "t1")).startsWith("HTTP/1.1 200");
		this.upstream.setScript((request, out, socket) -> {
			write(out, failure(request, status));
			return true;
		});
		assertThat(this.fleet.exchange(TestFleetNodes.request("POST", "/turns/1", "t2", "Previous-Turn: t1\r\n", "x")))
			.startsWith("HTTP/1.1 502")
			.contains("may_have_run");
		assertThat(call("POST", "/turns/1", "t3")).startsWith("HTTP/1.1 " + status).contains("Response-Signature: s");
	}

	@ParameterizedTest
	@CsvSource({ "GET, /read/1, 503", "GET, /read/1, 429", "POST, /write/1, 402", "POST, /write/1, 500",
			"POST, /write/1, 404", "POST, /turns/1, 500" })
	void otherFailuresOfAnUpstreamArePassedOnUnchanged(String method, String path, int status) throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			write(out, failure(request, status));
			return true;
		});
		assertThat(call(method, path, "r1")).startsWith("HTTP/1.1 " + status)
			.contains("Response-Signature: s")
			.endsWith("failed");
	}

	// Guards against a caller that gets an invalid status, or waits for its deadline.
	@ParameterizedTest
	@CsvSource({ "GET, /read/1, 000", "POST, /write/1, 000", "POST, /turns/1, 000", "POST, /write/1, 999" })
	void aResponseWithAnInvalidStatusIsNeverPassedOn(String method, String path, String status) throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			String response = new String(ScriptedUpstream.plain(request, "done"), StandardCharsets.ISO_8859_1);
			write(out, response.replace("200 OK", status + " X"));
			return true;
		});
		assertThat(call(method, path, "r1")).startsWith("HTTP/1.1 502")
			.contains("may_have_run")
			.doesNotContain("Response-Signature");
	}

	// Guards against taking the response to an earlier attempt for that to a later one.
	@ParameterizedTest
	@CsvSource({ "GET, /read/1, 500", "POST, /write/1, 503" })
	void aRequestIsNeverSentAgainOnAConnectionThatCarriedItsId(String method, String path, int firstStatus)
			throws Exception {
		Map<Socket, Set<String>> carried = new ConcurrentHashMap<>();
		Map<String, Integer> attempts = new ConcurrentHashMap<>();
		Set<String> repeated = ConcurrentHashMap.newKeySet();
		this.upstream.setScript((request, out, socket) -> {
			String id = request.header("Request-Id");
			if (!carried.computeIfAbsent(socket, (s) -> ConcurrentHashMap.newKeySet()).add(id)) {
				repeated.add(id);
			}
			boolean first = attempts.merge(id, 1, Integer::sum) == 1;
			String response = new String(ScriptedUpstream.plain(request, "for " + id), StandardCharsets.ISO_8859_1);
			write(out, first ? response.replace("200 OK",
					firstStatus + " Failed" + ((firstStatus == 503) ? "\r\nNot-Executed: 1" : "")) : response);
			return true;
		});
		for (int i = 0; i < 10; i++) {
			call(method, path, "r" + i);
			ScriptedUpstream.sleep(100);
			assertThat(call(method, path, "r" + i)).startsWith("HTTP/1.1 200").endsWith("for r" + i);
		}
		assertThat(attempts.values()).allMatch((count) -> count > 1);
		assertThat(repeated).isEmpty();
	}

	// Guards against passing on a response that breaks off within its head as a complete
	// one.
	@ParameterizedTest
	@CsvSource({ "/write/1, 'Content-Length: 12\\r\\n'", "/write/1, ''", "/turns/1, 'Content-Length: 12\\r\\n'",
			"/turns/1, ''" })
	void aResponseThatEndsWithinItsHeadIsNeverPassedOn(String path, String length) throws Exception {
		AtomicInteger cut = new AtomicInteger();
		this.upstream.setScript((request, out, socket) -> {
			String head = "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nResponse-Signature: s\r\n" + length.replace("\\r\\n", "\r\n") + "\r\n";
			cut.set(Math.min(cut.get(), head.length() - 1));
			write(out, head.substring(0, cut.get()));
			return false;
		});
		int headBytes = 70;
		for (int i = 0; i < headBytes; i++) {
			cut.set(i);
			String response = call("POST", path, "cut" + i);
			assertThat(response).as("after %d bytes", cut.get()).doesNotStartWith("HTTP/1.1 200");
		}
		assertThat(this.upstream.received()).hasSizeGreaterThan(headBytes / 2);
	}

	@Test
	void aSlowButValidStreamIsNotCut() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			write(out, ScriptedUpstream.streamHead(request));
			for (int id = 1; id <= 4; id++) {
				ScriptedUpstream.sleep(700);
				write(out, ScriptedUpstream.chunk("id: " + id + "\ndata: e" + id + "\n\n"));
			}
			write(out, "0\r\n\r\n");
			return true;
		});
		String response = call("POST", "/turns/1", "t1");
		assertThat(TestFleetNodes.isComplete(response)).isTrue();
		assertThat(response).contains("e1", "e2", "e3", "e4");
	}

	@Test
	void aStalledStreamThatTricklesEndsAtTheTimeout() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			write(out,
					ScriptedUpstream.streamHead(request) + ScriptedUpstream.chunk("id: 1\ndata: e1\n\nid: 2\ndata: "));
			for (int i = 0; i < 150; i++) {
				ScriptedUpstream.sleep(100);
				write(out, ScriptedUpstream.chunk("."));
			}
			return false;
		});
		String response = call("POST", "/turns/1", "t1");
		assertThat(response).contains("e1").doesNotContain("no end within");
		assertThat(TestFleetNodes.isComplete(response)).isFalse();
		assertThat(this.upstream.closed().poll(20, TimeUnit.SECONDS)).isNotNull();
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("endless")
	void anEndlessResponseIsCutWithoutAffectingOtherCallers(String name, String path, String before, String unit)
			throws Exception {
		AtomicLong written = new AtomicLong();
		byte[] block = ScriptedUpstream.bytes(unit.repeat(Math.max(1, BLOCK / unit.length())));
		this.upstream.setScript((request, out, socket) -> {
			if (!request.header("Request-Id").equals("endless")) {
				out.write(ScriptedUpstream.plain(request, "for " + request.header("Request-Id")));
				return true;
			}
			out.write(ScriptedUpstream.bytes(before.replace("ID", "endless")));
			while (written.get() < EXCESSIVE_BYTES) {
				out.write(block);
				written.addAndGet(block.length);
			}
			return false;
		});
		String response = call("POST", path, "endless");
		assertThat(response).doesNotContain("no end within");
		assertThat(response).startsWith("HTTP/1.1 502");
		awaitClosed("endless");
		assertThat(written.get()).isLessThan(EXCESSIVE_BYTES);
		assertThat(call("GET", "/read/2", "next")).startsWith("HTTP/1.1 200").endsWith("for next");
	}

	static Stream<Arguments> endless() {
		String head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Signature: s\r\n";
		String chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
		String events = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
		return Stream.of(Arguments.of("no head at all", "/write/1", "", "x"),
				Arguments.of("empty lines", "/write/1", "", "\r\n"),
				Arguments.of("a line of a head", "/write/1", "HTTP/1.1 200 OK\r\nX-Long: ", "x"),
				Arguments.of("lines of a head", "/write/1", "HTTP/1.1 200 OK\r\n", "X-More: x\r\n"),
				Arguments.of("interim answers", "/write/1", "", "HTTP/1.1 100 Continue\r\n\r\n"),
				Arguments.of("an answer to another request", "/write/1", chunked.replace("ID", "other"),
						"10\r\n0123456789abcdef\r\n"),
				Arguments.of("a body", "/write/1", chunked, "10\r\n0123456789abcdef\r\n"),
				Arguments.of("a body that ends with its connection", "/write/1", head + "\r\n", "x"),
				Arguments.of("the length of a chunk", "/write/1", chunked, "0"),
				Arguments.of("lines after a body", "/write/1", chunked + "0\r\n", "X-More: x\r\n"),
				Arguments.of("an event", "/turns/1", events, "10\r\ndata: 0123456789\r\n"));
	}

	@Test
	void aStreamThatItsCallerDoesNotTakeIsNotReadEither() throws Exception {
		AtomicLong written = new AtomicLong();
		this.upstream.setScript((request, out, socket) -> {
			writeEvents(request, out, EXCESSIVE_BYTES, written);
			return false;
		});
		try (Socket caller = this.fleet.connect()) {
			caller.getOutputStream()
				.write(ScriptedUpstream.bytes(TestFleetNodes.request("POST", "/dialog/1", "endless", "", "x")));
			awaitClosed("endless");
		}
		assertThat(written.get()).isLessThan(EXCESSIVE_BYTES);
	}

	@Test
	void aStreamThatItsCallerTakesLateArrivesWhole() throws Exception {
		int size = 24 * 1024 * 1024;
		AtomicLong written = new AtomicLong();
		this.upstream.setScript((request, out, socket) -> {
			if (request.header("Request-Id").equals("late")) {
				writeEvents(request, out, size, written);
				write(out, "0\r\n\r\n");
			}
			else {
				out.write(ScriptedUpstream.plain(request, "for " + request.header("Request-Id")));
			}
			return true;
		});
		try (Socket caller = this.fleet.connect()) {
			caller.getOutputStream()
				.write(ScriptedUpstream
					.bytes(TestFleetNodes.request("POST", "/dialog/1", "late", "Connection: close\r\n", "x")));
			// Less than the buffers of the sockets hold, and more than the entry reads at
			// once.
			for (int i = 0; (i < MAX_WAITS) && (written.get() < 2 * 1024 * 1024); i++) {
				ScriptedUpstream.sleep(5);
			}
			byte[] response = caller.getInputStream().readAllBytes();
			String last = new String(response, response.length - 64, 64, StandardCharsets.ISO_8859_1);
			assertThat(response).hasSizeGreaterThan(size);
			assertThat(last).endsWith("\r\n0\r\n\r\n");
		}
		assertThat(call("GET", "/read/2", "next")).startsWith("HTTP/1.1 200").endsWith("for next");
	}

	@Test
	void aCallToASlowUpstreamIsNeitherRetriedNorAbandoned() throws Exception {
		ScriptedUpstream.Script late = (request, out, socket) -> {
			ScriptedUpstream.sleep(2500);
			out.write(ScriptedUpstream.plain(request, "late"));
			return true;
		};
		try (ScriptedUpstream second = new ScriptedUpstream(late)) {
			this.upstream.setScript(late);
			this.fleet.addUpstream("u-2", second);
			TimeUnit.MILLISECONDS.sleep(1500);
			assertThat(call("POST", "/write/1", "r1")).startsWith("HTTP/1.1 200").endsWith("late");
			assertThat(writes(this.upstream) + writes(second)).isEqualTo(1);
		}
	}

	// ---- Helpers

	private String call(String method, String path, String id) throws IOException {
		return this.fleet.exchange(TestFleetNodes.request(method, path, id, "", "x"));
	}

	// The entry also closes connections that were idle for long.
	private void awaitClosed(String lastRequest) throws InterruptedException {
		String closed = this.upstream.closed().poll(20, TimeUnit.SECONDS);
		while ((closed != null) && !closed.equals(lastRequest)) {
			closed = this.upstream.closed().poll(20, TimeUnit.SECONDS);
		}
		assertThat(closed).isEqualTo(lastRequest);
	}

	private static String refusal(String id) {
		return "HTTP/1.1 503 Service Unavailable\r\n" + id
				+ "Not-Executed: 1\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n";
	}

	private static String failure(ScriptedUpstream.Received request, int status) {
		return "HTTP/1.1 " + status + " Failed\r\nRequest-Id: " + request.header("Request-Id")
				+ "\r\nResponse-Signature: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 6\r\n\r\nfailed";
	}

	private static void writeEvents(ScriptedUpstream.Received request, OutputStream out, long size, AtomicLong written)
			throws IOException {
		write(out, ScriptedUpstream.streamHead(request));
		String data = "x".repeat(BLOCK);
		for (int id = 1; written.get() < size; id++) {
			write(out, ScriptedUpstream.chunk("id: " + id + "\ndata: " + data + "\n\n"));
			written.addAndGet(BLOCK);
		}
	}

	private static long writes(ScriptedUpstream upstream) {
		return upstream.received().stream().filter((r) -> r.start().contains("/write/")).count();
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(ScriptedUpstream.bytes(text));
		out.flush();
	}

}
