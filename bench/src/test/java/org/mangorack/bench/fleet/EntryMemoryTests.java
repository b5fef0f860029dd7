package org.mangorack.bench.fleet;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.bench.fleet.FleetProcess.Port;
import org.mangorack.http.HttpAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that an entry with the memory of the deploy file keeps on serving, whatever
 * upstreams and other callers make it hold.
 */
class EntryMemoryTests {

	private static final int GREEDY_CALLERS = 50;

	private static final int SHORT_CALLERS = 4;

	// Together several times the memory of an entry.
	private static final long BYTES_PER_CALL = 24L * 1024 * 1024;

	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	private static final byte[] BLOCK = ScriptedUpstream.bytes("x".repeat(16 * 1024));

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	Path folder;

	private FleetProcesses fleet;

	private final ExecutorService threads = Executors.newCachedThreadPool();

	@BeforeEach
	void start() throws Exception {
		this.fleet = new FleetProcesses(
				new FleetRunSettings(1, 1, 1, 0, 1, 2, Duration.ZERO, EnumSet.noneOf(FleetTrouble.class), 0),
				this.folder, new RequestLedger());
		this.fleet.start();
		this.fleet.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.stream(request, "one"));
			return true;
		});
		// Entries are ready before they know the keepers.
		TestFleetNodes.awaitResponse(entry().address(Port.CALLERS),
				TestFleetNodes.request("POST", "/turns/1", "first", "", "x"), (r) -> r.startsWith("HTTP/1.1 200"));
	}

	@AfterEach
	void stop() throws IOException {
		this.threads.shutdownNow();
		this.fleet.close();
	}

	@Test
	void bodiesWithoutEndForManyCallersLeaveMemoryForOthers() throws Exception {
		this.fleet.setScript((request, out, socket) -> {
			String id = request.header("Request-Id");
			if (!id.startsWith("greedy")) {
				out.write(ScriptedUpstream.plain(request, "for " + id));
				return true;
			}
			out.write(ScriptedUpstream
				.bytes("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s\r\n\r\n"));
			for (long sent = 0; sent < BYTES_PER_CALL; sent += BLOCK.length) {
				out.write(BLOCK);
			}
			return false;
		});
		List<String> responses = besideShortCalls((i) -> exchange("greedy" + i));
		assertThat(responses).hasSize(GREEDY_CALLERS)
			.allMatch((r) -> r.startsWith("HTTP/1.1 502") || r.startsWith("HTTP/1.1 504"));
	}

	@Test
	void streamsThatTheirCallersDoNotTakeLeaveMemoryForOthers() throws Exception {
		CountDownLatch ended = new CountDownLatch(GREEDY_CALLERS);
		String event = "data: " + "x".repeat(BLOCK.length) + "\n\n";
		this.fleet.setScript((request, out, socket) -> {
			String id = request.header("Request-Id");
			if (!id.startsWith("greedy")) {
				out.write(ScriptedUpstream.plain(request, "for " + id));
				return true;
			}
			try {
				out.write(ScriptedUpstream.bytes(ScriptedUpstream.streamHead(request)));
				for (int number = 1; (long) number * BLOCK.length < BYTES_PER_CALL; number++) {
					out.write(ScriptedUpstream.bytes(ScriptedUpstream.chunk("id: " + number + "\n" + event)));
				}
			}
			finally {
				ended.countDown();
			}
			return false;
		});
		List<String> responses = besideShortCalls((i) -> {
			try (Socket socket = connect()) {
				socket.getOutputStream()
					.write(ScriptedUpstream.bytes(request("greedy" + i).replace("/unsafe/", "/turns/")));
				return ended.await(60, TimeUnit.SECONDS) ? "ended" : "not ended";
			}
		});
		assertThat(responses).hasSize(GREEDY_CALLERS).containsOnly("ended");
	}

	@Test
	void requestBodiesThatArriveSlowlyLeaveMemoryForOthers() throws Exception {
		this.fleet.setScript((request, out, socket) -> {
			out.write(ScriptedUpstream.plain(request, "for " + request.header("Request-Id")));
			return true;
		});
		CyclicBarrier allSent = new CyclicBarrier(GREEDY_CALLERS);
		List<String> responses = besideShortCalls((i) -> {
			try (Socket socket = connect()) {
				socket.getOutputStream()
					.write(ScriptedUpstream.bytes(TestFleetNodes.request("POST", "/unsafe/1", "greedy" + i, "", "")
						.replace("Content-Length: 0", "Content-Length: " + MAX_BODY_BYTES)));
				for (int left = MAX_BODY_BYTES - 1; left > 0; left -= BLOCK.length) {
					writeUnlessRefused(socket, Math.min(left, BLOCK.length));
				}
				allSent.await(60, TimeUnit.SECONDS);
				writeUnlessRefused(socket, 1);
				return TestFleetNodes.readResponse(socket);
			}
		});
		assertThat(responses).hasSize(GREEDY_CALLERS)
			.allMatch((r) -> r.startsWith("HTTP/1.1 200") || r.startsWith("HTTP/1.1 503"))
			.anyMatch((r) -> r.contains("memory_exhausted"));
	}

	// ---- Helpers

	// Runs calls that make the entry hold much, beside short calls that have to succeed.
	private List<String> besideShortCalls(GreedyCall greedyCall) throws Exception {
		AtomicBoolean ended = new AtomicBoolean();
		AtomicLong ids = new AtomicLong();
		ConcurrentLinkedQueue<String> failed = new ConcurrentLinkedQueue<>();
		List<Future<?>> shortCalls = new ArrayList<>();
		for (int i = 0; i < SHORT_CALLERS; i++) {
			shortCalls.add(this.threads.submit((Callable<Void>) () -> {
				while (!ended.get()) {
					String id = "short" + ids.incrementAndGet();
					String response = exchange(id);
					if (!response.startsWith("HTTP/1.1 200") || !response.endsWith("for " + id)) {
						failed.add(response);
					}
				}
				return null;
			}));
		}
		List<Future<String>> greedy = new ArrayList<>();
		for (int i = 0; i < GREEDY_CALLERS; i++) {
			int number = i;
			greedy.add(this.threads.submit(() -> greedyCall.run(number)));
		}
		List<String> responses = new ArrayList<>();
		for (Future<String> response : greedy) {
			responses.add(response.get(120, TimeUnit.SECONDS));
		}
		ended.set(true);
		for (Future<?> caller : shortCalls) {
			caller.get(60, TimeUnit.SECONDS);
		}
		assertThat(Files.readAllLines(entry().log())).noneMatch((l) -> l.contains("OutOfMemory")
				|| l.contains("heap space") || l.contains("direct memory") || l.contains("direct buffer memory"));
		assertThat(failed).isEmpty();
		assertThat(ids.get()).isGreaterThan(SHORT_CALLERS);
		return responses;
	}

	private String exchange(String id) throws IOException {
		return TestFleetNodes.exchange(entry().address(Port.CALLERS), request(id));
	}

	private static String request(String id) {
		return TestFleetNodes.request("POST", "/unsafe/1", id, "", "x")
			.replaceFirst("Time-Remaining: 4000", "Time-Remaining: 6000");
	}

	// The entry closes the connection of a request that it refused.
	private static void writeUnlessRefused(Socket socket, int length) {
		try {
			socket.getOutputStream().write(BLOCK, 0, length);
		}
		catch (IOException ex) {
			// The response is read all the same.
		}
	}

	private Socket connect() throws IOException {
		HttpAddress callers = entry().address(Port.CALLERS);
		return new Socket(callers.host(), callers.port());
	}

	private FleetProcess entry() {
		return this.fleet.entries().get(0);
	}

	/**
	 * A call that makes the entry hold much.
	 */
	@FunctionalInterface
	private interface GreedyCall {

		String run(int number) throws Exception;

	}

}
