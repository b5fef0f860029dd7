package org.mangorack.bench.fleet;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what callers receive when a reservation is synced to the disk of the keepers
 * later than the deadline of its request.
 */
class LateReservationTests {

	private static final String HEADERS = "Program: p\r\nToken-Budget: 1000\r\nToken-Counts: 1,10\r\n";

	@TempDir
	Path folder;

	private TestFleetNodes fleet;

	private ScriptedUpstream upstream;

	private KeeperReplyProxy keeper;

	@BeforeEach
	void start() throws Exception {
		this.upstream = new ScriptedUpstream((request, out, socket) -> {
			out.write(request.start().contains("/read/") ? ScriptedUpstream.plain(request, "read")
					: ScriptedUpstream.stream(request, "one"));
			return true;
		});
		this.keeper = new KeeperReplyProxy();
		this.fleet = new TestFleetNodes();
		this.fleet.startServing(this.folder, this.upstream, this.keeper);
	}

	@AfterEach
	void stop() throws IOException {
		this.fleet.close();
		this.upstream.close();
		this.keeper.close();
	}

	// Guards against a response on a connection without a waiting request: the upstream's
	// whole stream was forwarded when the reservation was synced, although the request
	// had already been answered at its deadline.
	@ParameterizedTest
	@ValueSource(strings = { "/turns/1", "/dialog/1" })
	void aRequestAnsweredAtItsDeadlineGetsNoSecondResponse(String path) throws Exception {
		this.keeper.hold();
		try (Socket socket = this.fleet.connect()) {
			String request = TestFleetNodes.request("POST", path, "t1", HEADERS, "x")
				.replace("Time-Remaining: 4000", "Time-Remaining: 600");
			socket.getOutputStream().write(ScriptedUpstream.bytes(request));
			assertThat(TestFleetNodes.readResponse(socket)).startsWith("HTTP/1.1 504");
			this.keeper.release();
			ScriptedUpstream.sleep(300);
			assertThat(socket.getInputStream().available()).isZero();
			socket.getOutputStream()
				.write(ScriptedUpstream.bytes(TestFleetNodes.request("GET", "/read/1", "r2", "", "")));
			assertThat(TestFleetNodes.readResponse(socket)).startsWith("HTTP/1.1 200").contains("Request-Id: r2");
		}
	}

}
