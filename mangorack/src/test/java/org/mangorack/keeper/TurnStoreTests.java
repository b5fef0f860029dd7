package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.proto.Chain;
import org.mangorack.keeper.proto.Charge;
import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TurnStore}: how long turns are retained.
 */
class TurnStoreTests {

	private static final Duration RETENTION = Duration.ofSeconds(60);

	private static final long LIMIT_SECONDS = 20;

	// One turn of the chain and the turns of other programs, each half minute of an hour.
	private static final int STEPS = 120;

	private static final Duration STEP = Duration.ofSeconds(30);

	private static final int OTHER_TURNS = 12;

	private static final int OTHER_TURN_BYTES = 64 * 1024;

	@TempDir
	Path folder;

	private final BlockingQueue<Runnable> callbacks = new LinkedBlockingQueue<>();

	private final ManualClock clock = new ManualClock();

	private final AtomicLong wallClock = new AtomicLong(Duration.ofDays(2).toMillis());

	private RecordLog log;

	private TurnStore store;

	@BeforeEach
	void open() throws IOException {
		this.log = new RecordLog(this.folder, this.callbacks::add);
		this.store = new TurnStore(this.log, this.clock, this.wallClock::get, maxResidentBytes());
		this.store.load();
		this.log.start();
	}

	/**
	 * Returns how much content the store keeps in memory.
	 * @return the size in bytes
	 */
	long maxResidentBytes() {
		return Long.MAX_VALUE;
	}

	@AfterEach
	void close() throws IOException {
		this.log.close();
	}

	// Guards against a turn that is continued with the content of another one, wherever
	// the log holds it: as written, moved to another segment, or read by a restart.
	@Test
	void aTurnKeepsItsContent() throws Exception {
		for (int i = 0; i < STEPS; i++) {
			store("t" + i, (i > 0) ? ("t" + (i - 1)) : "", OTHER_TURN_BYTES + i);
			store("other" + i, "", 3 * OTHER_TURN_BYTES);
			advance(STEP);
			assertContent(i);
		}
		close();
		this.callbacks.clear();
		open();
		assertContent(STEPS - 1);
		assertThat(this.store.residentBytes()).isLessThanOrEqualTo(maxResidentBytes());
	}

	private void assertContent(int newest) {
		List<Turn> turns = this.store.chain("t" + newest).getTurnList();
		assertThat(turns).hasSize(newest + 1);
		for (int i = 0; i <= newest; i++) {
			Turn turn = turns.get(newest - i);
			assertThat(turn.getId()).isEqualTo("t" + i);
			assertThat(turn.getInput()).isEqualTo(content(turn.getId(), OTHER_TURN_BYTES + i));
		}
		assertThat(this.store.turns(List.of("t" + newest), 1)).singleElement()
			.satisfies((t) -> assertThat(t.getInput()).isEqualTo(turns.get(0).getInput()));
	}

	private static ByteString content(String id, int bytes) {
		return ByteString.copyFromUtf8(id + "/".repeat(bytes - id.length()));
	}

	// Guards against 404 for a turn whose chain began longer ago than its retention.
	@ParameterizedTest
	@ValueSource(ints = { 2, 3, 20 })
	void aChainIsRetainedAsLongAsItsNewestTurn(int length) throws Exception {
		store("t1", "");
		for (int i = 2; i <= length; i++) {
			advance(Duration.ofSeconds(45));
			store("t" + i, "t" + (i - 1));
		}
		advance(RETENTION.minusSeconds(1));
		assertThat(chain("t" + length)).hasSize(length);
	}

	// Guards against 404 when the oldest of several turns that continue the same one
	// expires.
	@Test
	void theYoungestOfSeveralContinuationsKeepsTheirChain() throws Exception {
		store("root", "");
		store("older", "root");
		advance(Duration.ofSeconds(50));
		store("younger", "root");
		advance(Duration.ofSeconds(50));
		assertThat(chain("younger")).containsExactly("younger", "root");
		assertThat(this.store.turnIds()).containsExactlyInAnyOrder("younger", "root");
	}

