package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mangorack.keeper.proto.Charge;
import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link TurnStore} on a disk that fills up.
 */
class TurnStoreFaultTests {

	private final FaultyDisk disk = new FaultyDisk(0);

	private final ManualClock clock = new ManualClock();

	private RecordLog log;

	private TurnStore store;

	@BeforeEach
	void open() throws IOException {
		this.log = new RecordLog(Path.of("log"), Runnable::run, this.disk, this.clock);
		this.store = new TurnStore(this.log, this.clock, () -> Duration.ofDays(1).toMillis());
		assertThat(store("first")).isNull();
	}

	// Guards against 404 after a restart of a disk that joined: a copy whose write failed
	// was left out when the copy was repeated.
	@Test
	void aTurnWhoseWriteFailedIsNotListed() {
		this.disk.leaveRoom(0);
		assertThat(store("second")).isNotNull();
		assertThat(this.store.turnIds()).containsExactly("first");
		this.disk.makeRoom();
		this.clock.advance(RecordLog.RETRY_DELAY);
		assertThat(store("second")).isNull();
		assertThat(this.store.turnIds()).containsExactlyInAnyOrder("first", "second");
	}

	// Guards against a disk that joins while a copy is still being written, whose write
	// then fails.
	@Test
	void aTurnThatIsBeingWrittenIsListedForOthersButNotAsSynced() {
		this.store.storeTurn(turn("second"), (failure) -> {
		});
		assertThat(this.store.turnIds()).containsExactlyInAnyOrder("first", "second");
		assertThat(this.store.syncedTurnIds()).containsExactly("first");
		assertThat(this.store.unsyncedTurnIds()).containsExactly("second");
		this.log.writeNextBatch();
		assertThat(this.store.syncedTurnIds()).containsExactlyInAnyOrder("first", "second");
	}

	// Guards against a keeper without room on its disk that runs out of memory.
	@Test
	void contentThatTheLogRejectsIsNotHeld() {
		this.disk.leaveRoom(0);
		assertThat(store("second")).isNotNull();
		int turns = this.store.turnCount();
		for (int i = 0; i < 10; i++) {
			CompletableFuture<IOException> done = new CompletableFuture<>();
			this.store.storeTurn(turn("rejected" + i), done::complete);
			assertThat(done).isCompletedWithValueMatching((failure) -> failure != null);
		}
		CompletableFuture<IOException> charged = new CompletableFuture<>();
		Charge charge = Charge.newBuilder().setAttempt("a").setTokens(1).build();
		assertThat(this.store.charge(ProgramCharges.newBuilder().setProgram("p").addCharge(charge).build(),
				charged::complete))
			.isFalse();
		assertThat(charged).isCompletedWithValueMatching((failure) -> failure != null);
		assertThat(this.log.rejectedEntries()).isEqualTo(11);
		assertThat(this.store.turnCount()).isEqualTo(turns);
		assertThat(this.store.programCount()).isZero();
		assertThat(this.store.chain("first").getTurnList()).hasSize(1);
		assertThat(store("first")).isNull();
	}

	private IOException store(String id) {
		CompletableFuture<IOException> done = new CompletableFuture<>();
		this.store.storeTurn(turn(id), done::complete);
		if (!done.isDone()) {
			this.log.writeNextBatch();
		}
		return done.join();
	}

	private static Turn turn(String id) {
		return Turn.newBuilder()
			.setId(id)
			.setInput(ByteString.copyFrom(new byte[100]))
			.setRetentionMs(Duration.ofSeconds(60).toMillis())
			.build();
	}

}
