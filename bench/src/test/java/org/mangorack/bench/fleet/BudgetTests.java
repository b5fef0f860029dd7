package org.mangorack.bench.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.http.HttpAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for token budgets on routes with and without retained turns. Each event counts as
 * ten tokens.
 */
class BudgetTests {

	private static final String BUDGET = "Program: p\r\nToken-Budget: 50\r\nToken-Counts: 1,30\r\n";

	@TempDir
	Path folder;

	private TestFleetNodes fleet;

	private ScriptedUpstream upstream;

	@BeforeEach
	void start() throws Exception {
		this.upstream = new ScriptedUpstream((request, out, socket) -> {
			out.write(ScriptedUpstream.stream(request, "one", "two"));
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
	@ValueSource(strings = { "/turns/1", "/dialog/1" })
	void aProgramThatSpentItsBudgetIsRefused(String path) throws Exception {
		assertThat(turn(path, "t1", BUDGET)).startsWith("HTTP/1.1 200");
		assertThat(turn(path, "t2", BUDGET)).startsWith("HTTP/1.1 200");
		assertThat(turn(path, "t3", BUDGET)).startsWith("HTTP/1.1 402").contains("not_run");
	}

	@ParameterizedTest
	@ValueSource(strings = { "/turns/1", "/dialog/1" })
	void concurrentTurnsThroughTwoEntriesShareTheBudget(String path) throws Exception {
		HttpAddress first = this.fleet.callers();
		this.fleet.startEntry(0);
		this.fleet.awaitServing();
		CountDownLatch refused = new CountDownLatch(1);
		this.upstream.setScript((request, out, socket) -> {
			await(refused);
			out.write(ScriptedUpstream.stream(request, "one", "two"));
			return true;
		});
		List<CompletableFuture<String>> responses = List.of(send(first, path, "t1", refused),
				send(this.fleet.callers(), path, "t2", refused));
		List<String> statuses = responses.stream().map((a) -> a.join().substring(0, "HTTP/1.1 200".length())).toList();
		// Two concurrent reservations may both be rejected, but must not both be granted.
		assertThat(statuses).contains("HTTP/1.1 402").isSubsetOf("HTTP/1.1 200", "HTTP/1.1 402");
	}

	@ParameterizedTest
	@ValueSource(strings = { "/turns/1", "/dialog/1" })
	void anAttemptThatBreaksOffIsChargedWithWhatItsCallerGot(String path) throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.bytes(ScriptedUpstream.streamHead(request)
					+ ScriptedUpstream.chunk("id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n")));
			out.flush();
			// The entry forwards no event before the reservation is synced.
			ScriptedUpstream.sleep(700);
			return false;
		});
		assertThat(TestFleetNodes.isComplete(turn(path, "t1", BUDGET))).isFalse();
		assertThat(turn(path, "t2", BUDGET)).startsWith("HTTP/1.1 402");
	}

	@Test
	void eventsCountAfterANewerConfigurationDroppedTheirPool() throws Exception {
		CountDownLatch replaced = new CountDownLatch(1);
		AtomicInteger attempts = new AtomicInteger();
		this.upstream.setScript((request, out, socket) -> {
			if (attempts.incrementAndGet() == 1) {
				out.write(ScriptedUpstream.bytes(ScriptedUpstream.streamHead(request)
						+ ScriptedUpstream.chunk("id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n")));
				out.flush();
				await(replaced);
			}
			return false;
		});
		CompletableFuture<String> cut = send(this.fleet.callers(), "/dialog/1", "t1", new CountDownLatch(1));
		this.fleet.configure(2, (ObjectNode) new ObjectMapper().readTree("""
				{"routes":[
				{"name":"dialog","host":"check.example","path_prefix":"/dialog/","kind":"streaming","timeout_ms":4000,
				"service":"second","max_attempts":2,"retains_context":false},
				{"name":"late","host":"check.example","path_prefix":"/late/","kind":"safe","timeout_ms":4000,
				"service":"second","max_attempts":2}],
				"services":[{"name":"second","connection_limit":100,"engine":{"tokens_per_event":10}}]}"""));
		TestFleetNodes.awaitResponse(this.fleet.callers(), TestFleetNodes.request("GET", "/late/1", "l", "", ""),
				(response) -> response.startsWith("HTTP/1.1 503"));
		replaced.countDown();
		assertThat(cut.join()).contains("data: three");
		assertThat(TestFleetNodes.isComplete(cut.join())).isFalse();
		assertThat(turn("/dialog/1", "t2", BUDGET)).startsWith("HTTP/1.1 402");
	}

	// The keeper is stopped before the entry closes, so the entry cannot settle its
	// reservation. This has the same effect as killing the entry.
	@Test
	void theReservationOfAKilledEntryStaysCharged() throws Exception {
		CountDownLatch sent = new CountDownLatch(1);
		this.upstream.setScript((request, out, socket) -> {
			sent.countDown();
			return true;
		});
		HttpAddress killed = this.fleet.callers();
		CompletableFuture<String> cut = send(killed, "/dialog/1", "t1", new CountDownLatch(1));
		assertThat(sent.await(20, TimeUnit.SECONDS)).isTrue();
		this.fleet.stopKeepers();
		this.fleet.entry().close();
		assertThat(TestFleetNodes.isComplete(cut.join())).isFalse();
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.stream(request, "one", "two"));
			return true;
		});
		this.fleet.restartKeeper(0, this.folder.resolve("k0"), 0);
		this.fleet.startEntry(0);
		this.fleet.awaitServing();
		assertThat(turn("/dialog/1", "t2", BUDGET)).startsWith("HTTP/1.1 402");
	}

	@Test
	void aReservationIsReleasedIfNothingRan() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.bytes("HTTP/1.1 503 Busy\r\nRequest-Id: " + request.header("Request-Id")
					+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
			return true;
		});
		for (int i = 0; i < 3; i++) {
			assertThat(turn("/dialog/1", "t" + i, BUDGET)).startsWith("HTTP/1.1 503").contains("not_run");
		}
	}

	@ParameterizedTest
	@ValueSource(strings = { "many", "-1", "", "NaN", "1e999", "0x10" })
	void aBudgetThatIsNoNumberIsRefused(String budget) throws Exception {
		assertThat(turn("/dialog/1", "t1", "Token-Budget: " + budget + "\r\nToken-Counts: 1,30\r\n"))
			.startsWith("HTTP/1.1 400")
			.contains("Token-Budget");
	}

	@Test
	void aLargeBudgetIsTakenWhole() throws Exception {
		assertThat(turn("/dialog/1", "t1", "Token-Budget: 9000000\r\nToken-Counts: 1,8000000\r\n"))
			.startsWith("HTTP/1.1 200");
	}

	// ---- Helpers

	private String turn(String path, String id, String headers) throws IOException {
		return this.fleet.exchange(TestFleetNodes.request("POST", path, id, headers, "x"));
	}

	private static CompletableFuture<String> send(HttpAddress entry, String path, String id, CountDownLatch refused) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				String response = TestFleetNodes.exchange(entry, TestFleetNodes.request("POST", path, id, BUDGET, "x"));
				refused.countDown();
				return response;
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(2, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
