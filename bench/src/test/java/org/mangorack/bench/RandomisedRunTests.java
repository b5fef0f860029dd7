package org.mangorack.bench;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.bench.check.Attempt;
import org.mangorack.bench.check.HistoryChecker;
import org.mangorack.bench.load.CallerClient.Answer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests invariants in a seeded run of callers under random faults. The system properties
 * {@code mangorack.seed} and {@code mangorack.seconds} set the seed and the duration.
 */
class RandomisedRunTests {

	private static final int INSTANCES = 4;

	private static final int CALLERS = 10;

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	Path folder;

	@Test
	void invariantsHoldUnderRandomFaults() throws Exception {
		long seed = Long.getLong("mangorack.seed", 1);
		long seconds = Long.getLong("mangorack.seconds", 45);
		Record record = new Record(new ConcurrentLinkedQueue<>(), new ConcurrentLinkedQueue<>(),
				new ConcurrentLinkedQueue<>());
		try (TestFleet fleet = TestFleet.start(this.folder, INSTANCES)) {
			Random random = new Random(seed);
			long deadline = System.nanoTime() + Duration.ofSeconds(seconds).toNanos();
			RandomFaults faults = new RandomFaults(fleet, random.nextLong(), deadline);
			List<Thread> threads = new ArrayList<>();
			for (int i = 0; i < CALLERS; i++) {
				threads.add(new Thread(new RandomCaller(fleet, random.nextLong(), "c" + i, deadline, record), "c" + i));
			}
			threads.add(new Thread(faults, "faults"));
			threads.forEach(Thread::start);
			for (Thread t : threads) {
				t.join();
			}
			fleet.awaitSettled();
			System.out.println("seed " + seed + ": " + record.programs().size() + " programs, "
					+ record.attempts().size() + " attempts, " + faults.log().size() + " faults: " + faults.log());
			check(fleet, record);
		}
	}

	private void check(TestFleet fleet, Record record) throws Exception {
		HistoryChecker checker = new HistoryChecker(new ArrayList<>(record.attempts()));
		checker.checkAnswers();
		checker.checkCalls(fleet.service.runs());
		Member member = fleet.member(0);
		for (String program : record.programs()) {
			Answer answer = TestFleet.retry(() -> fleet.get(member, "/v1/programs/" + program + "/history"));
			List<String> messages = new ArrayList<>();
			if (answer.status() == 200) {
				for (JsonNode m : answer.json().path("messages")) {
					messages.add(m.path("content").asText());
				}
			}
			checker.checkHistory(program, messages);
		}
		assertThat(checker.violations()).isEmpty();
		assertThat(fleet.violations()).isZero();
		assertThat(fleet.engine1.leakedKeys()).isEmpty();
		assertThat(fleet.service.leakedKeys()).isEmpty();
		checkLogs();
		checkReleases(fleet, record);
	}

	private void checkLogs() throws Exception {
		for (int i = 1; i <= INSTANCES; i++) {
			List<String> lines = Files.readAllLines(this.folder.resolve("i" + i + ".log"));
			assertThat(lines).noneMatch((line) -> line.contains("\"event\":\"1999\""));
			assertThat(lines).noneMatch((line) -> line.contains("\"event\":\"1998\""));
		}
	}

	private void checkReleases(TestFleet fleet, Record record) throws Exception {
		fleet.await("engine memory of ended programs to be released", () -> {
			Map<String, Long> held1 = fleet.engine1.heldByProgram();
			Map<String, Long> held2 = fleet.engine2.heldByProgram();
			return record.ended()
				.stream()
				.noneMatch((p) -> held1.containsKey("north/" + p) || held2.containsKey("north/" + p));
		});
	}

	/**
	 * The history that callers recorded.
	 *
	 * @param attempts every attempt
	 * @param programs the programs that were started
	 * @param ended the programs that were ended
	 */
	record Record(Queue<Attempt> attempts, Queue<String> programs, Queue<String> ended) {
	}

}
