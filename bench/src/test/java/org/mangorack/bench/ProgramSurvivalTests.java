package org.mangorack.bench;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.bench.fault.LinkFault;
import org.mangorack.bench.load.CallerClient.Answer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that programs continue and calls run at most once while instances are killed,
 * paused or partitioned and the platform is unavailable.
 */
class ProgramSurvivalTests {

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
	void historySurvivesKillOfOwner() throws Exception {
		String program = "p-" + UUID.randomUUID();
		for (int n = 1; n <= 3; n++) {
			assertOwnAnswer(this.fleet.turn(this.fleet.member(0), program, n, "text " + n), "text " + n);
		}
		Member owner = this.fleet.owner(program);
		this.fleet.kill(owner);
		Member entry = this.fleet.other(owner);
		assertOwnAnswer(TestFleet.retry(() -> this.fleet.turn(entry, program, 4, "text 4")), "text 4");
		Answer history = this.fleet.get(entry, "/v1/programs/" + program + "/history");
		assertThat(history.json().path("messages")).hasSize(8);
		assertThat(this.fleet.turn(entry, program, 2, "text 2").json().path("mangorack").path("repeated").asBoolean())
			.isTrue();
		assertThat(this.fleet.violations()).isZero();
	}

	@Test
	void orderRunsOnceWhenOwnerIsKilledAfterSend() throws Exception {
		String key = "k-" + UUID.randomUUID();
		this.fleet.service.setDelayMillis(2000);
		Member owner = ownerOfOrder(key);
		Member entry = this.fleet.other(owner);
		CompletableFuture<Answer> first = async(() -> this.fleet.order(owner, key));
		this.fleet.await("the order to run", () -> this.fleet.service.runs().containsKey(key));
		this.fleet.kill(owner);
		this.fleet.service.setDelayMillis(0);
		Answer repeat = TestFleet.retry(() -> this.fleet.order(entry, key));
		assertThat(repeat.status()).isEqualTo(409);
		assertThat(repeat.json().path("verdict").asText()).isEqualTo("may_have_run");
		assertThat(this.fleet.service.runs().get(key)).isEqualTo(1);
		assertThat(first.isCompletedExceptionally()).isTrue();
	}

	@Test
	void orderWithBrokenAnswerMayHaveRunAndIsNotSentAgain() throws Exception {
		String key = "k-" + UUID.randomUUID();
		this.fleet.service.setBreakBeforeAnswer(true);
		Answer broken = this.fleet.order(this.fleet.member(0), key);
		this.fleet.service.setBreakBeforeAnswer(false);
		assertThat(broken.status()).isEqualTo(502);
		assertThat(broken.json().path("verdict").asText()).isEqualTo("may_have_run");
		Answer repeat = this.fleet.order(this.fleet.member(1), key);
		assertThat(repeat.json().path("verdict").asText()).isEqualTo("may_have_run");
		assertThat(this.fleet.service.runs().get(key)).isEqualTo(1);
	}

	@Test
	void orderRunsOnceWhenOwnerIsKilledWithRecordedAnswer() throws Exception {
		String key = "k-" + UUID.randomUUID();
		Member owner = ownerOfOrder(key);
		assertThat(this.fleet.order(owner, key).status()).isEqualTo(200);
		this.fleet.kill(owner);
		Answer repeat = TestFleet.retry(() -> this.fleet.order(this.fleet.other(owner), key));
		assertThat(repeat.status()).isEqualTo(200);
		assertThat(repeat.json().path("run").asInt()).isEqualTo(1);
		assertThat(this.fleet.service.runs().get(key)).isEqualTo(1);
	}

