package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.ConfigurationRelay.RateLimit;
import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Draw;
import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.keeper.proto.Usage;
import org.mangorack.observe.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeeperClient} and {@link KeeperService} over real connections.
 */
class KeeperClientTests {

	// The overdraft of a bucket with the rate limit of these tests.
	private static final int OVERDRAFT = 7;

	private static final long LIMIT_SECONDS = 20;

	private static final Duration RETENTION = Duration.ofSeconds(60);

	private static final Duration CHARGE_RETENTION = TurnStore.MIN_LEDGER_RETENTION.multipliedBy(2);

	private static final Duration BEYOND_RETENTION = RETENTION.plus(TurnStore.RETENTION_MARGIN).plusSeconds(1);

	@TempDir
	Path folder;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	private final List<TestKeeper> keepers = new ArrayList<>();

	private final List<FixedConfiguration> configurations = new ArrayList<>();

	private final KeeperClient client = new KeeperClient(this.loop, MonotonicClock.SYSTEM, "dc", 1);

	private final BlockingQueue<String> heartbeatReplies = new LinkedBlockingQueue<>();

	private GroupView view;

	private volatile Set<String> lackingDisks = Set.of();

	@BeforeEach
	void startKeepers() throws Exception {
		for (int i = 0; i < 4; i++) {
			this.keepers.add(newKeeper("k" + i, "d" + i).start());
		}
		this.view = new GroupView(1, members(0, 1, 2, 3), List.of(), 1);
		adoptOnAllKeepers(this.view);
		onLoop(() -> this.client.adopt(this.view));
	}

	@AfterEach
	void stopKeepers() throws IOException {
		for (TestKeeper k : this.keepers) {
			k.close();
		}
		this.loops.shutdownGracefully();
	}

	@Test
	void aStoredTurnIsFoundWithItsChain() throws Exception {
		assertThat(store("t1", "", "p")).isTrue();
		assertThat(store("t2", "t1", "p")).isTrue();
		assertThat(fetch("p", "t2")).isEqualTo("found t2 t1");
	}

	@Test
	void aChainIsFoundByAProgramThatDidNotStoreIt() throws Exception {
		store("t1", "", "p");
		store("t2", "t1", "another");
		assertThat(fetch("third", "t2")).isEqualTo("found t2 t1");
	}

	// Guards against 404 for a turn whose run lasted until its predecessor had expired.
	@ParameterizedTest
	@Tag("known-red")
	@ValueSource(booleans = { false, true })
	void aTurnThatEndsAfterItsPredecessorExpiredIsStoredWithItsChain(boolean charged) throws Exception {
		awaitServing(4);
		store("t1", "", "p");
		store("t2", "t1", "p");
		List<Turn> predecessors = fetchChain("p", "t2");
		this.keepers.forEach((k) -> k.advance(BEYOND_RETENTION));
		assertThat(fetch("p", "t2")).isEqualTo("absent");
		assertThat(settle("p", new ChainedTurn(turn("t3", "t2", "in"), predecessors), charged)).isTrue();
		assertThat(fetch("p", "t3")).isEqualTo("found t3 t2 t1");
		this.keepers.forEach((k) -> k.advance(RETENTION));
		assertThat(fetch("p", "t3")).isEqualTo("found t3 t2 t1");
	}

