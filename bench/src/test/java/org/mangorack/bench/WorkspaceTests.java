package org.mangorack.bench;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.bench.fault.LinkFault;
import org.mangorack.bench.load.CallerClient.Answer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for keys, rate limits, configuration and upstreams under the faults that they
 * must tolerate.
 */
class WorkspaceTests {

	// Maximum number of turns that the product accepts for a program.
	private static final int MAX_TURNS = 250;

	private static final double SOUTH_RATE = 40;

	private static final double SOUTH_BURST = 20;

	@TempDir
	Path folder;

	private TestFleet fleet;

	@BeforeEach
	void start() throws Exception {
		this.fleet = TestFleet.start(this.folder, 3);
	}

	@AfterEach
	void stop() throws Exception {
		this.fleet.close();
	}

	@Test
	void withdrawnKeyStopsWorkingOnOpenConnections() throws Exception {
		String key = southKey();
		this.fleet.operate(0, "key", "withdraw", key);
		for (Member m : this.fleet.members()) {
			this.fleet.await("the key to stop working at " + m.name, () -> read(m, key, "x").status() == 401);
			Answer answer = read(m, key, "x");
			assertThat(answer.json().path("verdict").asText()).isEqualTo("not_run");
		}
	}

	@Test
	void instanceThatCannotLearnOfWithdrawalRefusesKeyedWork() throws Exception {
		String key = southKey();
		Member cut = this.fleet.member(2);
		this.fleet.cutPlatform(cut, LinkFault.SILENT);
		this.fleet.operate(0, "key", "withdraw", key);
		this.fleet.await("the instance to refuse keyed work", () -> {
			Answer answer = read(cut, key, "x");
			return (answer.status() == 503) && answer.json().path("title").asText().equals("cut_off");
		});
		assertThat(read(cut, key, "x").json().path("verdict").asText()).isEqualTo("not_run");
		this.fleet.cutPlatform(cut, LinkFault.NONE);
		this.fleet.await("the instance to know of the withdrawal", () -> read(cut, key, "x").status() == 401);
	}

	@Test
	void objectsAreNotReportedMissingDuringAnOutage() throws Exception {
		Member member = this.fleet.member(0);
		this.fleet.writeConfiguration(Map.of("maxTurns", 1));
		this.fleet.operate(0, "config", "apply", this.fleet.configurationFolder().toString());
		String program = "long-" + UUID.randomUUID();
		assertThat(this.fleet.turn(member, program, 1, "one").status()).isEqualTo(200);
		Map<String, Callable<Answer>> missing = missing(member);
		missing.put("too_many_turns", () -> this.fleet.turn(member, program, 2, "two"));
		missing.put("unknown_workspace", () -> this.fleet.createKey(member, "nowhere"));
		for (Map.Entry<String, Callable<Answer>> call : missing.entrySet()) {
			assertThat(call.getValue().call().json().path("title").asText()).isEqualTo(call.getKey());
		}
		this.fleet.platform.setDown(true);
		TimeUnit.SECONDS.sleep(4);
		for (Map.Entry<String, Callable<Answer>> call : missing.entrySet()) {
			Answer answer = whileServing(call.getValue());
			assertThat(answer.status()).as(answer.body()).isEqualTo(503);
			assertThat(answer.json().path("title").asText()).as(call.getKey()).isEqualTo("copies_unconfirmed");
			assertThat(answer.json().path("verdict").asText()).isEqualTo("not_run");
			assertThat(answer.headers()).containsKey("retry-after");
		}
		assertThat(whileServing(() -> read(member, this.fleet.key(), "x")).status()).isEqualTo(200);
		this.fleet.platform.setDown(false);
		for (Map.Entry<String, Callable<Answer>> call : missing.entrySet()) {
			this.fleet.await("the answer " + call.getKey(),
					() -> call.getValue().call().json().path("title").asText().equals(call.getKey()));
		}
	}

