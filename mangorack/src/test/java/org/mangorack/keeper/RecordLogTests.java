package org.mangorack.keeper;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.Turn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RecordLog}.
 */
class RecordLogTests {

	@TempDir
	Path folder;

	@Test
	void entriesAreReplayedInOrderAfterARestart() throws Exception {
		append("a", "b", "c");
		append("d");
		assertThat(replay()).containsExactly("a", "b", "c", "d");
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 5, 9, 20 })
	void aTruncatedLastEntryIsSkippedAndTheOthersAreRead(int cut) throws Exception {
		append("a", "b");
		Path segment = lastSegment();
		try (RandomAccessFile file = new RandomAccessFile(segment.toFile(), "rw")) {
			file.setLength(file.length() - cut);
		}
		assertThat(replay()).containsExactly("a");
	}

	@Test
	void aCorruptEntryAndTheRestOfItsSegmentAreSkipped() throws Exception {
		append("a", "b", "c");
		Path segment = lastSegment();
		byte[] bytes = Files.readAllBytes(segment);
		bytes[bytes.length / 2] ^= 1;
		Files.write(segment, bytes);
		assertThat(replay()).containsExactly("a");
	}

	@Test
	void zeroBytesAfterAPowerLossEndOnlyTheirSegment() throws Exception {
		append("a");
		Path segment = lastSegment();
		byte[] bytes = Files.readAllBytes(segment);
		byte[] zeroPadded = new byte[bytes.length + 400];
		System.arraycopy(bytes, 0, zeroPadded, 0, bytes.length);
		Files.write(segment, zeroPadded);
		append("b");
		assertThat(replay()).containsExactly("a", "b");
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 7, 8, 9, 20 })
	void bytesThatAreNotReadAreCounted(int size) throws Exception {
		append("a");
		Files.write(lastSegment(), new byte[size], StandardOpenOption.APPEND);
		try (RecordLog log = new RecordLog(this.folder, Runnable::run)) {
			log.replay((segment, entry) -> {
			});
			log.start();
			assertThat(log.unreadBytes()).isEqualTo(size);
			assertThat(log.tornSegments()).isEqualTo(1);
			assertThat(log.failingTime()).isZero();
			assertThat(log.roomBytes()).isPositive();
		}
	}

	@Test
	void segmentsAreDeletedAsAWhole() throws Exception {
		append("a");
		append("b");
		try (RecordLog log = new RecordLog(this.folder, Runnable::run)) {
			log.start();
			log.deleteBefore(log.segment());
		}
		assertThat(replay()).isEmpty();
	}

	private void append(String... ids) throws IOException, InterruptedException, ExecutionException {
		try (RecordLog log = new RecordLog(this.folder, Runnable::run)) {
			log.start();
			for (String id : ids) {
				CompletableFuture<IOException> done = new CompletableFuture<>();
				Turn turn = Turn.newBuilder().setId(id).setInput(ByteString.copyFromUtf8("x".repeat(40))).build();
				log.append(LogEntry.newBuilder().setTurn(turn).build(), done::complete);
				assertThat(await(done)).isNull();
			}
		}
	}

	private static IOException await(CompletableFuture<IOException> done)
			throws InterruptedException, ExecutionException {
		try {
			return done.get(20, TimeUnit.SECONDS);
		}
		catch (TimeoutException ex) {
			throw new AssertionError("the append was not synced", ex);
		}
	}

	private List<String> replay() throws IOException {
		List<String> ids = new ArrayList<>();
		try (RecordLog log = new RecordLog(this.folder, Runnable::run)) {
			log.replay((segment, entry) -> ids.add(entry.getTurn().getId()));
			log.start();
		}
		return ids;
	}

	private Path lastSegment() throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			return files.sorted().reduce((first, second) -> second).orElseThrow();
		}
	}

}