	@Test
	void orderRunsOnceWhenOwnerIsPausedPastItsLeaseAndResumed() throws Exception {
		String key = "k-" + UUID.randomUUID();
		Member owner = ownerOfOrder(key);
		Member entry = this.fleet.other(owner);
		this.fleet.cutPlatform(owner, LinkFault.SILENT);
		CompletableFuture<Answer> first = async(() -> this.fleet.order(owner, key));
		TimeUnit.MILLISECONDS.sleep(300);
		this.fleet.signal(owner, "STOP");
		this.fleet.cutPlatform(owner, LinkFault.NONE);
		Answer answer = TestFleet.retry(() -> this.fleet.order(entry, key));
		this.fleet.signal(owner, "CONT");
		this.fleet.awaitSettled();
		Answer repeat = TestFleet.retry(() -> this.fleet.order(entry, key));
		assertThat(this.fleet.service.runs().getOrDefault(key, 0)).isLessThanOrEqualTo(1);
		assertTruthful(answer, key);
		assertTruthful(repeat, key);
		first.handle((a, ex) -> null).get(40, TimeUnit.SECONDS);
		assertThat(this.fleet.service.runs().getOrDefault(key, 0)).isLessThanOrEqualTo(1);
		assertThat(this.fleet.violations()).isZero();
	}

	@Test
	void turnsContinueAndOrdersAreRefusedWhilePlatformIsDown() throws Exception {
		String program = "p-" + UUID.randomUUID();
		assertOwnAnswer(this.fleet.turn(this.fleet.member(0), program, 1, "one"), "one");
		this.fleet.platform.setDown(true);
		TimeUnit.SECONDS.sleep(6);
		Answer turn = TestFleet.retry(() -> this.fleet.turn(this.fleet.member(1), program, 2, "two"));
		assertOwnAnswer(turn, "two");
		assertThat(turn.json().path("mangorack").path("durable").asBoolean()).isFalse();
		Answer repeat = this.fleet.turn(this.fleet.member(2), program, 2, "two");
		assertThat(repeat.json().path("mangorack").path("repeated").asBoolean()).isTrue();
		assertThat(repeat.json().path("mangorack").path("durable").asBoolean()).isFalse();
		String key = "k-" + UUID.randomUUID();
		Answer order = this.fleet.order(this.fleet.member(2), key);
		assertThat(order.status()).isEqualTo(503);
		assertThat(order.json().path("verdict").asText()).isEqualTo("not_run");
		assertThat(order.headers()).containsKey("retry-after");
		this.fleet.platform.setDown(false);
		Answer later = TestFleet.retry(() -> this.fleet.order(this.fleet.member(2), key));
		assertThat(later.status()).isEqualTo(200);
		assertThat(this.fleet.service.runs().get(key)).isEqualTo(1);
		assertOwnAnswer(TestFleet.retry(() -> this.fleet.turn(this.fleet.member(0), program, 3, "three")), "three");
		assertThat(this.fleet.violations()).isZero();
	}

	@Test
	void historyIsCompleteWhenOwnerIsKilledAfterOutage() throws Exception {
		String program = "p-" + UUID.randomUUID();
		assertOwnAnswer(this.fleet.turn(this.fleet.member(0), program, 1, "one"), "one");
		this.fleet.platform.setDown(true);
		TimeUnit.SECONDS.sleep(5);
		assertOwnAnswer(TestFleet.retry(() -> this.fleet.turn(this.fleet.member(0), program, 2, "two")), "two");
		this.fleet.platform.setDown(false);
		this.fleet.awaitSettled();
		assertOwnAnswer(TestFleet.retry(() -> this.fleet.turn(this.fleet.member(0), program, 3, "three")), "three");
		Member owner = this.fleet.owner(program);
		this.fleet.kill(owner);
		Member entry = this.fleet.other(owner);
		assertOwnAnswer(TestFleet.retry(() -> this.fleet.turn(entry, program, 4, "four")), "four");
		assertThat(this.fleet.get(entry, "/v1/programs/" + program + "/history").json().path("messages")).hasSize(8);
	}

