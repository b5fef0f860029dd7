package org.mangorack.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import org.kohsuke.args4j.Option;

import org.mangorack.bench.BenchCommand;
import org.mangorack.bench.load.CallerClient.Answer;
import org.mangorack.bench.load.CallerClient.Turn;

/**
 * Runs a program of several turns followed by a service call that must not be executed
 * twice, and prints the latency and result of each step.
 */
public final class DemoCommand implements BenchCommand {

	@Option(name = "--instance", required = true, usage = "callers' address; may be repeated")
	private List<String> instances = new ArrayList<>();

	@Option(name = "--key", required = true)
	private String key;

	@Option(name = "--model")
	private String model = "findings";

	@Option(name = "--pool")
	private String pool = "records";

	@Option(name = "--turns")
	private int turns = 4;

	private final CallerClient client = new CallerClient(Duration.ofSeconds(30));

	@Override
	public int run() throws Exception {
		String program = "demo-" + UUID.randomUUID();
		for (int n = 1; n <= this.turns; n++) {
			String address = this.instances.get((n - 1) % this.instances.size());
			String text = CallerClient.uniqueText("finding " + n);
			boolean stream = n % 2 == 0;
			long startedAt = System.nanoTime();
			Answer answer = this.client.turn(address, this.key, new Turn(this.model, program, n, text, stream));
			boolean matches = (answer.status() == 200) && answer.text().startsWith("echo:" + text);
			report("turn " + n + (stream ? " (streamed)" : "") + " at " + address, startedAt, matches, answer);
			if (!matches) {
				return 1;
			}
		}
		return order(program) ? 0 : 1;
	}

	private boolean order(String program) throws Exception {
		Map<String, String> headers = Map.of("Authorization", "Bearer " + this.key, "Idempotency-Key",
				program + "-order", "Content-Type", "application/json");
		String path = "/v1/services/" + this.pool + "/orders";
		boolean passed = true;
		for (int i = 0; i < 2; i++) {
			String address = this.instances.get(i % this.instances.size());
			long startedAt = System.nanoTime();
			Answer answer = this.client.send("POST", address, path, headers, "{\"part\":\"gasket\"}");
			boolean once = (answer.status() == 200) && (answer.json().path("run").asInt() == 1);
			report("order" + ((i > 0) ? " repeated" : "") + " at " + address + ", run "
					+ answer.json().path("run").asText("?") + " time(s)", startedAt, once, answer);
			passed &= once;
		}
		long startedAt = System.nanoTime();
		Answer view = this.client.send("GET", this.instances.get(0), "/v1/programs/" + program,
				Map.of("Authorization", "Bearer " + this.key), null);
		report("program has " + view.json().path("turns").asText() + " turns", startedAt, view.status() == 200, view);
		Answer end = this.client.send("DELETE", this.instances.get(0), "/v1/programs/" + program,
				Map.of("Authorization", "Bearer " + this.key), null);
		report("program ended", startedAt, end.status() == 200, end);
		return passed && (view.json().path("turns").asInt() == this.turns) && (end.status() == 200);
	}

	private static void report(String step, long startedAt, boolean passed, Answer answer) {
		double millis = (System.nanoTime() - startedAt) / 1e6;
		System.out.printf("%-58s %8.1f ms  %s%n", step, millis, passed ? "ok" : "FAILED: " + answer.body());
	}

}