	// Guards against 404 after the loss of a disk, for a turn whose predecessors had
	// expired at keepers that were down when it was stored.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void eachKeeperThatConfirmsATurnHoldsItsChain(boolean charged) throws Exception {
		this.keepers.get(2).kill();
		this.keepers.get(3).kill();
		awaitServing(2);
		store("t1", "", "p");
		this.keepers.get(2).start();
		this.keepers.get(3).start();
		awaitServing(4);
		List<Turn> predecessors = fetchChain("p", "t1");
		this.keepers.get(0).kill();
		assertThat(settle("p", new ChainedTurn(turn("t2", "t1", "in"), predecessors), charged)).isTrue();
		assertThat(this.keepers.subList(1, 4).stream().filter((k) -> k.chain("t2").size() == 2).count())
			.isGreaterThanOrEqualTo(2);
		this.keepers.get(1).kill();
		assertThat(fetch("p", "t2")).isEqualTo("found t2 t1");
	}

	@Test
	void predecessorsThatExceedOneMessageAreSentInSeveral() throws Exception {
		List<Turn> predecessors = new ArrayList<>();
		for (int i = 6; i >= 1; i--) {
			predecessors
				.add(turn("t" + i, (i > 1) ? ("t" + (i - 1)) : "", "x".repeat(SettleCall.MAX_BATCH_BYTES * 2 / 5)));
		}
		assertThat(settle("p", new ChainedTurn(turn("t7", "t6", "in"), predecessors), true)).isTrue();
		assertThat(fetch("p", "t7")).isEqualTo("found t7 t6 t5 t4 t3 t2 t1");
	}

	// Guards against 404 for confirmed turns over pauses, restarts and calls that outlast
	// the
	// retention of their predecessors, in random order.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6 })
	void confirmedTurnsAreFoundWithTheirChains(long seed) throws Exception {
		Random random = new Random(seed);
		Map<String, List<String>> chains = new HashMap<>();
		Map<String, Duration> confirmedAt = new HashMap<>();
		Duration now = Duration.ZERO;
		awaitServing(4);
		for (int step = 0; step < 50; step++) {
			Duration passed = randomTime(random, RETENTION.dividedBy(2));
			switch (random.nextInt(5)) {
				case 0 -> toggleKeeper(random);
				case 1 -> {
					this.keepers.forEach((k) -> k.advance(passed));
					now = now.plus(passed);
				}
				default -> {
					String id = "t" + step;
					String previous = youngerThanRetention(confirmedAt, now, random);
					List<Turn> predecessors = previous.isEmpty() ? List.of() : fetchChain("p", previous);
					assertThat(ids(predecessors)).isEqualTo(chains.getOrDefault(previous, List.of()));
					Duration run = (random.nextInt(3) == 0) ? randomTime(random, BEYOND_RETENTION) : Duration.ZERO;
					this.keepers.forEach((k) -> k.advance(run));
					now = now.plus(run);
					assertThat(
							settle("p", new ChainedTurn(turn(id, previous, "in"), predecessors), random.nextBoolean()))
						.as("step %d", step)
						.isTrue();
					confirmedAt.put(id, now);
					chains.put(id, new ArrayList<>(ids(predecessors)));
					chains.get(id).add(0, id);
				}
			}
		}
		for (TestKeeper lost : this.keepers) {
			restartAll();
			lost.kill();
			for (String id : List.copyOf(confirmedAt.keySet())) {
				if (now.minus(confirmedAt.get(id)).compareTo(RETENTION) < 0) {
					assertThat(ids(fetchChain("p", id))).as("without %s", lost.member().getDisk())
						.isEqualTo(chains.get(id));
				}
			}
		}
	}

	private static Duration randomTime(Random random, Duration limit) {
		return Duration.ofMillis(random.nextInt((int) limit.toMillis()));
	}

	// Kills a keeper if all are running, and starts the one that is not otherwise.
	private void toggleKeeper(Random random) throws Exception {
		if (this.keepers.stream().allMatch(TestKeeper::isRunning)) {
			this.keepers.get(random.nextInt(this.keepers.size())).kill();
			awaitServing(this.keepers.size() - 1);
		}
		else {
			restartAll();
		}
	}

	private void restartAll() throws Exception {
		for (TestKeeper k : this.keepers) {
			if (!k.isRunning()) {
				k.start();
			}
		}
		awaitServing(this.keepers.size());
	}

	private static String youngerThanRetention(Map<String, Duration> confirmedAt, Duration now, Random random) {
		List<String> young = confirmedAt.keySet()
			.stream()
			.filter((id) -> now.minus(confirmedAt.get(id)).compareTo(RETENTION) < 0)
			.sorted()
			.toList();
		return (young.isEmpty() || (random.nextInt(8) == 0)) ? "" : young.get(random.nextInt(young.size()));
	}

	private static List<String> ids(List<Turn> chain) {
		return chain.stream().map(Turn::getId).toList();
	}

	@Test
	void aTurnSurvivesTheLossOfAnyOneDisk() throws Exception {
		for (int i = 0; i < 8; i++) {
			store("t" + i, "", "p" + i);
		}
		for (int lost = 0; lost < 4; lost++) {
			this.keepers.get(lost).kill();
			for (int i = 0; i < 8; i++) {
				assertThat(fetch("p" + i, "t" + i)).as("turn %d without keeper %d", i, lost).isEqualTo("found t" + i);
			}
			this.keepers.get(lost).start();
		}
	}

	@Test
	void turnsSurviveTheKillOfAllKeepers() throws Exception {
		store("t1", "", "p");
		for (TestKeeper k : this.keepers) {
			k.kill();
		}
		for (TestKeeper k : this.keepers) {
			k.start();
		}
		assertThat(fetch("p", "t1")).isEqualTo("found t1");
	}

	@Test
	void anAbsentTurnIsCertainWhileOneKeeperIsLost() throws Exception {
		this.keepers.get(2).kill();
		assertThat(fetch("p", "none")).isEqualTo("absent");
		assertThat(this.lackingDisks).containsExactlyInAnyOrder("d0", "d1", "d3");
	}

	@Test
	void anAbsentTurnIsUncertainWhileTwoKeepersAreLost() throws Exception {
		this.keepers.get(1).kill();
		this.keepers.get(2).kill();
		assertThat(fetch("p", "none")).startsWith("uncertain");
	}

	@Test
	void concurrentReservationsDoNotExceedTheBudget() throws Exception {
		List<BlockingQueue<String>> outcomes = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			outcomes.add(reserve("p", "a" + i, 100, 500));
		}
		int granted = 0;
		for (BlockingQueue<String> outcome : outcomes) {
			granted += nextOutcome(outcome).equals("granted") ? 1 : 0;
		}
		assertThat(granted).isLessThanOrEqualTo(5);
	}

	@Test
	void reservationsOfAKilledEntryStayCharged() throws Exception {
		assertThat(nextOutcome(reserve("p", "a1", 400, 500))).isEqualTo("granted");
		assertThat(nextOutcome(reserve("p", "a2", 200, 500))).isEqualTo("spent 400");
	}

	@Test
	void aSettledChargeReleasesUnusedTokens() throws Exception {
		BlockingQueue<String> first = reserve("p", "a1", 400, 500);
		assertThat(nextOutcome(first)).isEqualTo("granted");
		assertThat(nextOutcome(first)).isEqualTo("durable");
		assertThat(settle("p", "a1", 50)).isTrue();
		assertThat(nextOutcome(reserve("p", "a2", 400, 500))).isEqualTo("granted");
	}

	@Test
	void reservationsSurviveTheKillOfAllKeepers() throws Exception {
		BlockingQueue<String> first = reserve("p", "a1", 400, 500);
		nextOutcome(first);
		assertThat(nextOutcome(first)).isEqualTo("durable");
		for (TestKeeper k : this.keepers) {
			k.kill();
		}
		for (TestKeeper k : this.keepers) {
			k.start();
		}
		assertThat(nextOutcome(reserve("p", "a2", 200, 500))).isEqualTo("spent 400");
	}

	// Guards against a budget that begins anew while its program can still be continued.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aChargeIsRetainedAsLongAsItsAttemptAsks(boolean settled) throws Exception {
		awaitServing(4);
		BlockingQueue<String> first = reserve("p", "a1", 400, 500);
		assertThat(nextOutcome(first)).isEqualTo("granted");
		assertThat(nextOutcome(first)).isEqualTo("durable");
		if (settled) {
			assertThat(settle("p", "a1", 400)).isTrue();
		}
		this.keepers.forEach((k) -> k.advance(CHARGE_RETENTION));
		assertThat(nextOutcome(reserve("p", "a2", 200, 500))).isEqualTo("spent 400");
	}

	@Test
	void aReservationIsRefusedWhileTwoKeepersAreLost() throws Exception {
		this.keepers.get(0).kill();
		this.keepers.get(3).kill();
		assertThat(nextOutcome(reserve("p", "a1", 400, 500))).startsWith("unavailable");
	}

	@Test
	void theMembersThatAreConnectedAreNamed() throws Exception {
		awaitServing(4);
		this.keepers.get(0).kill();
		this.keepers.get(3).kill();
		awaitServing(2);
		CompletableFuture<Object[]> fields = new CompletableFuture<>();
		onLoop(() -> fields.complete(this.client.connectionFields()));
		assertThat(fields.get()).containsExactly("connected", List.of("k1", "k2"), "members", 4, "epoch", 1L);
	}

	@Test
	void aKeeperWithANewDiskDoesNotCountAsTheFormerOne() throws Exception {
		store("t1", "", "p");
		nextOutcome(reserve("p", "a1", 400, 500));
		int port = this.keepers.get(1).member().getPort();
		this.keepers.get(1).close();
		this.keepers.get(2).kill();
		TestKeeper empty = new TestKeeper("k1", "d-new", this.folder.resolve("k1-new"), new FixedConfiguration(null));
		empty.listenOn(port);
		this.keepers.set(1, empty.start());
		assertThat(fetch("p", "none")).startsWith("uncertain");
		assertThat(nextOutcome(reserve("p", "a2", 10, 500))).startsWith("unavailable");
	}

	@Test
	void aClientWithAnOlderViewAdoptsTheNewerOne() throws Exception {
		GroupView newer = new GroupView(2, members(0, 1, 2), List.of(), 1);
		adoptOnAllKeepers(newer);
		assertThat(store("t1", "", "p")).isTrue();
		assertThat(this.client.view().epoch()).isEqualTo(2);
	}

	@Test
	void keepersThatMissedAViewReceiveItFromTheClient() throws Exception {
		GroupView newer = new GroupView(3, members(0, 1, 2, 3), List.of(), 1);
		onLoop(() -> this.client.adopt(newer));
		assertThat(store("t1", "", "p")).isTrue();
		assertThat(this.keepers.stream().filter((k) -> k.service().view().epoch() == 3).count())
			.isGreaterThanOrEqualTo(2);
	}

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aSlowSyncDoesNotMakeAKeeperWriteATurnAgain(boolean charged) throws Exception {
		awaitServing(4);
		this.keepers.forEach((k) -> k.delaySyncs(KeeperClient.HEDGE_DELAY.multipliedBy(12)));
		CompletableFuture<Boolean> stored = new CompletableFuture<>();
		Turn turn = Turn.newBuilder().setId("t1").setWorkspace("w").setRetentionMs(60_000).build();
		onLoop(() -> this.client.settle(attempt("p", "a1"), 1, charged, new ChainedTurn(turn, List.of()),
				stored::complete));
		assertThat(stored.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		for (TestKeeper k : this.keepers) {
			assertThat(k.killAndCount(LogEntry::hasTurn)).as(k.member().getDisk()).isLessThanOrEqualTo(1);
		}
	}

	/**
	 * During a change of the group every member is sent the turn. Here the keepers have
	 * already finished the change and refuse the request. A keeper that is then sent only
	 * the charge must not count as a replica of the turn.
	 */
	@Test
	void aTurnRefusedDuringAGroupChangeIsStoredByItsReplicas() throws Exception {
		awaitServing(4);
		onLoop(() -> this.client.adopt(new GroupView(2, members(0, 1, 2, 3), members(0, 1, 2, 3), 1)));
		CompletableFuture<List<Member>> preferredMembers = new CompletableFuture<>();
		onLoop(() -> preferredMembers.complete(this.client.preferredMembers("p")));
		Set<String> killed = Set.of(preferredMembers.get().get(0).getDisk(), preferredMembers.get().get(1).getDisk());
		List<TestKeeper> remaining = new ArrayList<>();
		for (TestKeeper k : this.keepers) {
			if (killed.contains(k.member().getDisk())) {
				k.kill();
			}
			else {
				k.adopt(new GroupView(3, members(0, 1, 2, 3), List.of(), 1));
				remaining.add(k);
			}
		}
		awaitServing(2);
		CompletableFuture<Boolean> stored = new CompletableFuture<>();
		Turn turn = Turn.newBuilder().setId("t1").setWorkspace("w").setRetentionMs(60_000).build();
		onLoop(() -> this.client.settle(attempt("p", "a1"), 1, true, new ChainedTurn(turn, List.of()),
				stored::complete));
		assertThat(stored.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		assertThat(remaining).allSatisfy((k) -> assertThat(k.turnIds()).containsExactly("t1"));
	}

	@Test
	void aBucketGrantsNoMoreThanItsBurstAndOverdraft() throws Exception {
		awaitServing(4);
		returnCalls((disk) -> 50, 4);
		assertThat(countGranted(30)).isEqualTo(10 + OVERDRAFT);
	}

	@Test
	void aMixOfGrantsAndDenialsIsDecidedBeforeTheTimeout() throws Exception {
		awaitServing(4);
		this.keepers.get(3).kill();
		awaitServing(3);
		returnCalls((disk) -> disk.equals("d0") ? -OVERDRAFT : 10, 3);
		CompletableFuture<Optional<Duration>> done = new CompletableFuture<>();
		onLoop(() -> this.client.draw(Draw.newBuilder().setWorkspace("w").build(),
				(wait) -> done.complete(Optional.ofNullable(wait))));
		assertThat(done.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isPresent()
			.hasValueSatisfying((wait) -> assertThat(wait).isPositive());
	}

	/**
	 * Two of four keepers deny the calls, so none is granted. The other two keepers must
	 * get back the tokens that they granted, or too few would remain once the first two
	 * can grant again.
	 */
	@Test
	void aCallGrantedByTooFewKeepersIsReturnedToTheBuckets() throws Exception {
		awaitServing(4);
		returnCalls((disk) -> isFirstHalf(disk) ? -OVERDRAFT : 10, 4);
		assertThat(countGranted(5)).isZero();
		returnCalls((disk) -> isFirstHalf(disk) ? 10 : 0, 4);
		assertThat(countGranted(20)).isEqualTo(10);
	}

	/**
	 * One keeper denies the calls that the others grant. It must deduct them
	 * nevertheless, or it would later help to grant more than the rate limit allows.
	 */
	@Test
	void aKeeperThatDeniedAGrantedCallDeductsIt() throws Exception {
		awaitServing(4);
		returnCalls((disk) -> disk.equals("d0") ? -OVERDRAFT : (10 - OVERDRAFT), 4);
		assertThat(countGranted(10)).isEqualTo(10);
		returnCalls((disk) -> disk.equals("d3") ? 0 : 10, 4);
		assertThat(countGranted(20)).isZero();
	}

	/**
	 * A heartbeat may be delayed in transit for seconds. The configuration age in it is
	 * relative to the time of the reply that preceded it, not to its arrival.
	 */
	@Test
	void aHeartbeatConfirmsTheConfigurationRelativeToThePreviousReply() throws Exception {
		awaitServing(4);
		CompletableFuture<Long> time = new CompletableFuture<>();
		beat(Beat.newBuilder().setInstance("e").build(), (pulse) -> time.complete(pulse.getTimeMs()));
		long replyTime = time.get(LIMIT_SECONDS, TimeUnit.SECONDS);
		CompletableFuture<Long> second = new CompletableFuture<>();
		TimeUnit.MILLISECONDS.sleep(50);
		beat(Beat.newBuilder().setInstance("e").setPulseTimeMs(replyTime).setConfigurationAgeMs(300).build(),
				(pulse) -> second.complete(pulse.getTimeMs()));
		second.get(LIMIT_SECONDS, TimeUnit.SECONDS);
		assertThat(this.configurations.get(0).confirmedAt()).isEqualTo(TimeUnit.MILLISECONDS.toNanos(replyTime - 300));
	}

	@Test
	void aHeartbeatWithoutAPreviousReplyConfirmsNothingRecent() throws Exception {
		awaitServing(4);
		CompletableFuture<Long> time = new CompletableFuture<>();
		beat(Beat.newBuilder().setInstance("e").setConfigurationAgeMs(1).build(),
				(pulse) -> time.complete(pulse.getTimeMs()));
		long now = TimeUnit.MILLISECONDS.toNanos(time.get(LIMIT_SECONDS, TimeUnit.SECONDS));
		assertThat(now - this.configurations.get(0).confirmedAt()).isGreaterThan(TimeUnit.HOURS.toNanos(1));
	}

	// ---- Helpers

	private void beat(Beat beat, Consumer<Pulse> done) throws Exception {
		onLoop(() -> this.client.sendHeartbeats((disk) -> beat, (member, pulse, source) -> {
			if (member.getDisk().equals("d0")) {
				done.accept(pulse);
			}
		}));
	}

	private static boolean isFirstHalf(String disk) {
		return disk.equals("d0") || disk.equals("d1");
	}

	private int countGranted(int tries) throws Exception {
		int granted = 0;
		for (int i = 0; i < tries; i++) {
			CompletableFuture<Duration> done = new CompletableFuture<>();
			onLoop(() -> this.client.draw(Draw.newBuilder().setWorkspace("w").build(), done::complete));
			granted += done.get(LIMIT_SECONDS, TimeUnit.SECONDS).isZero() ? 1 : 0;
		}
		return granted;
	}

	private TestKeeper newKeeper(String name, String disk) {
		FixedConfiguration configuration = new FixedConfiguration(new RateLimit(0.001, 10));
		this.configurations.add(configuration);
		return new TestKeeper(name, disk, this.folder.resolve(disk), configuration);
	}

	private List<Member> members(int... numbers) {
		List<Member> members = new ArrayList<>();
		for (int n : numbers) {
			members.add(this.keepers.get(n).member());
		}
		return members;
	}

	private void adoptOnAllKeepers(GroupView newer) throws InterruptedException {
		for (TestKeeper k : this.keepers) {
			k.adopt(newer);
		}
	}

	private void onLoop(Runnable task) throws Exception {
		this.loop.submit(task).get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	private void awaitServing(int keepersUp) throws Exception {
		long startedAt = System.nanoTime();
		CompletableFuture<Integer> up = new CompletableFuture<>();
		onLoop(() -> up.complete(this.client.connectedMembers().size()));
		int count = up.get();
		while (count != keepersUp) {
			assertThat(System.nanoTime() - startedAt).isLessThan(TimeUnit.SECONDS.toNanos(LIMIT_SECONDS));
			TimeUnit.MILLISECONDS.sleep(20);
			CompletableFuture<Integer> again = new CompletableFuture<>();
			onLoop(() -> again.complete(this.client.connectedMembers().size()));
			count = again.get();
		}
	}

	// Returns calls to the buckets, since new buckets are empty and hardly refill at the
	// rate of these tests.
	private void returnCalls(ToIntFunction<String> calls, int keepersUp) throws Exception {
		onLoop(() -> this.client.sendHeartbeats((disk) -> Beat.newBuilder()
			.setInstance("e")
			.addUsage(Usage.newBuilder().setWorkspace("w").setCalls(-calls.applyAsInt(disk)))
			.build(), (member, pulse, source) -> this.heartbeatReplies.add(member.getDisk())));
		for (int i = 0; i < keepersUp; i++) {
			assertThat(this.heartbeatReplies.poll(LIMIT_SECONDS, TimeUnit.SECONDS)).isNotNull();
		}
	}

	private boolean store(String id, String previous, String program) throws Exception {
		List<Turn> predecessors = previous.isEmpty() ? List.of() : fetchChain(program, previous);
		return settle(program, new ChainedTurn(turn(id, previous, "in " + id), predecessors), false);
	}

	private static ProgramAttempt attempt(String program, String attempt) {
		return new ProgramAttempt(program, attempt, CHARGE_RETENTION);
	}

	private static Turn turn(String id, String previous, String input) {
		return Turn.newBuilder()
			.setId(id)
			.setPrevious(previous)
			.setInput(ByteString.copyFromUtf8(input))
			.setRetentionMs(RETENTION.toMillis())
			.build();
	}

	private boolean settle(String program, ChainedTurn turn, boolean charged) throws Exception {
		CompletableFuture<Boolean> done = new CompletableFuture<>();
		onLoop(() -> this.client.settle(attempt(program, turn.turn().getId()), 10, charged, turn, done::complete));
		return done.get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	private boolean settle(String program, String attempt, int tokens) throws Exception {
		CompletableFuture<Boolean> done = new CompletableFuture<>();
		onLoop(() -> this.client.settle(attempt(program, attempt), tokens, true, null, done::complete));
		return done.get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	private String fetch(String program, String turn) throws Exception {
		CompletableFuture<List<Turn>> chain = new CompletableFuture<>();
		String outcome = fetch(program, turn, chain);
		if (!outcome.equals("found")) {
			return outcome;
		}
		StringBuilder ids = new StringBuilder(outcome);
		chain.get().forEach((t) -> ids.append(' ').append(t.getId()));
		return ids.toString();
	}

	private List<Turn> fetchChain(String program, String turn) throws Exception {
		CompletableFuture<List<Turn>> chain = new CompletableFuture<>();
		assertThat(fetch(program, turn, chain)).isEqualTo("found");
		return chain.get();
	}

	private String fetch(String program, String turn, CompletableFuture<List<Turn>> chain) throws Exception {
		CompletableFuture<String> done = new CompletableFuture<>();
		onLoop(() -> this.client.fetch(program, turn, new ChainListener() {
			@Override
			public void found(List<Turn> turns) {
				chain.complete(turns);
				done.complete("found");
			}

			@Override
			public void absent(Set<String> disks, GroupView absentIn) {
				KeeperClientTests.this.lackingDisks = disks;
				done.complete("absent");
			}

			@Override
			public void undetermined(String cause) {
				done.complete("uncertain: " + cause);
			}
		}));
		return done.get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	private BlockingQueue<String> reserve(String program, String attempt, int tokens, long budget) throws Exception {
		BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
		onLoop(() -> this.client.reserve(attempt(program, attempt), tokens, budget, new ReservationListener() {
			@Override
			public void granted() {
				outcomes.add("granted");
			}

			@Override
			public void durable() {
				outcomes.add("durable");
			}

			@Override
			public void budgetExceeded(long used) {
				outcomes.add("spent " + used);
			}

			@Override
			public void unavailable(String cause) {
				outcomes.add("unavailable: " + cause);
			}
		}));
		return outcomes;
	}

	private static String nextOutcome(BlockingQueue<String> outcomes) throws InterruptedException {
		return outcomes.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

}
