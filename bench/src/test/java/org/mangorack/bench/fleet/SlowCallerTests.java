package org.mangorack.bench.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.bench.fleet.ScriptedUpstream.Received;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for callers that read their answers slowly. {@link EntryMemoryTests} covers the
 * limit of the memory.
 */
class SlowCallerTests {

	private static final String EVENT = "data: " + "x".repeat(16 * 1024) + "\n\n";

	// More than the buffers of the connections take, and less than the memory budget.
	private static final int EVENTS = 768;

	private static final int RECEIVE_BUFFER = 4096;

	@TempDir
	Path folder;

	private final AtomicLong written = new AtomicLong();

	private final CountDownLatch whole = new CountDownLatch(1);

	private TestFleetNodes fleet;

	private ScriptedUpstream upstream;

	@BeforeEach
	void start() throws Exception {
		this.upstream = new ScriptedUpstream(this::respond);
		this.fleet = new TestFleetNodes();
		this.fleet.startServing(this.folder, this.upstream);
	}

	@AfterEach
	void stop() throws IOException {
		this.fleet.close();
		this.upstream.close();
	}

	// Guards against memory for slow callers that the limit does not see, or that is
	// still counted when they have left.
	@Test
	void whatIsHeldForASlowCallerIsCountedUntilItLeaves() throws Exception {
		await(() -> this.fleet.heldBytes() == 0);
		try (Socket socket = slowCaller()) {
			socket.getOutputStream().write(ScriptedUpstream.bytes(slowRequest()));
			await(() -> this.fleet.heldBytes() >= EVENT.length());
			ScriptedUpstream.sleep(500);
			assertThat(this.fleet.heldBytes()).isGreaterThanOrEqualTo(EVENT.length());
		}
		await(() -> this.fleet.heldBytes() == 0);
	}

	// Guards against a caller that makes others wait because it does not read.
	@Test
	void aSlowCallerDoesNotDelayOthers() throws Exception {
		try (Socket socket = slowCaller()) {
			socket.getOutputStream().write(ScriptedUpstream.bytes(slowRequest()));
			await(() -> this.written.get() > 0);
			for (int i = 0; i < 50; i++) {
				long startedAt = System.nanoTime();
				assertThat(this.fleet.exchange(TestFleetNodes.request("POST", "/turns/1", "t" + i, "", "x")))
					.startsWith("HTTP/1.1 200")
					.endsWith("\r\n0\r\n\r\n");
				assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)).isLessThan(1000);
			}
		}
	}

	// Guards against upstreams that cut off an answer because it stays unread for some
	// seconds while its caller reads slowly.
	@Test
	@Tag("known-red")
	void anAnswerIsTakenFromTheUpstreamWhileItsCallerDoesNotRead() throws Exception {
		try (Socket socket = slowCaller()) {
			socket.getOutputStream().write(ScriptedUpstream.bytes(slowRequest()));
			assertThat(this.whole.await(2500, TimeUnit.MILLISECONDS))
				.as("bytes that the upstream could write of %d, and that the entry holds: %d, %.0f",
						(long) EVENTS * EVENT.length(), this.written.get(), this.fleet.heldBytes())
				.isTrue();
		}
	}

	private boolean respond(Received request, OutputStream out, Socket socket) throws IOException {
		if (!request.start().contains("/dialog/")) {
			out.write(ScriptedUpstream.stream(request, "one", "two"));
			return true;
		}
		out.write(ScriptedUpstream.bytes(ScriptedUpstream.streamHead(request)));
		for (int number = 1; number <= EVENTS; number++) {
			out.write(ScriptedUpstream.bytes(ScriptedUpstream.chunk("id: " + number + "\n" + EVENT)));
			this.written.addAndGet(EVENT.length());
		}
		out.write(ScriptedUpstream.bytes("0\r\n\r\n"));
		this.whole.countDown();
		return true;
	}

	private Socket slowCaller() throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(RECEIVE_BUFFER);
		socket.connect(new InetSocketAddress(this.fleet.callers().host(), this.fleet.callers().port()));
		return socket;
	}

	private static String slowRequest() {
		return TestFleetNodes.request("POST", "/dialog/1", "slow", "", "x");
	}

	private static void await(Supplier<Boolean> condition) {
		long startedAt = System.nanoTime();
		while (!condition.get()) {
			assertThat(TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAt)).isLessThan(10);
			ScriptedUpstream.sleep(20);
		}
	}

}