	@Test
	void rateLimitHoldsAcrossInstancesWhileOneIsKilled() throws Exception {
		String key = southKey();
		TimeUnit.MILLISECONDS.sleep(600);
		long startedAt = System.nanoTime();
		AtomicInteger refused = new AtomicInteger();
		List<Thread> senders = new ArrayList<>();
		long deadline = startedAt + TimeUnit.SECONDS.toNanos(9);
		for (int i = 0; i < 12; i++) {
			Member member = this.fleet.member(i % 3);
			int sender = i;
			senders.add(new Thread(() -> flood(member, key, sender, deadline, refused)));
		}
		senders.forEach(Thread::start);
		TimeUnit.SECONDS.sleep(3);
		Member owner = this.fleet.members()
			.stream()
			.filter((m) -> m.name.equals(ownerUnchecked("rate|south")))
			.findFirst()
			.orElseThrow();
		this.fleet.kill(owner);
		for (Thread t : senders) {
			t.join();
		}
		double seconds = (System.nanoTime() - startedAt) / 1e9;
		long ran = this.fleet.service.runs().keySet().stream().filter((k) -> k.contains("flood")).count();
		assertThat((double) ran).isLessThanOrEqualTo(SOUTH_BURST + (SOUTH_RATE * seconds));
		assertThat(refused.get()).isPositive();
	}

	@Test
	void nothingInsideTheRateIsRefused() throws Exception {
		String key = southKey();
		List<CompletableFuture<Integer>> answers = new ArrayList<>();
		for (int i = 0; i < 80; i++) {
			Member member = this.fleet.member(i % 3);
			String name = "calm-" + i;
			answers.add(CompletableFuture.supplyAsync(() -> readStatus(member, key, name)));
			TimeUnit.MILLISECONDS.sleep(30);
		}
		for (CompletableFuture<Integer> answer : answers) {
			assertThat(answer.get()).isEqualTo(200);
		}
	}

	@Test
	void configurationNeverRevertsAcrossRestartDuringOutage() throws Exception {
		this.fleet.writeConfiguration(Map.of("maxTurns", 1));
		this.fleet.operate(0, "config", "apply", this.fleet.configurationFolder().toString());
		for (Member m : this.fleet.members()) {
			assertThat(this.fleet.status(m).path("configuration").asInt()).isEqualTo(2);
		}
		Member restarted = this.fleet.member(1);
		this.fleet.kill(restarted);
		this.fleet.platform.setDown(true);
		this.fleet.launch(restarted);
		this.fleet.await("the instance to answer that it is not ready",
				() -> this.fleet.toOperators(restarted, "/readyz", "").status() == 503);
		TimeUnit.SECONDS.sleep(3);
		assertThat(this.fleet.toOperators(restarted, "/readyz", "").status()).isEqualTo(503);
		this.fleet.platform.setDown(false);
		this.fleet.awaitSettled();
		assertThat(this.fleet.status(restarted).path("configuration").asInt()).isEqualTo(2);
		String program = "p-" + UUID.randomUUID();
		assertThat(this.fleet.turn(restarted, program, 1, "one").status()).isEqualTo(200);
		Answer refused = this.fleet.turn(restarted, program, 2, "two");
		assertThat(refused.status()).isEqualTo(403);
		assertThat(refused.json().path("title").asText()).isEqualTo("too_many_turns");
	}

	@Test
	void leavingUpstreamGetsNoNewWork() throws Exception {
		this.fleet.writeConfiguration(Map.of(), true);
		this.fleet.operate(0, "config", "apply", this.fleet.configurationFolder().toString());
		int before = this.fleet.engine1.callsByProgram().size();
		for (int i = 0; i < 20; i++) {
			String program = "p-" + UUID.randomUUID();
			assertThat(this.fleet.turn(this.fleet.member(i % 3), program, 1, "one").status()).isEqualTo(200);
		}
		assertThat(this.fleet.engine1.callsByProgram()).hasSize(before);
	}

	@Test
	void silentStreamIsResumedAndCallerGetsWholeAnswer() throws Exception {
		String program = "p-" + UUID.randomUUID();
		this.fleet.engine1.setSilentAfterEvents(3);
		this.fleet.engine2.setSilentAfterEvents(3);
		Answer answer = this.fleet.streamedTurn(this.fleet.member(0), program, 1, "one");
		assertThat(answer.isCompleteStream()).isTrue();
		assertThat(answer.text()).isEqualTo("echo:one t1 t2 t3 t4 t5 t6 t7 t8 t9 t10 t11");
		this.fleet.engine1.setSilentAfterEvents(2);
		this.fleet.engine2.setSilentAfterEvents(2);
		Answer direct = this.fleet.call(this.fleet.member(1), "POST", "/v1/chat/completions", Map.of(),
				"{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"two\"}]}");
		assertThat(direct.text()).isEqualTo("echo:two t1 t2 t3 t4 t5 t6 t7 t8 t9 t10 t11");
	}