	@Test
	void aChainIsRemovedOnceItsNewestTurnHasExpired() throws Exception {
		store("t1", "");
		advance(Duration.ofSeconds(45));
		store("t2", "t1");
		advance(RETENTION.plus(TurnStore.RETENTION_MARGIN).plusSeconds(1));
		assertThat(this.store.turnIds()).isEmpty();
	}

	// Guards against 404 after a restart: the first turns of a chain are read before the
	// turns that keep them.
	@Test
	void aChainWhoseFirstTurnIsOlderThanItsRetentionSurvivesARestart() throws Exception {
		store("t1", "");
		advance(Duration.ofSeconds(45));
		store("t2", "t1");
		advance(Duration.ofSeconds(45));
		close();
		open();
		this.store.expire();
		assertThat(chain("t2")).containsExactly("t2", "t1");
	}

	// Guards against 404 after the time of day of a keeper's machine was set.
	@ParameterizedTest
	@ValueSource(longs = { -86_000, -2, 2, 100, 86_000 })
	void aStepOfTheTimeOfDayDoesNotChangeTheRetention(long seconds) throws Exception {
		store("t1", "");
		this.wallClock.addAndGet(TimeUnit.SECONDS.toMillis(seconds));
		advance(RETENTION.minusSeconds(1));
		assertThat(chain("t1")).containsExactly("t1");
		advance(TurnStore.RETENTION_MARGIN.plusSeconds(2));
		assertThat(this.store.turnIds()).isEmpty();
	}

	// Guards against 404 if the time of day was set while the keeper was down.
	@ParameterizedTest
	@ValueSource(longs = { -86_000, 100, 500 })
	void aStepOfTheTimeOfDayBeforeARestartDoesNotEndTheRetention(long seconds) throws Exception {
		store("t1", "");
		charge("p", "t1");
		close();
		this.wallClock.addAndGet(TimeUnit.SECONDS.toMillis(seconds));
		open();
		advance(RETENTION.minusSeconds(1));
		assertThat(chain("t1")).containsExactly("t1");
		assertThat(this.store.charges("p").getChargeCount()).isEqualTo(1);
	}

	// Guards against keepers that hold the turns of before a restart beside the new ones
	// for another retention, and run out of memory.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 5 })
	void theRetentionGoesOnAfterARestart(int restarts) throws Exception {
		Duration held = RETENTION.plus(TurnStore.RETENTION_MARGIN);
		store("t1", "");
		charge("p", "t1");
		for (int i = 0; i < restarts; i++) {
			advance(held.dividedBy(restarts + 1));
			store("later" + i, "");
			close();
			open();
		}
		assertThat(chain("t1")).containsExactly("t1");
		advance(held.dividedBy(restarts + 1).plusSeconds(1));
		assertThat(this.store.turnIds()).doesNotContain("t1").contains("later" + (restarts - 1));
		advance(TurnStore.MIN_LEDGER_RETENTION.minus(held).minusSeconds(2));
		assertThat(this.store.programCount()).isEqualTo(1);
		advance(Duration.ofSeconds(2));
		assertThat(this.store.programCount()).isZero();
	}

	// Guards against 404 after a restart that takes the time for which the keeper was
	// down for a part of the retention.
	@Test
	void theTimeForWhichAKeeperIsDownIsNoPartOfTheRetention() throws Exception {
		store("t1", "");
		close();
		this.clock.advance(RETENTION.multipliedBy(3));
		open();
		advance(RETENTION.minusSeconds(1));
		assertThat(chain("t1")).containsExactly("t1");
	}

	@Test
	void contentThatIsMuchOlderThanItsRetentionIsNotRetainedAfterARestart() throws Exception {
		store("t1", "");
		store("t2", "t1");
		charge("p", "t1");
		close();
		this.wallClock.addAndGet(TurnStore.MAX_CLOCK_ERROR.plusMinutes(5).toMillis());
		open();
		assertThat(this.store.turnIds()).isEmpty();
		assertThat(this.store.programCount()).isZero();
	}

