package org.mangorack.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;

import org.mangorack.call.Refusal;
import org.mangorack.call.UpstreamId;
import org.mangorack.call.Verdict;
import org.mangorack.config.DispatchSettings;
import org.mangorack.config.Upstream;
import org.mangorack.config.UpstreamKind;
import org.mangorack.http.HttpAddress;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotReport;
import org.mangorack.member.proto.SlotRequest;
import org.mangorack.member.proto.SlotResult;
import org.mangorack.observe.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class PoolSchedulerTests {

	private static final DispatchSettings FIXED = DispatchSettings.DEFAULT.withAdaptive(false);

	private final ManualClock clock = new ManualClock();

	private final PoolScheduler pool = new PoolScheduler(this.clock, true);

	private final Map<String, Integer> served = new HashMap<>();

	@Test
	void workspaceWithFewCallsIsServedBeforeTheBacklogOfAnother() {
		configure(FIXED, 1, "u1");
		SlotAssignment first = slot(submit("flood", 1, "", 0));
		List<CompletableFuture<Either<Refusal, SlotAssignment>>> waiting = new ArrayList<>();
		for (int i = 0; i < 10; i++) {
			waiting.add(submit("flood", 1, "", 0));
		}
		CompletableFuture<Either<Refusal, SlotAssignment>> otherCall = submit("light", 1, "", 0);
		finish(first);
		assertThat(otherCall).isDone();
		assertThat(waiting).noneMatch(CompletableFuture::isDone);
	}

	@Test
	void workIsSharedByWeight() {
		configure(FIXED, 1, "u1");
		List<CompletableFuture<Either<Refusal, SlotAssignment>>> waiting = new ArrayList<>();
		for (int i = 0; i < 90; i++) {
			waiting.add(track("heavy", submit("heavy", 2, "", 0)));
			waiting.add(track("plain", submit("plain", 1, "", 0)));
		}
		for (int i = 0; i < 60; i++) {
			CompletableFuture<Either<Refusal, SlotAssignment>> done = waiting.stream()
				.filter(CompletableFuture::isDone)
				.findFirst()
				.orElseThrow();
			waiting.remove(done);
			finish(slot(done));
		}
		assertThat(this.served.get("heavy") / (double) this.served.get("plain")).isBetween(1.7, 2.3);
	}

	@Test
	void programWithFewestTokensIsServedFirstUntilOthersAge() {
		configure(FIXED, 1, "u1");
		SlotAssignment first = slot(submit("w", 1, "", 0));
		CompletableFuture<Either<Refusal, SlotAssignment>> old = submit("w", 1, "", 5000);
		this.clock.advance(Duration.ofSeconds(1));
		CompletableFuture<Either<Refusal, SlotAssignment>> young = submit("w", 1, "", 0);
		finish(first);
		assertThat(young).isDone();
		assertThat(old).isNotDone();
		this.clock.advance(Duration.ofSeconds(15));
		CompletableFuture<Either<Refusal, SlotAssignment>> late = submit("w", 1, "", 0);
		finish(slot(young));
		assertThat(old).isDone();
		assertThat(late).isNotDone();
	}

	@Test
	void callWaitsForItsCachedHistoryForAtMostTenPrefillTimes() {
		configure(FIXED, 1, "u1", "u2");
		SlotAssignment busy = slot(submit("w", 1, "u1", 0));
		assertThat(busy.getUpstream()).isEqualTo("u1");
		CompletableFuture<Either<Refusal, SlotAssignment>> waiting = submit("w", 1, "u1", 0);
		this.clock.advance(Duration.ofMillis(1990));
		this.pool.tick();
		assertThat(waiting).isNotDone();
		this.clock.advance(Duration.ofMillis(20));
		this.pool.tick();
		assertThat(slot(waiting).getUpstream()).isEqualTo("u2");
	}

	@Test
	void freedSlotGoesToTheCallWhoseHistoryIsCachedThere() {
		configure(FIXED, 1, "u1");
		SlotAssignment first = slot(submit("w", 1, "", 0));
		CompletableFuture<Either<Refusal, SlotAssignment>> young = submit("w", 1, "", 0);
		CompletableFuture<Either<Refusal, SlotAssignment>> cached = submit("w", 1, "u1", 5000);
		finish(first);
		assertThat(cached).isDone();
		assertThat(young).isNotDone();
	}

	@Test
	void queueIsBoundedByTheDeadline() {
		configure(FIXED, 1, "u1");
		submit("w", 1, "", 0);
		List<CompletableFuture<Either<Refusal, SlotAssignment>>> calls = new ArrayList<>();
		for (int i = 0; i < 400; i++) {
			calls.add(submit("w", 1, "", 0));
		}
		Refusal refusal = calls.get(399).join().getLeft();
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(refusal.retryAfter()).isPositive();
		assertThat(calls.get(0)).isNotDone();
		this.clock.advance(Duration.ofSeconds(31));
		this.pool.tick();
		assertThat(calls.get(0).join().getLeft().code()).isEqualTo("upstreams_full");
	}

	@Test
	void limitFollowsReportedTimes() {
		configure(DispatchSettings.DEFAULT.withAdaptive(true), 64, "u1");
		int before = countFreeSlots();
		for (int i = 0; i < 30; i++) {
			this.clock.advance(Duration.ofSeconds(1));
			finish(slot(submit("w", 1, "", 0)), 100, 100 * 40_000);
		}
		assertThat(countFreeSlots()).isLessThan(before);
	}

	@Test
	void slotsOfInstancesThatAreNoLongerLiveAreFreed() {
		configure(FIXED, 1, "u1");
		slot(submit("w", 1, "", 0));
		CompletableFuture<Either<Refusal, SlotAssignment>> waiting = submit("w", 1, "", 0);
		this.pool.configure(List.of(upstream("u1", 1)), FIXED, Set.of("other"));
		this.pool.tick();
		assertThat(waiting).isDone();
	}

	@Test
	void newOwnerWaitsForReportsAndCountsTheirSlots() {
		PoolScheduler next = new PoolScheduler(this.clock, false);
		next.configure(List.of(upstream("u1", 1)), FIXED, Set.of("i1"));
		CompletableFuture<Either<Refusal, SlotAssignment>> call = next.submit(request("w", "", 0), 1);
		assertThat(call).isNotDone();
		SlotAssignment held = SlotAssignment.newBuilder().setSlot(7).setUpstream("u1").build();
		next.report(SlotReport.newBuilder().setInstance("i1").setComplete(true).addHeld(held).build());
		assertThat(call).isNotDone();
		next.report(SlotReport.newBuilder().addResults(SlotResult.newBuilder().setSlot(7)).build());
		assertThat(call).isDone();
	}

	@Test
	void failedUpstreamIsAvoidedTemporarily() {
		configure(FIXED, 4, "u1", "u2");
		SlotAssignment bad = slot(submit("w", 1, "u1", 0));
		this.pool.report(SlotReport.newBuilder()
			.addResults(SlotResult.newBuilder().setSlot(bad.getSlot()).setFailed(true))
			.build());
		assertThat(slot(submit("w", 1, "u1", 0)).getUpstream()).isEqualTo("u2");
		this.clock.advance(Duration.ofSeconds(1));
		assertThat(slot(submit("w", 1, "u1", 0)).getUpstream()).isEqualTo("u1");
	}

	@Test
	void policyNamesOfTheConfigurationExist() {
		assertThat(DispatchSettings.POLICIES).allSatisfy((name) -> assertThat(DispatchPolicy.parse(name)).isNotNull());
		assertThat(DispatchSettings.POLICIES).hasSameSizeAs(DispatchPolicy.values());
	}

	// ---- Helpers

	private void configure(DispatchSettings settings, int slots, String... names) {
		List<Upstream> upstreams = new ArrayList<>();
		for (String name : names) {
			upstreams.add(upstream(name, slots));
		}
		this.pool.configure(upstreams, settings, Set.of("i1"));
	}

	private static Upstream upstream(String name, int slots) {
		return new Upstream(new UpstreamId(name), UpstreamKind.MODEL, Set.of("m"), new HttpAddress("127.0.0.1", 1),
				"dc1", slots, false, false);
	}

	private CompletableFuture<Either<Refusal, SlotAssignment>> submit(String workspace, double weight, String preferred,
			long attained) {
		return this.pool.submit(request(workspace, preferred, attained), weight);
	}

	private static SlotRequest request(String workspace, String preferred, long attained) {
		return SlotRequest.newBuilder()
			.setPool("m")
			.setInstance("i1")
			.setWorkspace(workspace)
			.setPromptTokens(10_000)
			.setCachedTokens(preferred.isEmpty() ? 0 : 10_000)
			.setMaxTokens(10)
			.setPreferred(preferred)
			.setAttainedTokens(attained)
			.setMaxWaitMillis(30_000)
			.build();
	}

	private CompletableFuture<Either<Refusal, SlotAssignment>> track(String workspace,
			CompletableFuture<Either<Refusal, SlotAssignment>> call) {
		call.thenAccept((slot) -> this.served.merge(workspace, 1, Integer::sum));
		return call;
	}

	// Acquires all free slots, releases them and returns their number.
	private int countFreeSlots() {
		List<SlotAssignment> taken = new ArrayList<>();
		for (int i = 0; i < 100; i++) {
			CompletableFuture<Either<Refusal, SlotAssignment>> call = this.pool
				.submit(request("w", "", 0).toBuilder().setMaxWaitMillis(20_000).build(), 1);
			if (!call.isDone() || call.join().isLeft()) {
				break;
			}
			taken.add(slot(call));
		}
		this.clock.advance(Duration.ofSeconds(40));
		this.pool.tick();
		taken.forEach((slot) -> this.pool
			.report(SlotReport.newBuilder().addResults(SlotResult.newBuilder().setSlot(slot.getSlot())).build()));
		return taken.size();
	}

	private void finish(SlotAssignment slot) {
		finish(slot, 10, 10 * 5000);
	}

	private void finish(SlotAssignment slot, int tokens, long generationMicros) {
		this.pool.report(SlotReport.newBuilder()
			.addResults(SlotResult.newBuilder()
				.setSlot(slot.getSlot())
				.setPromptTokens(10_000)
				.setGeneratedTokens(tokens)
				.setFirstTokenMicros(200_000)
				.setGenerationMicros(generationMicros))
			.build());
	}

	private static SlotAssignment slot(CompletableFuture<Either<Refusal, SlotAssignment>> call) {
		return call.join().get();
	}

}
