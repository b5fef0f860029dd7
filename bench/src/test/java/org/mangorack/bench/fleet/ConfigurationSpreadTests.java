package org.mangorack.bench.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.http.HttpAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the propagation of a configuration from the platform to all instances.
 */
class ConfigurationSpreadTests {

	// Spans several heartbeats, so that late duplicates are counted too.
	private static final Duration SETTLE_TIME = Duration.ofSeconds(1);

	private static final int KEEPERS = 3;

	private static final int ENTRIES = 4;

	private static final int ROUTES = 1400;

	@Test
	void aLargeConfigurationReachesEachInstanceInOneCopyAtMost(@TempDir Path folder)
			throws IOException, InterruptedException {
		try (TestFleetNodes fleet = new TestFleetNodes()) {
			fleet.start(folder, KEEPERS, 1);
			List<HttpAddress> callers = new ArrayList<>(List.of(fleet.callers()));
			while (callers.size() < ENTRIES) {
				fleet.startEntry(1);
				callers.add(fleet.callers());
			}
			for (HttpAddress entry : callers) {
				awaitRoute(entry, "/read/x");
			}
			Map<String, Double> before = fleet.documentsReceived();
			fleet.configure(2, withMoreRoutes(ROUTES));
			for (HttpAddress entry : callers) {
				awaitRoute(entry, "/added-" + (ROUTES - 1) + "/x");
			}
			TimeUnit.MILLISECONDS.sleep(SETTLE_TIME.toMillis());
			assertThat(fleet.documentsReceived()).hasSize(ENTRIES + KEEPERS)
				.allSatisfy(
						(instance, count) -> assertThat(count - before.get(instance)).as(instance).isBetween(0.0, 1.0));
		}
	}

	// The fleet has no upstream, so a request to a known route gets status 503.
	private static void awaitRoute(HttpAddress entry, String path) throws IOException, InterruptedException {
		TestFleetNodes.awaitResponse(entry, TestFleetNodes.request("GET", path, "probe", "", ""),
				(response) -> response.startsWith("HTTP/1.1 503") && response.contains("no_upstream"));
	}

	private static ObjectNode withMoreRoutes(int count) throws IOException {
		ObjectNode changes = TestFleetNodes.object("{\"routes\":[]}");
		ArrayNode routes = (ArrayNode) changes.get("routes");
		for (int i = 0; i < count; i++) {
			routes.addObject()
				.put("name", "added-" + i)
				.put("host", TestFleetNodes.HOST)
				.put("path_prefix", "/added-" + i + "/")
				.put("kind", "safe")
				.put("timeout_ms", 4000)
				.put("service", "pool")
				.put("max_attempts", 2);
		}
		return changes;
	}

}
