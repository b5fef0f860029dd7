package org.mangorack.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.bench.MixedLoad.Shape;
import org.mangorack.bench.load.CallerClient;
import org.mangorack.bench.plot.BarChart;
import org.mangorack.bench.standin.EngineStandIn;
import org.mangorack.bench.standin.EngineStandIn.Timing;

/**
 * Compares dispatch policies under mixed load of both deployments, with one workspace at
 * ten times its usual load and external traffic on two engines. Prints a table row per
 * run and writes {@code target/mixed-load.svg}. CI does not run this class.
 */
class MixedLoadMeasurements {

	private static final long SEED = 7;

	private static final int ENGINES = 6;

	private static final Timing TIMING = new Timing(40_000, 4_000_000, 700_000);

	private static final long CACHE_TOKENS = 120_000;

	private static final String GREEDY = "w0";

	private static final BarChart CHART = new BarChart("Latency of programs of modest workspaces", "milliseconds");

	@TempDir
	Path folder;

	@ParameterizedTest
	@CsvSource({ "consortium, fair, true, true", "consortium, fair, false, true", "consortium, fair, true, false",
			"consortium, round-robin, false, false", "consortium, least-loaded, false, false",
			"consortium, sticky, false, false", "repairs, fair, true, true", "repairs, fair, false, true",
			"repairs, fair, true, false", "repairs, round-robin, false, false", "repairs, least-loaded, false, false",
			"repairs, sticky, false, false" })
	void policies(String deployment, String policy, boolean adaptive, boolean affinity) throws Exception {
		List<EngineStandIn> engines = new ArrayList<>();
		try (TestFleet fleet = TestFleet.start(this.folder, 3, null)) {
			for (int i = 0; i < ENGINES; i++) {
				engines.add(new EngineStandIn(0, TIMING, CACHE_TOKENS));
				engines.get(i).start();
			}
			Map<String, Integer> callers = callers();
			Map<String, String> keys = fleet
				.apply(configuration(engines, callers.keySet(), policy, adaptive, affinity));
			boolean consortium = deployment.equals("consortium");
			Shape shape = consortium ? new Shape(5, 3000, 60, 12) : new Shape(6, 1200, 400, 15);
			List<Thread> others = otherTraffic(engines, shape.seconds());
			MixedLoad load = new MixedLoad(fleet, keys, shape);
			load.run(callers, SEED);
			for (Thread t : others) {
				t.join();
			}
			report(deployment, policy + (adaptive ? "+adaptive" : "") + (affinity ? "+affinity" : ""), load, engines);
		}
		finally {
			engines.forEach(EngineStandIn::close);
		}
	}

	@AfterAll
	static void plot() throws IOException {
		CHART.write(Path.of("target/mixed-load.svg"));
	}

	// ---- Helpers

	private static Map<String, Integer> callers() {
		Map<String, Integer> callers = new LinkedHashMap<>();
		callers.put(GREEDY, 60);
		callers.put("w1", 8);
		callers.put("w2", 8);
		for (int i = 3; i < 8; i++) {
			callers.put("w" + i, 2);
		}
		return callers;
	}

	private static ObjectNode configuration(List<EngineStandIn> engines, Iterable<String> workspaces, String policy,
			boolean adaptive, boolean affinity) {
		ObjectNode json = TestFleet.MAPPER.createObjectNode();
		ObjectNode all = json.putObject("workspaces");
		workspaces.forEach((w) -> all.putObject(w).putObject("rate").put("perSecond", 2000).put("burst", 2000));
		ObjectNode upstreams = json.putObject("upstreams");
		for (int i = 0; i < engines.size(); i++) {
			ObjectNode engine = upstreams.putObject("e" + i);
			engine.put("kind", "model").put("address", engines.get(i).address()).put("dataCentre", "dc1");
			engine.put("maxConcurrent", 6);
			engine.putArray("models").add("m");
		}
		json.putObject("dispatch").put("policy", policy).put("adaptive", adaptive).put("affinity", affinity);
		return json;
	}

	// Sends requests directly to two engines, as external clients that the system cannot
	// observe do.
	private static List<Thread> otherTraffic(List<EngineStandIn> engines, int seconds) {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		CallerClient client = new CallerClient(Duration.ofSeconds(60));
		List<Thread> threads = new ArrayList<>();
		for (int i = 0; i < 20; i++) {
			String address = engines.get(i % 2).address();
			Thread thread = new Thread(() -> {
				while (System.nanoTime() < deadline) {
					try {
						client.send("POST", address, "/v1/chat/completions", Map.of(),
								"{\"model\":\"m\",\"x_tokens\":100,\"messages\":[{\"role\":\"user\",\"content\":\"other\"}]}");
					}
					catch (Exception ex) {
						return;
					}
				}
			});
			thread.start();
			threads.add(thread);
		}
		return threads;
	}

	private static void report(String deployment, String name, MixedLoad load, List<EngineStandIn> engines) {
		List<Double> modest = new ArrayList<>();
		double worst = 0;
		int programs = 0;
		for (Map.Entry<String, List<Double>> e : load.latencies().entrySet()) {
			programs += e.getValue().size();
			if (!e.getKey().equals(GREEDY)) {
				modest.addAll(e.getValue());
				worst = Math.max(worst, percentile(e.getValue(), 0.5));
			}
		}
		modest.sort(null);
		long computed = engines.stream().mapToLong(EngineStandIn::computedTokens).sum();
		double p50 = percentile(modest, 0.5);
		double p99 = percentile(modest, 0.99);
		CHART.add(deployment + " " + name, "p50", p50);
		CHART.add(deployment + " " + name, "p99", p99);
		System.out.printf(
				"MEASURED %-10s %-24s programs %4d  modest p50 %6.0f ms  p99 %6.0f ms  worst workspace p50"
						+ " %6.0f ms  greedy p50 %6.0f ms  recomputed %4.0f%%  refused %d%n",
				deployment, name, programs, p50, p99, worst, percentile(load.latencies().get(GREEDY), 0.5),
				100.0 * Math.max(0, computed - load.newTokens()) / Math.max(1, load.newTokens()), load.refusals());
	}

	private static double percentile(List<Double> sorted, double share) {
		return sorted.isEmpty() ? Double.POSITIVE_INFINITY
				: sorted.get(Math.min(sorted.size() - 1, (int) (share * sorted.size())));
	}

}
