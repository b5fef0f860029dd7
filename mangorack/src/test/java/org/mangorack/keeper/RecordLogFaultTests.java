package org.mangorack.keeper;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RecordLog} on a disk that fails. The tests write each batch
 * themselves, so that the order of events is that of the test.
 */
class RecordLogFaultTests {

	private static final Path FOLDER = Path.of("log");

	private static final long LIMIT_SECONDS = 20;

	private static final int MAX_TORN_BYTES = 130;

	// Guards against 404 after a restart for turns that were confirmed after a write that
	// failed.
	@Test
	void entriesAfterAWriteThatIsTornAtAnyByteAreReplayed() throws Exception {
		for (int room = 0; room <= MAX_TORN_BYTES; room++) {
			History history = new History(room);
			history.append(1, 40);
			history.disk.leaveRoom(room);
			history.append(2, 40);
			history.disk.makeRoom();
			history.pause();
			assertThat(history.append(1, 40)).as("room for %d bytes", room).isTrue();
			history.restart();
		}
	}

	// Guards against 404 after a loss of power for turns that were confirmed after a sync
	// that failed.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void entriesAfterASyncThatFailedAreReplayedAfterALossOfPower(long seed) throws Exception {
		History history = new History(seed);
		history.append(1, 40);
		history.disk.failSyncs(1);
		assertThat(history.append(2, 40)).isFalse();
		history.pause();
		assertThat(history.append(1, 40)).isTrue();
		history.disk.losePower();
		history.restart();
	}

	// Guards against 404 after a loss of power for all turns of a new segment.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void aNewSegmentSurvivesALossOfPower(long seed) throws Exception {
		History history = new History(seed);
		assertThat(history.append(1, 40)).isTrue();
		history.disk.losePower();
		history.restart();
	}

	// Guards against 404 after a loss of power for turns that a keeper took for synced
	// because it had read them at its start.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void entriesThatARestartHasReadSurviveALossOfPower(long seed) throws Exception {
		History history = new History(seed);
		history.append(1, 40);
		history.disk.killAtNextSync();
		history.append(2, 40);
		history.restart();
		history.disk.losePower();
		history.restart();
	}

	// Guards against segments that are never deleted because the next one could not be
	// created.
	@Test
	void aSegmentWhoseSuccessorCannotBeCreatedIsCountedAndDeleted() throws Exception {
		History history = new History(1);
		history.append(1, RecordLog.SEGMENT_BYTES + 1);
		history.disk.failCreations(2);
		for (int i = 0; i < 2; i++) {
			assertThat(history.append(1, 40)).isFalse();
			history.pause();
		}
		assertThat(history.append(1, 40)).isTrue();
		assertThat(history.log.olderBytes()).isGreaterThan(RecordLog.SEGMENT_BYTES);
		history.log.deleteBefore(history.log.segment());
		assertThat(history.log.olderBytes()).isZero();
		assertThat(history.disk.list(FOLDER)).hasSize(1);
	}

	// Guards against a disk that fills up with segments whose deletion failed once.
	@Test
	void aSegmentThatCannotBeDeletedIsDeletedLater() throws Exception {
		History history = new History(1);
		history.append(1, RecordLog.SEGMENT_BYTES + 1);
		history.append(1, 40);
		history.disk.failDeletions(1);
		history.log.deleteBefore(history.log.segment());
		assertThat(history.log.olderBytes()).isGreaterThan(RecordLog.SEGMENT_BYTES);
		history.log.deleteBefore(history.log.segment());
		assertThat(history.log.olderBytes()).isZero();
		assertThat(history.disk.list(FOLDER)).hasSize(1);
	}

	// Guards against callers that wait for a disk that takes nothing, and against a
	// restart that is needed when it has room again.
	@Test
	void aDiskWithoutRoomRejectsEntriesAtOnceAndTakesThemAgain() throws Exception {
		History history = new History(1);
		history.append(1, 40);
		history.disk.leaveRoom(10);
		assertThat(history.append(2, 40)).isFalse();
		int syncs = history.disk.syncs();
		history.disk.makeRoom();
		assertThat(history.append(2, 40)).isFalse();
		assertThat(history.log.rejectedEntries()).isEqualTo(2);
		assertThat(history.disk.syncs()).isEqualTo(syncs);
		history.pause();
		assertThat(history.log.failingTime()).isEqualTo(RecordLog.RETRY_DELAY);
		assertThat(history.append(2, 40)).isTrue();
		assertThat(history.log.failingTime()).isZero();
		history.restart();
	}

	// Guards against a keeper that confirms nothing any more while its process lives.
	@ParameterizedTest
	@ValueSource(classes = { OutOfMemoryError.class, IllegalStateException.class })
	void theWriterOutlivesAnError(Class<? extends Throwable> type) throws Exception {
		FaultyDisk disk = new FaultyDisk(0);
		ManualClock clock = new ManualClock();
		try (RecordLog log = new RecordLog(FOLDER, Runnable::run, disk, clock)) {
			log.start();
			assertThat(append(log, entry("a", 40))).isNull();
			disk.failNextWrite(type.getConstructor().newInstance());
			assertThat(append(log, entry("b", 40))).hasRootCauseInstanceOf(type);
			clock.advance(RecordLog.RETRY_DELAY);
			assertThat(append(log, entry("c", 40))).isNull();
		}
		List<String> replayed = new ArrayList<>();
		new RecordLog(FOLDER, Runnable::run, disk, clock).replay((segment, e) -> replayed.add(e.getTurn().getId()));
		assertThat(replayed).containsExactly("a", "c");
	}

	// Guards against a callback that takes the replies of other callers with it.
	@Test
	void aCallbackThatFailsDoesNotKeepTheOthersFromBeingCalled() throws Exception {
		List<IOException> outcomes = new ArrayList<>();
		RecordLog log = new RecordLog(FOLDER, Runnable::run, new FaultyDisk(0), new ManualClock());
		log.append(entry("a", 40), (failure) -> {
			throw new IllegalStateException("test");
		});
		log.append(entry("b", 40), outcomes::add);
		log.writeNextBatch();
		assertThat(outcomes).hasSize(1).containsOnlyNulls();
	}

	// Guards against a keeper that runs out of memory because its disk is slow.
	@Test
	void waitingEntriesAndBatchesAreBoundedByBytes() throws Exception {
		FaultyDisk disk = new FaultyDisk(0);
		RecordLog log = new RecordLog(FOLDER, Runnable::run, disk, new ManualClock());
		List<IOException> rejected = new ArrayList<>();
		int written = 0;
		int size = 2 * 1024 * 1024;
		while (rejected.isEmpty() && (written <= RecordLog.MAX_PENDING_BYTES / size)) {
			written++;
			log.append(entry("t" + written, size), rejected::add);
		}
		assertThat(rejected).singleElement().isInstanceOf(IOException.class);
		assertThat(log.rejectedEntries()).isEqualTo(1);
		for (long before = -1; before < disk.used();) {
			before = disk.used();
			log.writeNextBatch();
			assertThat(disk.used() - before).isLessThanOrEqualTo(RecordLog.MAX_BATCH_BYTES);
		}
		rejected.clear();
		log.append(entry("large", RecordLog.MAX_PENDING_BYTES + size), rejected::add);
		log.writeNextBatch();
		assertThat(rejected).hasSize(1).containsOnlyNulls();
	}

	// Guards against 404 after a restart for a turn that is larger than a restart reads.
	@Test
	void anEntryThatARestartWouldNotReadIsRejected() throws Exception {
		History history = new History(1);
		assertThat(history.append(1, 64 * 1024 * 1024)).isFalse();
		assertThat(history.append(1, 40)).isTrue();
		history.restart();
	}

	private static LogEntry entry(String id, int bytes) {
		Turn.Builder turn = Turn.newBuilder().setId(id).setInput(ByteString.copyFrom(new byte[bytes]));
		return LogEntry.newBuilder().setTurn(turn).build();
	}

	private static IOException append(RecordLog log, LogEntry entry) throws Exception {
		CompletableFuture<IOException> done = new CompletableFuture<>();
		log.append(entry, done::complete);
		return done.get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	@Property(seed = "2106", tries = 500)
	void confirmedEntriesAreReplayed(@ForAll("actions") List<Action> actions, @ForAll long seed) throws IOException {
		playAll(actions, seed);
	}

	@Provide
	Arbitrary<List<Action>> actions() {
		return Arbitraries.of(Action.class).list().ofMinSize(2).ofMaxSize(40);
	}

	private static void playAll(List<Action> actions, long seed) throws IOException {
		History history = new History(seed);
		for (Action action : actions) {
			action.play(history);
		}
		history.restart();
	}

	/**
	 * What happens to a log.
	 */
	private enum Action {

		APPEND {
			@Override
			void play(History history) {
				history.append(1 + history.random.nextInt(4), history.random.nextInt(200));
			}
		},

		APPEND_MUCH {
			@Override
			void play(History history) {
				history.append(1, RecordLog.SEGMENT_BYTES);
			}
		},

		LEAVE_ROOM {
			@Override
			void play(History history) {
				history.disk.leaveRoom(history.random.nextInt(400));
			}
		},

		MAKE_ROOM {
			@Override
			void play(History history) {
				history.disk.makeRoom();
			}
		},

		FAIL_SYNCS {
			@Override
			void play(History history) {
				history.disk.failSyncs(1 + history.random.nextInt(3));
			}
		},

		FAIL_CREATIONS {
			@Override
			void play(History history) {
				history.disk.failCreations(1 + history.random.nextInt(2));
			}
		},

		FAIL_DELETIONS {
			@Override
			void play(History history) {
				history.disk.failDeletions(1 + history.random.nextInt(2));
			}
		},

		DELETE {
			@Override
			void play(History history) {
				history.delete();
			}
		},

		PAUSE {
			@Override
			void play(History history) {
				history.pause();
			}
		},

		KILL_IN_SYNC {
			@Override
			void play(History history) throws IOException {
				history.disk.killAtNextSync();
				history.append(3, 40);
				history.restart();
			}
		},

		RESTART {
			@Override
			void play(History history) throws IOException {
				history.restart();
			}
		},

		LOSE_POWER {
			@Override
			void play(History history) throws IOException {
				history.disk.losePower();
				history.restart();
			}
		};

		abstract void play(History history) throws IOException;

	}

	/**
	 * A log and what was confirmed by it.
	 */
	private static final class History {

		private final FaultyDisk disk;

		private final ManualClock clock = new ManualClock();

		private final Random random;

		private RecordLog log;

		private int appended;

		// The confirmed entries that must be replayed, with the earliest segment that
		// each may be in.
		private final TreeMap<Integer, Long> confirmed = new TreeMap<>();

		private History(long seed) throws IOException {
			this.disk = new FaultyDisk(seed);
			this.random = new Random(seed);
			this.log = new RecordLog(FOLDER, Runnable::run, this.disk, this.clock);
		}

		/**
		 * Appends entries as one batch.
		 * @return whether all of them were confirmed
		 */
		private boolean append(int count, int bytes) {
			Set<Integer> written = new HashSet<>();
			long segment = this.log.segment();
			for (int i = 0; i < count; i++) {
				int number = ++this.appended;
				Turn turn = Turn.newBuilder()
					.setId(Integer.toString(number))
					.setInput(ByteString.copyFrom(new byte[bytes]))
					.build();
				this.log.append(LogEntry.newBuilder().setTurn(turn).build(), (failure) -> {
					if (failure == null) {
						written.add(number);
					}
				});
			}
			this.log.writeNextBatch();
			written.forEach((number) -> this.confirmed.put(number, segment));
			return written.size() == count;
		}

		private void delete() {
			long first = this.log.segment();
			this.log.deleteBefore(first);
			this.confirmed.values().removeIf((segment) -> segment < first);
		}

		// Lets the time pass for which the log rejects entries after a failure.
		private void pause() {
			this.clock.advance(RecordLog.RETRY_DELAY);
		}

		private LogEntry read(EntryPosition position) {
			try {
				return this.log.read(position);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		// What a restart has read counts as confirmed, as it is not written again. A log
		// whose last segment cannot be synced is not started.
		private void restart() throws IOException {
			this.disk.restart();
			this.disk.failSyncs(0);
			this.log = new RecordLog(FOLDER, Runnable::run, this.disk, this.clock);
			List<Integer> replayed = new ArrayList<>();
			List<Long> segments = new ArrayList<>();
			this.log.replay((position, entry) -> {
				replayed.add(Integer.parseInt(entry.getTurn().getId()));
				segments.add(position.segment());
				assertThat(read(position)).isEqualTo(entry);
			});
			assertThat(replayed).isSorted().doesNotHaveDuplicates().containsAll(this.confirmed.keySet());
			assertThat(replayed).allMatch((number) -> number <= this.appended);
			for (int i = 0; i < replayed.size(); i++) {
				this.confirmed.put(replayed.get(i), segments.get(i));
			}
		}

	}

}
