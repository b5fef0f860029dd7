package org.mangorack.bench.fleet;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.http.HttpAddress;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that a closed fleet makes no more connections. Its ports may be reused by the
 * fleet of the next test, and an entry that still runs would send its newer configuration
 * to that fleet's keeper.
 */
class FleetIsolationTests {

	// Several times the delay after which an entry reconnects to a lost keeper.
	private static final int OBSERVATION_MS = 1000;

	@TempDir
	Path folder;

	@Test
	void nothingOfAClosedFleetCallsItsKeepersAgain() throws Exception {
		TestFleetNodes fleet = new TestFleetNodes();
		ScriptedUpstream upstream = new ScriptedUpstream((request, out, socket) -> {
			out.write(ScriptedUpstream.stream(request, "one"));
			return true;
		});
		try (fleet; upstream) {
			fleet.start(this.folder, 1, 0);
			fleet.addUpstream("u-1", upstream);
			fleet.awaitServing();
		}
		HttpAddress keeper = fleet.keeperAddress(0);
		try (ServerSocket next = new ServerSocket(keeper.port(), 1, InetAddress.getByName(keeper.host()))) {
			next.setSoTimeout(OBSERVATION_MS);
			assertThatThrownBy(next::accept).isInstanceOf(SocketTimeoutException.class);
		}
	}

}
