package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.proto.Member;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIOException;

/**
 * Tests for {@link ViewFile} on a disk that fills up and loses power.
 */
class ViewFileTests {

	private static final Path FILE = Path.of("data", "view");

	// Guards against a keeper that stays behind its group because its disk was full once.
	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 7, 8, 20 })
	void aViewThatFoundNoRoomLeavesNothingAndIsWrittenLater(int room) throws Exception {
		FaultyDisk disk = new FaultyDisk(room);
		ViewFile file = new ViewFile(FILE, 1, disk);
		file.write(view(1));
		disk.leaveRoom(room);
		long used = disk.used();
		assertThatIOException().isThrownBy(() -> file.write(view(2)));
		assertThat(disk.used()).isEqualTo(used);
		assertThat(epoch(file)).isEqualTo(1);
		disk.makeRoom();
		file.write(view(3));
		disk.losePower();
		assertThat(epoch(file)).isEqualTo(3);
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void aLossOfPowerInAWriteLeavesTheOldOrTheNewView(int seed) throws Exception {
		FaultyDisk disk = new FaultyDisk(seed);
		ViewFile file = new ViewFile(FILE, 1, disk);
		file.write(view(1));
		disk.failSyncs(1 + (seed % 2));
		try {
			file.write(view(2));
		}
		catch (IOException ex) {
			assertThat(ex).hasMessageContaining("sync");
		}
		disk.losePower();
		assertThat(epoch(file)).isBetween(1L, 2L);
	}

	private static long epoch(ViewFile file) throws IOException {
		return file.read().map(GroupView::epoch).orElse(0L);
	}

	private static GroupView view(long epoch) {
		Member member = Member.newBuilder().setDisk("d").setName("n").setHost("h").setPort(1).build();
		return new GroupView(epoch, List.of(member), List.of(), 1);
	}

}
