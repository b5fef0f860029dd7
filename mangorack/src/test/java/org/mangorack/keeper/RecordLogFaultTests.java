package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;

import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.Turn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RecordLog} on a disk that fails. The tests write each batch
 * themselves, so that the order of events is that of the test.
 */
class RecordLogFaultTests {

	private static final Path FOLDER = Path.of("log");

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

	/**
	 * A log and what was confirmed by it.
	 */
	private static final class History {

		private final FaultyDisk disk;

		private RecordLog log;

		private int appended;

		// The confirmed entries that must be replayed, with the earliest segment that
		// each may be in.
		private final TreeMap<Integer, Long> confirmed = new TreeMap<>();

		private History(long seed) throws IOException {
			this.disk = new FaultyDisk(seed);
			this.log = new RecordLog(FOLDER, Runnable::run, this.disk);
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

		// Lets the time pass for which the log rejects entries after a failure.
		private void pause() {
		}

		private void restart() throws IOException {
			this.log = new RecordLog(FOLDER, Runnable::run, this.disk);
			List<Integer> replayed = new ArrayList<>();
			List<Long> segments = new ArrayList<>();
			this.log.replay((segment, entry) -> {
				replayed.add(Integer.parseInt(entry.getTurn().getId()));
				segments.add(segment);
			});
			assertThat(replayed).isSorted().doesNotHaveDuplicates().containsAll(this.confirmed.keySet());
			assertThat(replayed).allMatch((number) -> number <= this.appended);
		}

	}

}
