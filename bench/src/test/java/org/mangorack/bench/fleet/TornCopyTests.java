package org.mangorack.bench.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.bench.fleet.ScriptedUpstream.Received;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for upstreams that send a response once more and break off within it, with the
 * connection left open.
 */
class TornCopyTests {

	// Longer than the entry needs to read what has arrived.
	private static final int IDLE_MS = 25;

	private static final int CALL_MS = 400;

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

	@ParameterizedTest
	@CsvSource({ "WITH_ITS_RESPONSE, 500, 200", "WITH_ITS_RESPONSE, 200, 500", "WHILE_IDLE, 500, 200",
			"WHILE_IDLE, 200, 500", "WITH_THE_NEXT_RESPONSE, 500, 200", "WITH_THE_NEXT_RESPONSE, 200, 500" })
	void aTornCopyIsNeverJoinedWithTheNextResponse(Arrival arrival, int statusOfTheCopy, int statusOfTheNext)
			throws Exception {
		AtomicInteger cut = new AtomicInteger();
		AtomicReference<String> torn = new AtomicReference<>("");
		this.upstream.setScript((request, out, socket) -> {
			if (request.header("Request-Id").startsWith("first")) {
				String response = response(request, statusOfTheCopy);
				torn.set(response.substring(0, Math.min(cut.get(), response.length())));
				arrival.writeFirst(out, response, torn.get());
			}
			else {
				arrival.writeNext(out, response(request, statusOfTheNext), torn.get());
			}
			return true;
		});
		int length = response("first000", statusOfTheCopy).length();
		List<String> mixed = new ArrayList<>();
		for (int i = 1; i < length; i++) {
			cut.set(i);
			call(String.format("first%03d", i));
			ScriptedUpstream.sleep((arrival == Arrival.WHILE_IDLE) ? (2 * IDLE_MS) : 0);
			String id = String.format("next%04d", i);
			String got = call(id);
			if (!isRefusal(got) && !isResponse(got, id, statusOfTheNext)) {
				mixed.add("cut at " + i + ": " + got);
			}
		}
		assertThat(mixed).isEmpty();
	}

	private String call(String id) throws IOException {
		return this.fleet.exchange(TestFleetNodes.request("POST", "/write/1", id, "", "x")
			.replace("Time-Remaining: 4000", "Time-Remaining: " + CALL_MS));
	}

	private static boolean isRefusal(String got) {
		return !got.contains("Response-Signature") && (got.startsWith("HTTP/1.1 502") || got.startsWith("HTTP/1.1 504"))
				&& got.contains("may_have_run");
	}

	private static boolean isResponse(String got, String id, int status) {
		return got.startsWith("HTTP/1.1 " + status) && got.contains("Response-Signature: " + id)
				&& got.endsWith("\r\n\r\nfor " + id);
	}

	private static String response(Received request, int status) {
		return response(request.header("Request-Id"), status);
	}

	private static String response(String id, int status) {
		String body = "for " + id;
		return "HTTP/1.1 " + status + " Reason\r\nKeep-Alive: timeout=5\r\nRequest-Id: " + id
				+ "\r\nResponse-Signature: " + id + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	/**
	 * When the torn copy of a response arrives.
	 */
	enum Arrival {

		/** In one piece with the response. */
		WITH_ITS_RESPONSE {

			@Override
			void writeFirst(OutputStream out, String response, String torn) throws IOException {
				write(out, response + torn);
			}

		},

		/** On the idle connection. */
		WHILE_IDLE {

			@Override
			void writeFirst(OutputStream out, String response, String torn) throws IOException {
				write(out, response);
				ScriptedUpstream.sleep(IDLE_MS);
				write(out, torn);
			}

		},

		/** In one piece with the response to the next request. */
		WITH_THE_NEXT_RESPONSE {

			@Override
			void writeFirst(OutputStream out, String response, String torn) throws IOException {
				write(out, response);
			}

			@Override
			void writeNext(OutputStream out, String response, String torn) throws IOException {
				write(out, torn + response);
			}

		};

		abstract void writeFirst(OutputStream out, String response, String torn) throws IOException;

		void writeNext(OutputStream out, String response, String torn) throws IOException {
			write(out, response);
		}

		private static void write(OutputStream out, String text) throws IOException {
			out.write(ScriptedUpstream.bytes(text));
			out.flush();
		}

	}

}