	@Test
	void rollingRestartUnderLoadRefusesAndLosesNothing() throws Exception {
		AtomicInteger done = new AtomicInteger();
		Queue<String> failures = new ConcurrentLinkedQueue<>();
		AtomicBoolean stopped = new AtomicBoolean();
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			String program = "roll-" + i + "-" + UUID.randomUUID();
			callers.add(new Thread(() -> runTurns(program, stopped, done, failures)));
		}
		callers.forEach(Thread::start);
		for (Member m : this.fleet.members()) {
			this.fleet.terminate(m);
			this.fleet.awaitExit(m);
			this.fleet.launch(m);
			this.fleet.awaitSettled();
		}
		stopped.set(true);
		for (Thread t : callers) {
			t.join();
		}
		assertThat(failures).isEmpty();
		assertThat(done.get()).isGreaterThan(50);
		assertThat(this.fleet.violations()).isZero();
	}

	// ---- Helpers

	/**
	 * Runs turns as a caller does: requests the list of instances, caches it for a
	 * limited time, and connects to a listed instance. Starts a new program when one has
	 * reached the maximum number of turns, so that the load lasts for as long as the
	 * restarts take.
	 */
	private void runTurns(String name, AtomicBoolean stopped, AtomicInteger done, Queue<String> failures) {
		List<Member> targets = List.of();
		long cachedUntil = 0;
		for (int calls = 0; !stopped.get(); calls++) {
			String program = name + "-" + (calls / MAX_TURNS);
			int n = (calls % MAX_TURNS) + 1;
			try {
				if (System.nanoTime() > cachedUntil) {
					targets = this.fleet.listed();
					cachedUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(400);
				}
				Answer answer = this.fleet.turn(targets.get(n % targets.size()), program, n, "text " + n);
				if (answer.status() != 200) {
					failures.add(program + " turn " + n + ": " + answer.status() + " " + answer.body());
				}
				done.incrementAndGet();
			}
			catch (Exception ex) {
				failures.add(program + " turn " + n + ": " + ex);
			}
		}
	}

	private void flood(Member member, String key, int sender, long deadline, AtomicInteger refused) {
		for (int i = 0; System.nanoTime() < deadline; i++) {
			int status = readStatus(member, key, "flood-" + sender + "-" + i);
			if (status == 429) {
				refused.incrementAndGet();
			}
		}
	}

	private int readStatus(Member member, String key, String name) {
		try {
			return read(member, key, name).status();
		}
		catch (Exception ex) {
			return 0;
		}
	}

	private String ownerUnchecked(String key) {
		try {
			return ShardProbe.ownerOf(this.fleet, key);
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	// Returns calls that refer to missing objects, by their expected error code.
	private Map<String, Callable<Answer>> missing(Member member) {
		String services = "/v1/services/desk/none";
		String body = "{\"model\":\"other\",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
		Map<String, Callable<Answer>> calls = new LinkedHashMap<>();
		calls.put("key_invalid", () -> read(member, "mr_0_wrong", "x"));
		calls.put("key_missing", () -> this.fleet.callWithKey(member, null, "GET", services, Map.of(), null));
		calls.put("unknown_model", () -> this.fleet.call(member, "POST", "/v1/chat/completions", Map.of(), body));
		calls.put("unknown_route", () -> this.fleet.get(member, services));
		return calls;
	}

	// Repeats the call while the instance rejects all keyed requests with cut_off, and
	// returns the first other response.
	private Answer whileServing(Callable<Answer> call) throws Exception {
		AtomicReference<Answer> answer = new AtomicReference<>();
		this.fleet.await("the instance to take keyed work", () -> {
			answer.set(call.call());
			return !answer.get().body().contains("cut_off");
		});
		return answer.get();
	}

	private Answer read(Member member, String key, String name) throws Exception {
		return this.fleet.callWithKey(member, key, "GET", "/v1/services/desk/read/" + name, Map.of(), null);
	}

	private String southKey() throws Exception {
		String key = this.fleet.operate(0, "key", "create", "south").strip();
		for (Member m : this.fleet.members()) {
			this.fleet.await("the key to work at " + m.name, () -> read(m, key, "hello").status() == 200);
		}
		return key;
	}

}
