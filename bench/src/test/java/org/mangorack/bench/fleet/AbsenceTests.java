package org.mangorack.bench.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for what callers hear of routes and keys that an entry does not know.
 */
class AbsenceTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	@ParameterizedTest
	@CsvSource({ "/nowhere/x, key-a, 404", "/read/x, key-z, 401", "/turns/x, key-z, 401" })
	void aRouteOrKeyIsNotCalledMissingByACopyThatMayBeOld(String path, String key, int status, @TempDir Path folder)
			throws IOException, InterruptedException {
		try (TestFleetNodes fleet = new TestFleetNodes()) {
			fleet.start(folder, 1, 0);
			awaitStatus(fleet, path, key, status);
			fleet.store().setRefusing(true);
			TimeUnit.MILLISECONDS.sleep(TestFleetNodes.CONFIGURATION_APPLY.plusMillis(300).toMillis());
			assertThat(ask(fleet, path, key)).startsWith("HTTP/1.1 503").contains("not_run").contains("retry-after");
			fleet.store().setRefusing(false);
			awaitStatus(fleet, path, key, status);
		}
	}

	private static void awaitStatus(TestFleetNodes fleet, String path, String key, int status)
			throws IOException, InterruptedException {
		long startedAt = System.nanoTime();
		String answer = "";
		while (System.nanoTime() - startedAt < LIMIT.toNanos()) {
			answer = ask(fleet, path, key);
			if (answer.startsWith("HTTP/1.1 " + status)) {
				return;
			}
			TimeUnit.MILLISECONDS.sleep(50);
		}
		throw new IllegalStateException("no " + status + " within " + LIMIT + ": " + answer);
	}

	private static String ask(TestFleetNodes fleet, String path, String key) throws IOException {
		return fleet.exchange(TestFleetNodes.request("GET", path, "r", "", "").replace(TestFleetNodes.KEY, key));
	}

}
