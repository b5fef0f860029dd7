package org.mangorack.bench.fleet;

import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that a planned stop of an entry leaves no request that was passed on without a
 * response.
 */
class PlannedStopTests {

	// Longer than the grace period of the entry, which is 8 s.
	private static final Duration LONG = Duration.ofSeconds(20);

	// Leaves some time between the end of other calls and that of streams.
	private static final Duration LONG_GRACE = Duration.ofSeconds(18);

	// After the entry has stopped accepting connections, and well before it ends.
	private static final long LATE_MILLIS = 4200;

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
		this.fleet.configureTimeout(2, LONG);
		ScriptedUpstream.sleep(TestFleetNodes.CONFIGURATION_APPLY.toMillis());
	}

	@AfterEach
	void stop() throws IOException {
		this.fleet.close();
		this.upstream.close();
	}

	// Guards against cutting a request that came late in the stop, on a connection that
	// was in use when the entry stopped accepting connections.
	@Test
	void aRequestOnAConnectionThatBecomesFreeLateIsNotCut() throws Exception {
		CountDownLatch streamEnd = new CountDownLatch(1);
		this.upstream.setScript((request, out, socket) -> {
			if (request.header("Request-Id").equals("late")) {
				ScriptedUpstream.sleep(LONG.toMillis());
				return false;
			}
			out.write(ScriptedUpstream
				.bytes(ScriptedUpstream.streamHead(request) + ScriptedUpstream.chunk("id: 1\ndata: e1\n\n")));
			out.flush();
			await(streamEnd);
			out.write(ScriptedUpstream.bytes("0\r\n\r\n"));
			return true;
		});
		try (Socket socket = this.fleet.connect()) {
			send(socket, request("/dialog/1", "stream", "x"));
			awaitReceived("stream");
			Thread stop = stopEntry();
			ScriptedUpstream.sleep(LATE_MILLIS);
			streamEnd.countDown();
			assertThat(TestFleetNodes.isComplete(TestFleetNodes.readResponse(socket))).isTrue();
			send(socket, request("/write/1", "late", "x"));
			String response = TestFleetNodes.readResponse(socket);
			assertThat(TestFleetNodes.isComplete(response) || !isReceived("late")).as(response).isTrue();
			stop.join();
		}
	}

	// Guards against passing on a request whose body ends so late that it may be cut.
	@Test
	void aRequestThatIsWholeTooLateIsRefusedAsNotRun() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			ScriptedUpstream.sleep(LONG.toMillis());
			return false;
		});
		try (Socket socket = this.fleet.connect()) {
			String body = "x".repeat(100);
			String whole = request("/write/1", "late", body);
			send(socket, whole.substring(0, whole.length() - body.length()));
			Thread stop = stopEntry();
			for (int i = 0; i < body.length(); i++) {
				ScriptedUpstream.sleep(LATE_MILLIS / body.length());
				send(socket, "x");
			}
			String response = TestFleetNodes.readResponse(socket);
			assertThat(response).startsWith("HTTP/1.1 503").contains("\"verdict\":\"not_run\"");
			assertThat(TestFleetNodes.isComplete(response)).isTrue();
			assertThat(isReceived("late")).isFalse();
			stop.join();
		}
	}

	// Guards against closing the connection of a request that outlasts the stop without a
	// response.
	@Test
	void aCallThatOutlastsTheGracePeriodIsAnswered() throws Exception {
		this.upstream.setScript((request, out, socket) -> {
			ScriptedUpstream.sleep(LONG.toMillis());
			return false;
		});
		try (Socket socket = this.fleet.connect()) {
			send(socket, request("/write/1", "long", "x"));
			awaitReceived("long");
			Thread stop = stopEntry();
			String response = TestFleetNodes.readResponse(socket);
			assertThat(response).startsWith("HTTP/1.1 502").contains("\"verdict\":\"may_have_run\"");
			assertThat(TestFleetNodes.isComplete(response)).isTrue();
			stop.join();
		}
	}

	@Test
	void aRequestThatDoesNotBecomeWholeIsRefusedAsNotRun() throws Exception {
		try (Socket socket = this.fleet.connect()) {
			String whole = request("/write/1", "partial", "xx");
			send(socket, whole.substring(0, whole.length() - 1));
			Thread stop = stopEntry();
			String response = TestFleetNodes.readResponse(socket);
			assertThat(TestFleetNodes.isComplete(response)).as(response).isTrue();
			assertThat(response).contains("\"verdict\":\"not_run\"");
			assertThat(isReceived("partial")).isFalse();
			stop.join();
		}
	}

	// Guards against cutting a stream earlier than needed, which cannot be answered
	// instead.
	@Test
	void aStreamGoesOnWhileOtherCallsAreEnded() throws Exception {
		CountDownLatch streamEnd = new CountDownLatch(1);
		this.upstream.setScript((request, out, socket) -> {
			if (request.header("Request-Id").equals("plain")) {
				ScriptedUpstream.sleep(LONG.multipliedBy(2).toMillis());
				return false;
			}
			out.write(ScriptedUpstream
				.bytes(ScriptedUpstream.streamHead(request) + ScriptedUpstream.chunk("id: 1\ndata: e1\n\n")));
			out.flush();
			await(streamEnd);
			out.write(ScriptedUpstream.bytes("0\r\n\r\n"));
			return true;
		});
		this.fleet.configureTimeout(3, LONG.multipliedBy(2));
		this.fleet.createEntry(0, LONG_GRACE);
		this.fleet.entry().start();
		this.fleet.awaitServing();
		try (Socket stream = this.fleet.connect(); Socket plain = this.fleet.connect()) {
			send(stream, request("/dialog/1", "stream", "x").replace(LONG.toMillis() + "", LONG.toMillis() * 2 + ""));
			awaitReceived("stream");
			send(plain, request("/write/1", "plain", "x").replace(LONG.toMillis() + "", LONG.toMillis() * 2 + ""));
			awaitReceived("plain");
			Thread stop = stopEntry();
			assertThat(TestFleetNodes.readResponse(plain)).startsWith("HTTP/1.1 502");
			streamEnd.countDown();
			assertThat(TestFleetNodes.isComplete(TestFleetNodes.readResponse(stream))).isTrue();
			stop.join();
		}
	}

	// Guards against taking connections that are cut when the process ends.
	@Test
	void anEntryThatIsStoppedDuringItsStartTakesNoConnections() throws Exception {
		this.fleet.createEntry(0, LONG_GRACE);
		this.fleet.entry().stop();
		this.fleet.entry().start();
		assertThatThrownBy(this.fleet::connect).isInstanceOf(ConnectException.class);
	}

	// ---- Helpers

	// Stops the entry and closes what the end of its process would close.
	private Thread stopEntry() {
		Thread stop = new Thread(() -> {
			this.fleet.entry().stop();
			this.fleet.entry().close();
		}, "stop");
		stop.start();
		return stop;
	}

	private static String request(String path, String id, String body) {
		return TestFleetNodes.request("POST", path, id, "", body)
			.replace("Time-Remaining: 4000", "Time-Remaining: " + LONG.toMillis());
	}

	private static void send(Socket socket, String text) throws IOException {
		try {
			socket.getOutputStream().write(ScriptedUpstream.bytes(text));
		}
		catch (SocketException ex) {
			// The entry has closed the connection.
		}
	}

	private void awaitReceived(String id) {
		long startedAt = System.nanoTime();
		while (!isReceived(id)) {
			assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAt)).isLessThan(30);
			ScriptedUpstream.sleep(20);
		}
	}

	private boolean isReceived(String id) {
		return this.upstream.received().stream().anyMatch((r) -> id.equals(r.header("Request-Id")));
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
