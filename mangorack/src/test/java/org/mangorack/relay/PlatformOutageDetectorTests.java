package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.mangorack.keeper.GroupView;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Pulse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlatformOutageDetector}, on a clock that the tests advance.
 */
class PlatformOutageDetectorTests {

	private static final int LONG = 3500;

	private long now = 1_000_000_000;

	private Duration own = Duration.ofMillis(LONG);

	private final PlatformOutageDetector contact = new PlatformOutageDetector(() -> this.now,
			PlatformOutageDetectorTests::view, () -> this.own);

	@Test
	void nobodyHavingHadAnAnswerIsAnOutage() {
		pulses(3, LONG, LONG, 7);
		assertThat(this.contact.isFleetWideOutage()).isTrue();
	}

	@Test
	void oneKeeperWithAnAnswerIsNone() {
		pulses(4, LONG, LONG, 7);
		pulse(2, 500, LONG, 7);
		assertThat(this.contact.isFleetWideOutage()).isFalse();
	}

	@Test
	void oneEntryWithAnAnswerIsNone() {
		pulses(4, LONG, LONG, 7);
		pulse(1, LONG, 200, 7);
		assertThat(this.contact.isFleetWideOutage()).isFalse();
	}

	@Test
	void anAnswerOfItsOwnIsNone() {
		pulses(4, LONG, LONG, 7);
		this.own = Duration.ofMillis(100);
		assertThat(this.contact.isFleetWideOutage()).isFalse();
	}

	@Test
	void tooFewKeepersProveNothing() {
		pulses(2, LONG, LONG, 7);
		assertThat(this.contact.isFleetWideOutage()).isFalse();
	}

	@Test
	void oldPulsesProveNothing() {
		pulses(4, LONG, LONG, 7);
		this.now += Duration.ofSeconds(2).toNanos();
		assertThat(this.contact.isFleetWideOutage()).isFalse();
	}

	@Test
	void keepersThatHearFewEntriesProveNothing() {
		pulses(4, 100, 100, 8);
		pulses(4, LONG, LONG, 4);
		assertThat(this.contact.isFleetWideOutage()).isFalse();
		pulses(4, LONG, LONG, 5);
		assertThat(this.contact.isFleetWideOutage()).isTrue();
	}

	private void pulses(int count, int keeperAge, int entriesAge, int entries) {
		for (int i = 0; i < count; i++) {
			pulse(i, keeperAge, entriesAge, entries);
		}
	}

	private void pulse(int keeper, int keeperAge, int entriesAge, int entries) {
		this.contact.update("d" + keeper,
				Pulse.newBuilder()
					.setContactAgeMs(keeperAge)
					.setEntriesContactAgeMs(entriesAge)
					.setEntriesHeard(entries)
					.build());
	}

	private static GroupView view() {
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			members.add(Member.newBuilder().setDisk("d" + i).build());
		}
		return new GroupView(1, members, List.of(), 1);
	}

}
