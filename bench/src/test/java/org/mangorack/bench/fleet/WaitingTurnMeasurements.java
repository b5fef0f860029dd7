package org.mangorack.bench.fleet;

import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Measures the heap that a turn takes at an entry while it waits for room. Not part of
 * the tests that CI runs; to run it, name the class on the command line.
 */
class WaitingTurnMeasurements {

	private static final int WAITING = 60;

	// Together more than 1.25 calls for each of the eight slots.
	private static final int HELD = 11;

	@TempDir
	Path folder;

	// The connections exist and have carried a request before the first measurement.
	@Test
	void heapOfAWaitingTurn() throws Exception {
		CountDownLatch released = new CountDownLatch(1);
		List<Socket> sockets = new ArrayList<>();
		try (ScriptedUpstream upstream = new ScriptedUpstream((request, out, socket) -> {
			if (request.header("Request-Id").startsWith("hold")) {
				try {
					released.await(60, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
			out.write(request.start().contains("/turns/") ? ScriptedUpstream.stream(request, "one")
					: ScriptedUpstream.plain(request, "done"));
			return true;
		}); TestFleetNodes fleet = new TestFleetNodes()) {
			fleet.startServing(this.folder, upstream);
			fleet.configure(2, TestFleetNodes
				.object("""
						{"routes":[
						{"name":"turns","host":"check.example","path_prefix":"/turns/","kind":"streaming",
						"timeout_ms":20000,"service":"pool","retains_context":true,"retention_s":60},
						{"name":"read","host":"check.example","path_prefix":"/read/","kind":"safe","timeout_ms":4000,
						"service":"pool"}],"services":[{"name":"pool","connection_limit":100,"engine":{"tokens_per_event":12,
						"kv_cache_tokens":54287,"kv_token_bytes":163840}}]}"""));
			TestFleetNodes.awaitResponse(fleet.callers(),
					TestFleetNodes.request("POST", "/turns/1", "large", "Prompt-Prefix: a:99999\r\n", "x"),
					(r) -> r.contains("request_too_large"));
			for (int i = 0; i < WAITING + HELD; i++) {
				Socket socket = fleet.connect();
				sockets.add(socket);
				socket.getOutputStream()
					.write(ScriptedUpstream.bytes(TestFleetNodes.request("GET", "/read/1", "r" + i, "", "")));
				TestFleetNodes.readResponse(socket);
			}
			for (int i = 0; i < HELD; i++) {
				send(sockets.get(WAITING + i), "hold-" + i);
				ScriptedUpstream.sleep(50);
			}
			long before = usedBytes();
			for (int i = 0; i < WAITING; i++) {
				send(sockets.get(i), "wait-" + i);
			}
			ScriptedUpstream.sleep(300);
			long after = usedBytes();
			long reached = upstream.received()
				.stream()
				.filter((r) -> r.header("Request-Id").startsWith("wait"))
				.count();
			System.out.printf("MEASURED %d bytes of heap for each of %d waiting turns (%d reached the engine)%n",
					(after - before) / WAITING, WAITING, reached);
			assertThat(reached).isZero();
			released.countDown();
			for (Socket socket : sockets) {
				socket.close();
			}
		}
	}

	private static void send(Socket socket, String id) throws Exception {
		socket.getOutputStream()
			.write(ScriptedUpstream.bytes(TestFleetNodes.request("POST", "/turns/1", id,
					"Program: p\r\nSession: s-" + id + "\r\nProgram-Time-Remaining: 4000\r\nToken-Counts: 1166,72\r\n"
							+ "Prompt-Prefix: a1:512,b1:654\r\n",
					"x")
				.replace("Time-Remaining: 4000\r\nAuth", "Time-Remaining: 20000\r\nAuth")));
	}

	private static long usedBytes() {
		for (int i = 0; i < 4; i++) {
			System.gc();
			ScriptedUpstream.sleep(50);
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
