package org.mangorack.bench.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for what callers hear of routes and keys that an entry does not know.
 */
class AbsenceTests {

	@ParameterizedTest
	@CsvSource({ "/nowhere/x, key-a, 404", "/read/x, key-z, 401", "/turns/x, key-z, 401" })
	void aRouteOrKeyIsNotCalledMissingByACopyThatMayBeOld(String path, String key, int status, @TempDir Path folder)
			throws IOException, InterruptedException {
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

	private static void awaitStatus(TestFleetNodes fleet, String path, String key, int status)
			throws IOException, InterruptedException {
		TestFleetNodes.awaitAnswer(fleet.callers(), request(path, key),
				(answer) -> answer.startsWith("HTTP/1.1 " + status));
	}

	private static String request(String path, String key) {
		return TestFleetNodes.request("GET", path, "r", "", "").replace(TestFleetNodes.KEY, key);
	}

}
