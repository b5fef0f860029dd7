package org.mangorack.keeper;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import java.util.zip.CRC32C;

import com.google.protobuf.ByteString;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.fuzz.Mutations;
import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.keeper.proto.View;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Fuzz tests that read corrupt files of {@link RecordLog} and {@link ViewFile}.
 */
class DiskFuzzTests {

	private static final byte[] ENTRY = LogEntry.newBuilder()
		.setStoredMs(5)
		.setTurn(Turn.newBuilder().setId("t").setPrevious("p").setInput(ByteString.copyFromUtf8("input")))
		.build()
		.toByteArray();

	private static final byte[] VIEW = View.newBuilder()
		.setEpoch(3)
		.addMembers(Member.newBuilder().setDisk("d").setName("n").setHost("h").setPort(1))
		.build()
		.toByteArray();

	private Path scratch;

	@BeforeProperty
	void createFolder() throws IOException {
		this.scratch = Files.createTempDirectory("disk-fuzz");
	}

	@AfterProperty
	void deleteFolder() throws IOException {
		try (Stream<Path> files = Files.walk(this.scratch)) {
			for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
				Files.delete(file);
			}
		}
	}

	@Property(seed = "2103", tries = 300)
	void aCorruptSegmentIsReadUpToTheCorruption(@ForAll("segments") byte[] segment) throws IOException {
		Files.write(this.scratch.resolve("0000000001.log"), segment);
		try {
			replay(this.scratch);
		}
		catch (IOException ex) {
			assertThat(ex).isNotNull();
		}
	}

	@Property(seed = "2104", tries = 300)
	void aCorruptEntryWithAValidChecksumIsRejected(@ForAll("entries") byte[] entry) throws IOException {
		Files.write(this.scratch.resolve("0000000001.log"), record(entry));
		try {
			replay(this.scratch);
		}
		catch (IOException ex) {
			assertThat(ex).isNotNull();
		}
	}

	@Property(seed = "2105", tries = 1000)
	void aCorruptViewIsMissingOrRejected(@ForAll("views") byte[] view) throws IOException {
		Path file = this.scratch.resolve("view");
		try {
			Files.write(file, view);
			assertThat(new ViewFile(file, 1).read()).isNotNull();
			Files.write(file, ByteBuffer.allocate(8 + view.length).putLong(checksum(view)).put(view).array());
			assertThat(new ViewFile(file, 1).read()).isNotNull();
		}
		catch (IOException ex) {
			assertThat(ex).isNotNull();
		}
	}

	@Test
	void anUnexpectedFileIsRejectedWithItsName(@TempDir Path folder) throws IOException {
		Files.write(folder.resolve("copy of 1.log"), record(ENTRY));
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> replay(folder))
			.withMessageContaining("copy of 1.log");
	}

	@Provide
	Arbitrary<byte[]> segments() {
		byte[] one = record(ENTRY);
		return Mutations.of(one, ByteBuffer.allocate(3 * one.length).put(one).put(one).put(one).array());
	}

	@Provide
	Arbitrary<byte[]> entries() {
		return Mutations.of(ENTRY);
	}

	@Provide
	Arbitrary<byte[]> views() {
		return Mutations.of(VIEW, ByteBuffer.allocate(8 + VIEW.length).putLong(checksum(VIEW)).put(VIEW).array());
	}

	private static List<LogEntry> replay(Path folder) throws IOException {
		List<LogEntry> entries = new ArrayList<>();
		RecordLog log = new RecordLog(folder, Runnable::run);
		log.replay((segment, entry) -> entries.add(entry));
		return entries;
	}

	private static byte[] record(byte[] entry) {
		return ByteBuffer.allocate(8 + entry.length)
			.putInt(entry.length)
			.putInt((int) checksum(entry))
			.put(entry)
			.array();
	}

	private static long checksum(byte[] bytes) {
		CRC32C crc = new CRC32C();
		crc.update(bytes);
		return crc.getValue();
	}

}