	@Test
	void deadRunGetsNoShardsAfterOutage() throws Exception {
		Member killed = this.fleet.member(0);
		Set<String> runs = this.fleet.platform.names("leases");
		String dead = runs.stream().filter((r) -> r.startsWith(killed.name + ".")).findFirst().orElseThrow();
		this.fleet.kill(killed);
		this.fleet.awaitSettled();
		long before = handoversTo(dead);
		this.fleet.platform.setDown(true);
		TimeUnit.SECONDS.sleep(3);
		this.fleet.platform.setDown(false);
		this.fleet.awaitSettled();
		TimeUnit.SECONDS.sleep(2);
		assertThat(handoversTo(dead)).isEqualTo(before);
	}

	@Test
	void ownershipSurvivesLostAnswersOfThePlatform() throws Exception {
		String program = "p-" + UUID.randomUUID();
		assertOwnAnswer(this.fleet.turn(this.fleet.member(0), program, 1, "one"), "one");
		this.fleet.platform.setLossShare(0.4);
		Member owner = this.fleet.owner(program);
		this.fleet.kill(owner);
		Member entry = this.fleet.other(owner);
		for (int n = 2; n <= 6; n++) {
			int number = n;
			assertOwnAnswer(TestFleet.retry(() -> this.fleet.turn(entry, program, number, "text " + number)),
					"text " + n);
		}
		String key = "k-" + UUID.randomUUID();
		assertThat(TestFleet.retry(() -> this.fleet.order(entry, key)).status()).isEqualTo(200);
		this.fleet.platform.setLossShare(0);
		assertThat(this.fleet.service.runs().get(key)).isEqualTo(1);
		assertThat(this.fleet.get(entry, "/v1/programs/" + program).json().path("turns").asInt()).isEqualTo(6);
		assertThat(this.fleet.violations()).isZero();
	}

	@Test
	void instanceCutOffFromPlatformAndPeersStopsTakingKeyedWork() throws Exception {
		Member cut = this.fleet.member(1);
		for (Member other : this.fleet.members()) {
			if (other != cut) {
				this.fleet.cutPeers(cut, other, LinkFault.SILENT, LinkFault.SILENT);
			}
		}
		this.fleet.cutPlatform(cut, LinkFault.SILENT);
		this.fleet.await("the instance to refuse keyed work", () -> {
			Answer answer = this.fleet.get(cut, "/v1/services/desk/read/x");
			return (answer.status() == 503) && answer.json().path("title").asText().equals("cut_off")
					&& answer.json().path("verdict").asText().equals("not_run");
		});
		assertThat(this.fleet.get(cut, "/v1/services/desk/read/x").headers()).containsKey("retry-after");
		String program = "p-" + UUID.randomUUID();
		Member entry = this.fleet.other(cut);
		assertOwnAnswer(TestFleet.retry(() -> this.fleet.turn(entry, program, 1, "one")), "one");
		for (Member other : this.fleet.members()) {
			this.fleet.cutPeers(cut, other, LinkFault.NONE, LinkFault.NONE);
		}
		this.fleet.cutPlatform(cut, LinkFault.NONE);
		this.fleet.awaitSettled();
		assertThat(TestFleet.retry(() -> this.fleet.get(cut, "/v1/services/desk/read/x")).status()).isEqualTo(200);
		assertThat(this.fleet.violations()).isZero();
	}

	@Test
	void programContinuesDuringOneWayPartition() throws Exception {
		String program = "p-" + UUID.randomUUID();
		assertOwnAnswer(this.fleet.turn(this.fleet.member(0), program, 1, "one"), "one");
		Member owner = this.fleet.owner(program);
		Member entry = this.fleet.other(owner);
		this.fleet.cutPeers(entry, owner, LinkFault.NONE, LinkFault.SILENT);
		assertOwnAnswer(TestFleet.retry(() -> this.fleet.turn(owner, program, 2, "two")), "two");
		this.fleet.cutPeers(entry, owner, LinkFault.NONE, LinkFault.NONE);
		assertOwnAnswer(TestFleet.retry(() -> this.fleet.turn(entry, program, 3, "three")), "three");
		assertThat(this.fleet.get(owner, "/v1/programs/" + program).json().path("turns").asInt()).isEqualTo(3);
	}

