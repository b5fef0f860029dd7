package org.mangorack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.mangorack.bench.load.CallerClient.Answer;

/**
 * Generates load from callers of many workspaces, each running its programs one after the
 * other.
 */
final class MixedLoad {

	private static final int CHARS_PER_TOKEN = 4;

	private final TestFleet fleet;

	private final Map<String, String> keys;

	private final Shape shape;

	private final long deadline;

	private final Map<String, List<Double>> latencies = new ConcurrentHashMap<>();

	private final AtomicInteger refusals = new AtomicInteger();

	private final AtomicLong newTokens = new AtomicLong();

	MixedLoad(TestFleet fleet, Map<String, String> keys, Shape shape) {
		this.fleet = fleet;
		this.keys = keys;
		this.shape = shape;
		this.deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(shape.seconds());
	}

	/**
	 * Runs the callers until the duration of the load has elapsed.
	 * @param callers the number of concurrent programs by workspace
	 * @param seed the seed for the random programs
	 * @throws InterruptedException if the thread is interrupted
	 */
	void run(Map<String, Integer> callers, long seed) throws InterruptedException {
		Random random = new Random(seed);
		List<Thread> threads = new ArrayList<>();
		callers.forEach((workspace, count) -> {
			this.latencies.put(workspace, new ArrayList<>());
			for (int i = 0; i < count; i++) {
				long callerSeed = random.nextLong();
				String name = workspace + "-" + i + "-" + seed;
				threads.add(new Thread(() -> call(workspace, name, new Random(callerSeed))));
			}
		});
		threads.forEach(Thread::start);
		for (Thread t : threads) {
			t.join();
		}
	}

	/**
	 * Returns the latencies of complete programs in milliseconds, sorted.
	 * @return the latencies by workspace
	 */
	Map<String, List<Double>> latencies() {
		Map<String, List<Double>> sorted = new TreeMap<>(this.latencies);
		sorted.values().forEach((list) -> list.sort(null));
		return sorted;
	}

	int refusals() {
		return this.refusals.get();
	}

	/**
	 * Returns the number of prompt tokens that were sent for the first time. An engine
	 * with an unlimited cache computes only these.
	 * @return the number of tokens
	 */
	long newTokens() {
		return this.newTokens.get();
	}

	private void call(String workspace, String name, Random random) {
		for (int n = 0; System.nanoTime() < this.deadline; n++) {
			long startedAt = System.nanoTime();
			try {
				if (runProgram(workspace, name + "-" + n, random) && (System.nanoTime() < this.deadline)) {
					List<Double> list = this.latencies.get(workspace);
					synchronized (list) {
						list.add((System.nanoTime() - startedAt) / 1e6);
					}
				}
			}
			catch (Exception ex) {
				this.refusals.incrementAndGet();
			}
		}
	}

	private boolean runProgram(String workspace, String program, Random random) throws Exception {
		int answerChars = 0;
		for (int turn = 1; turn <= this.shape.turns(); turn++) {
			String text = "x".repeat(this.shape.chars() / 2 + random.nextInt(this.shape.chars())) + turn;
			this.newTokens.addAndGet((text.length() + answerChars) / CHARS_PER_TOKEN + 2);
			Answer answer = this.fleet.turnWithKey(this.fleet.member(random.nextInt(3)), this.keys.get(workspace),
					program, turn, text);
			if (answer.status() != 200) {
				this.refusals.incrementAndGet();
				TimeUnit.MILLISECONDS.sleep(200);
				return false;
			}
			answerChars = answer.text().length();
			TimeUnit.MILLISECONDS.sleep(this.shape.pauseMillis() / 2 + random.nextInt(this.shape.pauseMillis()));
		}
		return true;
	}

	/**
	 * The shape of programs.
	 *
	 * @param turns the number of turns of a program
	 * @param chars the mean length of a new message, in characters
	 * @param pauseMillis the mean pause between turns, in milliseconds
	 * @param seconds the duration of the load, in seconds
	 */
	record Shape(int turns, int chars, int pauseMillis, int seconds) {
	}

}
