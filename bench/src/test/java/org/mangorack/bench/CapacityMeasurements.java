package org.mangorack.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.bench.load.CallerClient.Answer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Measures how resource usage grows with the number of instances, programs and
 * workspaces; docs/CAPACITY.md is derived from the results. Each measurement prints one
 * line per size. CI does not run this class; select it on the command line.
 */
class CapacityMeasurements {

	private static final int IDLE_SECONDS = 20;

	@TempDir
	Path folder;

	@ParameterizedTest
	@ValueSource(ints = { 2, 4, 8 })
	void instances(int count) throws Exception {
		try (TestFleet fleet = TestFleet.start(this.folder, count, null)) {
			TimeUnit.SECONDS.sleep(15);
			Map<String, Long> before = fleet.platform.counts();
			long bytes = bytes(fleet);
			long ticks = ticks(fleet);
			TimeUnit.SECONDS.sleep(IDLE_SECONDS);
			double calls = calls(fleet, before, "");
			double writes = calls(fleet, before, "P");
			report("instances=%d idle: cpu %.2f%% of a core, rss %d MB, %.2f KB/s control traffic each;"
					+ " platform: %.2f calls/s, %.2f writes/s in all", count,
					(ticks(fleet) - ticks) / (double) IDLE_SECONDS / count, rss(fleet) / count,
					(bytes(fleet) - bytes) / 1024.0 / IDLE_SECONDS / count, calls / IDLE_SECONDS,
					writes / IDLE_SECONDS);
		}
	}

	@ParameterizedTest
	@CsvSource({ "200, 100", "800, 100", "2400, 100", "100, 4000", "100, 16000", "100, 64000" })
	void programs(int count, int textLength) throws Exception {
		try (TestFleet fleet = TestFleet.start(this.folder, 3, null)) {
			TimeUnit.SECONDS.sleep(2);
			long rss = rss(fleet);
			Map<String, Long> before = fleet.platform.counts();
			long startedAt = System.nanoTime();
			runPrograms(fleet, count, textLength);
			double seconds = (System.nanoTime() - startedAt) / 1e9;
			double writes = calls(fleet, before, "POST segments");
			long rssIncrease = rss(fleet) - rss;
			Member owner = fleet.owner("p0");
			Member entry = fleet.other(owner);
			Map<String, Long> beforeKill = fleet.platform.counts();
			fleet.kill(owner);
			long killedAt = System.nanoTime();
			Answer answer = TestFleet.retry(() -> fleet.turn(entry, "p0", 3, "after"));
			double outageSeconds = (System.nanoTime() - killedAt) / 1e9;
			assertThat(answer.status()).isEqualTo(200);
			report("programs=%d text=%d bytes a turn: %.0f turns/s, %.1f segment writes per 100 turns, rss +%d MB in all;"
					+ " kill: no service for %.2f s, %.0f segment reads", count, textLength, 2 * count / seconds,
					writes / (2 * count) * 100, rssIncrease, outageSeconds, calls(fleet, beforeKill, "GET segments"));
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 10, 500, 4900 })
	void workspaces(int count) throws Exception {
		try (TestFleet fleet = TestFleet.start(this.folder, 3, null)) {
			long rss = rss(fleet);
			writeWorkspaces(fleet, count);
			long size = Files.size(fleet.configurationFolder().resolve("20-more.json"));
			List<Double> times = new ArrayList<>();
			Map<String, Long> before = fleet.platform.counts();
			for (int i = 0; i < 5; i++) {
				long startedAt = System.nanoTime();
				fleet.operate(0, "config", "apply", fleet.configurationFolder().toString());
				times.add((System.nanoTime() - startedAt) / 1e9);
			}
			times.sort(null);
			report("workspaces=%d (%d KB): a change is in force everywhere after %.2f s (median), %.2f s (longest of 5);"
					+ " %.1f platform writes a change; rss +%d MB in all", count, size / 1024, times.get(2),
					times.get(4),
					(calls(fleet, before, "PUT configurations") + calls(fleet, before, "POST configurations")) / 5,
					rss(fleet) - rss);
		}
	}

	// ---- Helpers

	private static void runPrograms(TestFleet fleet, int count, int textLength) throws Exception {
		ExecutorService callers = Executors.newFixedThreadPool(24);
		String text = "x".repeat(textLength);
		List<Future<Integer>> results = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			String program = "p" + i;
			Member member = fleet.member(i % 3);
			results.add(callers.submit(() -> {
				int first = fleet.turn(member, program, 1, text).status();
				return (first == 200) ? fleet.turn(member, program, 2, text).status() : first;
			}));
		}
		for (Future<Integer> result : results) {
			assertThat(result.get()).isEqualTo(200);
		}
		callers.shutdown();
	}

	private static void writeWorkspaces(TestFleet fleet, int count) throws IOException {
		ObjectNode json = TestFleet.MAPPER.createObjectNode();
		ObjectNode workspaces = json.putObject("workspaces");
		for (int i = 0; i < count; i++) {
			workspaces.putObject("workspace-" + i).putObject("rate").put("perSecond", 10).put("burst", 20);
		}
		Files.writeString(fleet.configurationFolder().resolve("20-more.json"), json.toString());
	}

	private static double calls(TestFleet fleet, Map<String, Long> before, String prefix) {
		return fleet.platform.counts()
			.entrySet()
			.stream()
			.filter((e) -> e.getKey().startsWith(prefix))
			.mapToLong((e) -> e.getValue() - before.getOrDefault(e.getKey(), 0L))
			.sum();
	}

	private static long bytes(TestFleet fleet) {
		return fleet.members().stream().mapToLong((m) -> m.platformProxy.bytes() + m.peerProxy.bytes()).sum();
	}

	private static long ticks(TestFleet fleet) throws IOException {
		long sum = 0;
		for (Member m : fleet.members()) {
			String stat = Files.readString(Path.of("/proc/" + m.process.pid() + "/stat"));
			String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
			sum += Long.parseLong(fields[11]) + Long.parseLong(fields[12]);
		}
		return sum;
	}

	// Returns the resident set size of all live instances, in megabytes.
	private static long rss(TestFleet fleet) throws IOException {
		long sum = 0;
		for (Member m : fleet.members()) {
			if (m.process.isAlive()) {
				String status = Files.readString(Path.of("/proc/" + m.process.pid() + "/status"));
				String line = status.lines().filter((l) -> l.startsWith("VmRSS")).findFirst().orElseThrow();
				sum += Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
			}
		}
		return sum;
	}

	private static void report(String format, Object... values) {
		System.out.println("MEASURED " + String.format(format, values));
	}

}
