package org.mangorack.bench.fleet;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the responses to requests whose route or key is unknown to the entry.
 */
class AbsenceTests {

	// Exceeds the number of requests that an entry holds at once.
	private static final int ABANDONED_REQUESTS = 300;

	private static final Duration MIN_HOLD_TIME = Duration.ofMillis(400);

	@ParameterizedTest
	@CsvSource({ "/nowhere/x, key-a, 404", "/read/x, key-z, 401", "/turns/x, key-z, 401" })
	void aRouteOrKeyIsNotReportedMissingFromAStaleConfiguration(String path, String key, int status,
			@TempDir Path folder) throws IOException, InterruptedException {
		try (TestFleetNodes fleet = new TestFleetNodes()) {
			fleet.start(folder, 1, 0);
			awaitStatus(fleet, path, key, status);
			fleet.store().setRefusing(true);
			TimeUnit.MILLISECONDS.sleep(TestFleetNodes.CONFIGURATION_APPLY.plusMillis(300).toMillis());
			assertThat(fleet.exchange(request(path, key))).startsWith("HTTP/1.1 503")
				.contains("not_run")
				.contains("retry-after");
			fleet.store().setRefusing(false);
			awaitStatus(fleet, path, key, status);
		}
	}

	@Test
	void disconnectedCallersDoNotCountAsWaiting(@TempDir Path folder) throws IOException, InterruptedException {
		try (TestFleetNodes fleet = new TestFleetNodes()) {
			fleet.start(folder, 1, 0);
			awaitStatus(fleet, "/nowhere/x", TestFleetNodes.KEY, 404);
			fleet.store().setRefusing(true);
			TimeUnit.MILLISECONDS.sleep(TestFleetNodes.CONFIGURATION_APPLY.plusMillis(300).toMillis());
			byte[] request = request("/nowhere/x", TestFleetNodes.KEY).getBytes(StandardCharsets.ISO_8859_1);
			List<Socket> leaving = new ArrayList<>();
			for (int i = 0; i < ABANDONED_REQUESTS; i++) {
				Socket socket = fleet.connect();
				leaving.add(socket);
				socket.getOutputStream().write(request);
			}
			for (Socket socket : leaving) {
				socket.close();
			}
			TimeUnit.MILLISECONDS.sleep(100);
			long startedAt = System.nanoTime();
			assertThat(fleet.exchange(request("/nowhere/x", TestFleetNodes.KEY))).startsWith("HTTP/1.1 503");
			assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isGreaterThan(MIN_HOLD_TIME);
		}
	}

	private static void awaitStatus(TestFleetNodes fleet, String path, String key, int status)
			throws IOException, InterruptedException {
		TestFleetNodes.awaitResponse(fleet.callers(), request(path, key),
				(response) -> response.startsWith("HTTP/1.1 " + status));
	}

	private static String request(String path, String key) {
		return TestFleetNodes.request("GET", path, "r", "", "").replace(TestFleetNodes.KEY, key);
	}

}
