package org.mangorack.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.call.Prompt;
import org.mangorack.observe.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Measures the time of decisions about turns of large models, and the memory of a waiting
 * turn. Not part of the tests that CI runs; to run it, name the class on the command
 * line.
 */
class TurnPlacementMeasurements {

	private static final int ROUNDS = 20_000;

	private static final int MEMORY_TURNS = 100_000;

	private static final Duration MAX_WAIT = Duration.ofHours(1);

	@ParameterizedTest
	@CsvSource({ "40, false", "40, true", "300, false" })
	void choose(int engineCount, boolean byHash) {
		List<TestCandidate> engines = new ArrayList<>();
		SplittableRandom random = new SplittableRandom(1);
		for (int i = 0; i < engineCount; i++) {
			engines.add(new TestCandidate("engine-" + i, "dc" + (i % 3)).load(random.nextDouble() * 0.7));
		}
		PromptPlacement<TestCandidate> placement = new PromptPlacement<>(random, "dc0",
				new UpstreamSubset("entry-1", "dc0"));
		Prompt prompt = Prompt.parse("a1:512,b2:654,c3:1300");
		EngineTimes times = new EngineTimes();
		KeptPrompt kept = new KeptPrompt("engine-7", 1800);
		double micros = micros(() -> {
			KeptPrompt known = byHash ? PromptPlacement.home(engines, prompt, 1) : kept;
			assertThat((Object) placement.choose(engines, prompt, known, times, 1)).isNotNull();
		});
		System.out.printf("MEASURED engines=%d byHash=%b: %.1f us per choice%n", engineCount, byHash, micros);
	}

	// The turn that was polled is added again, so that the size stays the same.
	@ParameterizedTest
	@CsvSource({ "64, 20", "500, 20", "500, 500" })
	void poll(int waiting, int workspaces) {
		TurnQueue<Turn> queue = new TurnQueue<>(MonotonicClock.SYSTEM, waiting);
		SplittableRandom random = new SplittableRandom(1);
		for (int i = 0; i < waiting; i++) {
			queue.offer(new Turn("workspace-" + (i % workspaces), random.nextInt(3), random.nextBoolean(),
					random.nextInt(4000), 1000 + random.nextInt(3000)), MAX_WAIT);
		}
		double micros = micros(() -> queue.offer(queue.poll().orElseThrow(), MAX_WAIT));
		System.out.printf("MEASURED waiting=%d workspaces=%d: %.1f us per turn polled and added%n", waiting, workspaces,
				micros);
		assertThat(queue.size()).isEqualTo(waiting);
	}

	// Counts the entry of the queue and its deadline, without the turn itself.
	@Test
	void memoryOfAnEntryOfTheQueue() {
		Turn turn = new Turn("w", 0, true, 1, 1);
		offerAll(new TurnQueue<>(MonotonicClock.SYSTEM, 1000), turn, 1000);
		TurnQueue<Turn> queue = new TurnQueue<>(MonotonicClock.SYSTEM, MEMORY_TURNS);
		long before = usedBytes();
		offerAll(queue, turn, MEMORY_TURNS);
		long after = usedBytes();
		System.out.printf("MEASURED %.0f bytes for each entry of the queue%n",
				(after - before) / (double) MEMORY_TURNS);
		assertThat(queue.size()).isEqualTo(MEMORY_TURNS);
	}

	private static void offerAll(TurnQueue<Turn> queue, Turn turn, int count) {
		for (int i = 0; i < count; i++) {
			queue.offer(turn, MAX_WAIT);
		}
	}

	private static long usedBytes() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static double micros(Runnable decision) {
		run(decision);
		long startedAt = System.nanoTime();
		run(decision);
		return (System.nanoTime() - startedAt) / 1000.0 / ROUNDS;
	}

	private static void run(Runnable decision) {
		for (int i = 0; i < ROUNDS; i++) {
			decision.run();
		}
	}

	/**
	 * A turn that never changes.
	 *
	 * @param workspace the workspace
	 * @param priority the priority
	 * @param isBegun whether the program has begun
	 * @param dueAt when the program is due
	 * @param workTokens the size
	 */
	private record Turn(String workspace, int priority, boolean isBegun, long dueAt,
			long workTokens) implements QueuedTurn {
	}

}
