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
 * Tests for {@link PlatformOutageDetector}, with a clock that the tests advance.
 */
class PlatformOutageDetectorTests {

	private static final int AFTER_OUTAGE_THRESHOLD_MILLIS = 3500;

	private long now = 1_000_000_000;

	private Duration timeSinceOwnContact = Duration.ofMillis(AFTER_OUTAGE_THRESHOLD_MILLIS);

	private final PlatformOutageDetector detector = new PlatformOutageDetector(() -> this.now,
			PlatformOutageDetectorTests::view, () -> this.timeSinceOwnContact);

	@Test
	void noResponseToAnyInstanceIsAnOutage() {
		reportHeartbeatReplies(3, AFTER_OUTAGE_THRESHOLD_MILLIS, AFTER_OUTAGE_THRESHOLD_MILLIS, 7);
		assertThat(this.detector.isFleetWideOutage()).isTrue();
	}

	@Test
	void aResponseToOneKeeperIsNoOutage() {
		reportHeartbeatReplies(4, AFTER_OUTAGE_THRESHOLD_MILLIS, AFTER_OUTAGE_THRESHOLD_MILLIS, 7);
		reportPulse(2, 500, AFTER_OUTAGE_THRESHOLD_MILLIS, 7);
		assertThat(this.detector.isFleetWideOutage()).isFalse();
	}

	@Test
	void aResponseToOneEntryIsNoOutage() {
		reportHeartbeatReplies(4, AFTER_OUTAGE_THRESHOLD_MILLIS, AFTER_OUTAGE_THRESHOLD_MILLIS, 7);
		reportPulse(1, AFTER_OUTAGE_THRESHOLD_MILLIS, 200, 7);
		assertThat(this.detector.isFleetWideOutage()).isFalse();
	}

	@Test
	void aResponseToThisInstanceIsNoOutage() {
		reportHeartbeatReplies(4, AFTER_OUTAGE_THRESHOLD_MILLIS, AFTER_OUTAGE_THRESHOLD_MILLIS, 7);
		this.timeSinceOwnContact = Duration.ofMillis(100);
		assertThat(this.detector.isFleetWideOutage()).isFalse();
	}

	@Test
	void reportsOfTooFewKeepersAreInconclusive() {
		reportHeartbeatReplies(2, AFTER_OUTAGE_THRESHOLD_MILLIS, AFTER_OUTAGE_THRESHOLD_MILLIS, 7);
		assertThat(this.detector.isFleetWideOutage()).isFalse();
	}

	@Test
	void outdatedReportsAreInconclusive() {
		reportHeartbeatReplies(4, AFTER_OUTAGE_THRESHOLD_MILLIS, AFTER_OUTAGE_THRESHOLD_MILLIS, 7);
		this.now += Duration.ofSeconds(2).toNanos();
		assertThat(this.detector.isFleetWideOutage()).isFalse();
	}

	@Test
	void reportsCoveringTooFewEntriesAreInconclusive() {
		reportHeartbeatReplies(4, 100, 100, 8);
		reportHeartbeatReplies(4, AFTER_OUTAGE_THRESHOLD_MILLIS, AFTER_OUTAGE_THRESHOLD_MILLIS, 4);
		assertThat(this.detector.isFleetWideOutage()).isFalse();
		reportHeartbeatReplies(4, AFTER_OUTAGE_THRESHOLD_MILLIS, AFTER_OUTAGE_THRESHOLD_MILLIS, 5);
		assertThat(this.detector.isFleetWideOutage()).isTrue();
	}

	private void reportHeartbeatReplies(int count, int keeperAge, int entriesAge, int entries) {
		for (int i = 0; i < count; i++) {
			reportPulse(i, keeperAge, entriesAge, entries);
		}
	}

	private void reportPulse(int keeper, int keeperAge, int entriesAge, int entries) {
		this.detector.update("d" + keeper,
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