	@Test
	void plannedStopRefusesNothing() throws Exception {
		String program = "p-" + UUID.randomUUID();
		assertOwnAnswer(this.fleet.turn(this.fleet.member(0), program, 1, "one"), "one");
		Member owner = this.fleet.owner(program);
		Member entry = this.fleet.other(owner);
		this.fleet.terminate(owner);
		for (int n = 2; n <= 30; n++) {
			assertOwnAnswer(this.fleet.turn(entry, program, n, "text " + n), "text " + n);
		}
		this.fleet.await("the instance to stop", () -> !owner.process.isAlive());
		assertOwnAnswer(this.fleet.turn(entry, program, 31, "text 31"), "text 31");
		assertThat(this.fleet.violations()).isZero();
	}

	// Guards against closing the connection of a call that outlasts a planned stop
	// without
	// a response, and against serving calls that come too late to end.
	@Test
	void aPlannedStopAnswersCallsThatOutlastIt() throws Exception {
		Member stopping = this.fleet.member(0);
		this.fleet.service.setDelayMillis(TimeUnit.MINUTES.toMillis(1));
		CompletableFuture<Answer> outlasting = async(
				() -> this.fleet.callWithTimeout(Duration.ofMinutes(2), stopping, "POST", "/v1/services/desk/slow"));
		this.fleet.await("the call to be sent", () -> !this.fleet.service.runs().isEmpty());
		this.fleet.terminate(stopping);
		Answer answer = outlasting.get(2, TimeUnit.MINUTES);
		assertThat(answer.status()).isEqualTo(502);
		assertThat(answer.json().path("verdict").asText()).isEqualTo("may_have_run");
		this.fleet.awaitExit(stopping);
	}

	@Test
	void engineMemoryOfEndedProgramIsReleasedAcrossOwners() throws Exception {
		String program = "p-" + UUID.randomUUID();
		assertOwnAnswer(this.fleet.turn(this.fleet.member(0), program, 1, "one"), "one");
		this.fleet.engine1.setRefusingReleases(true);
		this.fleet.engine2.setRefusingReleases(true);
		Member owner = this.fleet.owner(program);
		Member entry = this.fleet.other(owner);
		assertThat(this.fleet.call(entry, "DELETE", "/v1/programs/" + program, Map.of(), null).status()).isEqualTo(200);
		this.fleet.kill(owner);
		this.fleet.engine1.setRefusingReleases(false);
		this.fleet.engine2.setRefusingReleases(false);
		this.fleet.await("the memory to be released", () -> {
			boolean held1 = this.fleet.engine1.heldByProgram().containsKey("north/" + program);
			boolean held2 = this.fleet.engine2.heldByProgram().containsKey("north/" + program);
			return !held1 && !held2;
		});
	}

	// ---- Helpers

	static void assertOwnAnswer(Answer answer, String text) throws Exception {
		assertThat(answer.status()).as(answer.body()).isEqualTo(200);
		assertThat(answer.text()).startsWith("echo:" + text);
	}

	private long handoversTo(String run) throws Exception {
		long count = 0;
		for (Member m : this.fleet.members()) {
			count += Files.readAllLines(m.log.toPath())
				.stream()
				.filter((line) -> line.contains("\"to\":\"" + run))
				.count();
		}
		return count;
	}

	private void assertTruthful(Answer answer, String key) throws Exception {
		int runs = this.fleet.service.runs().getOrDefault(key, 0);
		if (answer.status() == 200) {
			assertThat(runs).isEqualTo(1);
		}
		else if (answer.json().path("verdict").asText().equals("not_run")) {
			assertThat(runs).isZero();
		}
	}

	/**
	 * Returns the owner of an idempotency key, from the shard that the product computes.
	 */
	private Member ownerOfOrder(String key) throws Exception {
		String owner = ShardProbe.ownerOf(this.fleet, "call|north/" + key);
		return this.fleet.members().stream().filter((m) -> m.name.equals(owner)).findFirst().orElseThrow();
	}

	private static CompletableFuture<Answer> async(Callable<Answer> call) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return call.call();
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

}