	// Guards against a disk that fills up because a chain of an hour keeps the log of all
	// programs of that hour.
	@Test
	void aLongChainDoesNotKeepTheLogOfOtherPrograms() throws Exception {
		long live = STEPS * 1024L + 4L * OTHER_TURNS * OTHER_TURN_BYTES;
		long limit = Math.max(TurnStore.MIN_COMPACTED_BYTES, TurnStore.MAX_LOG_RATIO * live)
				+ 2L * RecordLog.SEGMENT_BYTES;
		for (int step = 0; step < STEPS; step++) {
			store("t" + step, (step > 0) ? ("t" + (step - 1)) : "", 1024);
			for (int i = 0; i < OTHER_TURNS; i++) {
				store("other" + step + "-" + i, "", OTHER_TURN_BYTES);
			}
			advance(STEP);
			assertThat(this.log.olderBytes()).as("step %d", step).isLessThanOrEqualTo(limit);
		}
		assertThat(chain("t" + (STEPS - 1))).hasSize(STEPS);
		close();
		this.callbacks.clear();
		open();
		assertThat(chain("t" + (STEPS - 1))).hasSize(STEPS);
	}

	// Guards against a budget that begins anew while its program can still be continued.
	@ParameterizedTest
	@ValueSource(ints = { 0, 60, 180, 600, 3600 })
	void chargesAreRetainedAsLongAsTheTurnsOfTheirProgram(int retentionSeconds) throws Exception {
		Duration retention = Duration.ofSeconds(retentionSeconds);
		charge("p", "t1", retention);
		charge("p", "t2", Duration.ZERO);
		advance(retention);
		assertThat(this.store.charges("p").getChargeCount()).isEqualTo(2);
		close();
		open();
		advance(retention);
		assertThat(this.store.charges("p").getChargeCount()).isEqualTo(2);
		assertThat(this.store.ledgers()).singleElement()
			.satisfies((p) -> assertThat(p.getRetentionMs()).isEqualTo(retention.toMillis()));
		advance(TurnStore.MIN_LEDGER_RETENTION.plus(TurnStore.RETENTION_MARGIN));
		assertThat(this.store.programCount()).isZero();
	}

	private void charge(String program, String attempt) throws Exception {
		charge(program, attempt, RETENTION);
	}

	private void charge(String program, String attempt, Duration retention) throws Exception {
		CompletableFuture<IOException> done = new CompletableFuture<>();
		this.store.charge(ProgramCharges.newBuilder()
			.setProgram(program)
			.setRetentionMs(retention.toMillis())
			.addCharge(Charge.newBuilder().setAttempt(attempt).setTokens(1))
			.build(), done::complete);
		await(done);
	}

	private void store(String id, String previous) throws Exception {
		store(id, previous, 1);
	}

	private void store(String id, String previous, int bytes) throws Exception {
		CompletableFuture<IOException> done = new CompletableFuture<>();
		this.store.storeTurn(Turn.newBuilder()
			.setId(id)
			.setPrevious(previous)
			.setInput((bytes > id.length()) ? content(id, bytes) : ByteString.copyFrom(new byte[bytes]))
			.setRetentionMs(RETENTION.toMillis())
			.build(), done::complete);
		await(done);
	}

	private void await(CompletableFuture<IOException> done) throws InterruptedException {
		while (!done.isDone()) {
			Runnable callback = this.callbacks.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
			assertThat(callback).as("callback of the log").isNotNull();
			callback.run();
		}
		assertThat(done.join()).isNull();
	}

	private void advance(Duration time) {
		this.clock.advance(time);
		this.wallClock.addAndGet(time.toMillis());
		this.store.expire();
	}

	private List<String> chain(String id) {
		Chain.Builder chain = this.store.chain(id);
		assertThat(chain.getMissing()).isEmpty();
		return chain.getTurnList().stream().map(Turn::getId).toList();
	}

}
