package org.mangorack.bench.load;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.kohsuke.args4j.Option;

import org.mangorack.bench.BenchCommand;
import org.mangorack.bench.load.CallerClient.Answer;

/**
 * Measures the latency that an instance adds to a call compared with calling the service
 * directly. Both kinds of calls are sent concurrently at the same rate, so that they are
 * subject to the same conditions.
 */
public final class OverheadCommand implements BenchCommand {

	@Option(name = "--instance", required = true, usage = "callers' address; may be repeated")
	private List<String> instances = new ArrayList<>();

	@Option(name = "--direct", required = true, usage = "address of the stand-in")
	private String direct;

	@Option(name = "--key", required = true)
	private String key;

	@Option(name = "--path")
	private String path = "/v1/services/records/history/1";

	@Option(name = "--direct-path")
	private String directPath = "/history/1";

	@Option(name = "--rate", usage = "calls a second through the instances; as many go to the stand-in")
	private int rate = 300;

	@Option(name = "--seconds")
	private int seconds = 10;

	@Option(name = "--runs")
	private int runs = 3;

	private final CallerClient client = new CallerClient(Duration.ofSeconds(10));

	@Override
	public int run() throws Exception {
		measure(3, new Latencies(), new Latencies());
		System.out
			.println("run  calls  failed  direct p50  direct p99  through p50  through p99  added p50  added p99");
		for (int i = 1; i <= this.runs; i++) {
			Latencies directLatencies = new Latencies();
			Latencies relayedLatencies = new Latencies();
			measure(this.seconds, directLatencies, relayedLatencies);
			System.out.printf("%3d  %5d  %6d  %7.2f ms  %7.2f ms  %8.2f ms  %8.2f ms  %6.2f ms  %6.2f ms%n", i,
					relayedLatencies.count(), relayedLatencies.failures() + directLatencies.failures(),
					directLatencies.percentile(0.5), directLatencies.percentile(0.99), relayedLatencies.percentile(0.5),
					relayedLatencies.percentile(0.99),
					relayedLatencies.percentile(0.5) - directLatencies.percentile(0.5),
					relayedLatencies.percentile(0.99) - directLatencies.percentile(0.99));
		}
		return 0;
	}

	private void measure(int duration, Latencies directLatencies, Latencies relayedLatencies)
			throws InterruptedException {
		ExecutorService threads = Executors.newFixedThreadPool(64);
		long interval = 1_000_000_000L / this.rate;
		long startedAt = System.nanoTime();
		int calls = this.rate * duration;
		for (int i = 0; i < calls; i++) {
			long at = startedAt + (i * interval);
			TimeUnit.NANOSECONDS.sleep(at - System.nanoTime());
			String instance = this.instances.get(i % this.instances.size());
			threads.execute(
					() -> call(instance, this.path, Map.of("Authorization", "Bearer " + this.key), relayedLatencies));
			threads.execute(() -> call(this.direct, this.directPath, Map.of(), directLatencies));
		}
		threads.shutdown();
		threads.awaitTermination(30, TimeUnit.SECONDS);
	}

	private void call(String address, String target, Map<String, String> headers, Latencies latencies) {
		long startedAt = System.nanoTime();
		try {
			Answer answer = this.client.send("GET", address, target, headers, null);
			if (answer.status() == 200) {
				latencies.add(System.nanoTime() - startedAt);
			}
			else {
				latencies.fail();
			}
		}
		catch (IOException ex) {
			latencies.fail();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
