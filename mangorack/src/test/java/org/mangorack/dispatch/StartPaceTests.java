package org.mangorack.dispatch;

import java.time.Duration;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StartPace} with a clock that the tests advance.
 */
class StartPaceTests {

	private static final int SLOTS = 8;

	private long now = 1;

	private final StartPace pace = new StartPace(this.now, new SplittableRandom(1));

	/**
	 * Guards against slower service by upstreams that never started during traffic.
	 */
	@Test
	void anUpstreamThatDidNotStartIsNotLimited() {
		this.pace.answered(8, SLOTS);
		assertThat(this.pace.hasRoom(100, 100, 0, this.now)).isTrue();
	}

	/**
	 * Guards against a ramp by time: nothing shows that the upstream is warm.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 0, 1000, 60_000, 3_600_000 })
	void withoutAnswersTheRoomStaysSmall(long millis) {
		this.pace.begin();
		this.now += Duration.ofMillis(millis).toNanos();
		assertThat(this.pace.isLimited()).isTrue();
		assertThat(this.pace.hasRoom(0, 0, 1, this.now)).isTrue();
		assertThat(this.pace.hasRoom(1, 0, 1, this.now)).isFalse();
		assertThat(this.pace.hasRoom(0, 1, 1, this.now)).isFalse();
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 6, 8, 64 })
	void goodAnswersEndTheLimit(int slots) {
		this.pace.begin();
		assertThat(this.pace.isLimited()).isTrue();
		int answers = 0;
		while (this.pace.isLimited()) {
			this.pace.answered(1.2, slots);
			answers++;
		}
		assertThat(answers).isEqualTo(Math.max(1, 2 * (slots - 1)));
	}

	/**
	 * Guards against an end of the limit by a bad answer where the least room is as large
	 * as the slots.
	 */
	@Test
	void anUpstreamWithASingleSlotNeedsAGoodAnswer() {
		this.pace.begin();
		this.pace.answered(8, 1);
		assertThat(this.pace.isLimited()).isTrue();
	}

	@Test
	void aRelapseShrinksTheRoomButLeavesTrialCalls() {
		this.pace.begin();
		answer(8, 1);
		assertThat(this.pace.room()).isEqualTo(5);
		answer(1, StartPace.BAD_RATIO);
		assertThat(this.pace.room()).isEqualTo(2.5);
		answer(50, 8);
		assertThat(this.pace.room()).isEqualTo(1);
		assertThat(this.pace.hasRoom(0, 0, 1, this.now)).isTrue();
	}

	@Test
	void afterARecoveryItIsLimitedAgain() {
		this.pace.begin();
		answer(20, 1);
		assertThat(this.pace.isLimited()).isFalse();
		this.pace.begin();
		assertThat(this.pace.isLimited()).isTrue();
		assertThat(this.pace.room()).isEqualTo(1);
	}

	/**
	 * Guards against full use of an upstream that fails for many callers, and against the
	 * lasting limit of one that is slow at times.
	 */
	@ParameterizedTest
	@CsvSource({ "0, false", "0.05, false", "0.1, false", "0.4, true", "0.6, true", "1, true" })
	void anUpstreamThatFailsPartOfItsRequestsStaysLimitedIfThatPartIsLarge(double part, boolean limited) {
		int limitedAtEnd = 0;
		for (int seed = 0; seed < 100; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			StartPace tried = new StartPace(this.now, random);
			tried.begin();
			for (int i = 0; i < 100; i++) {
				tried.answered((random.nextDouble() < part) ? 8 : 1, SLOTS);
			}
			limitedAtEnd += tried.isLimited() ? 1 : 0;
		}
		assertThat(limitedAtEnd).isBetween(limited ? 95 : 0, limited ? 100 : 5);
	}

	/**
	 * Guards against 74 entries that each send one call to an upstream with room for one,
	 * as they learn of each other's calls late, and against room that none of them uses.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "2, 1", "10, 1", "74, 1", "74, 4", "3, 4" })
	void entriesTogetherUseTheRoomWithoutNewsOfEachOther(int entries, int room) {
		SplittableRandom random = new SplittableRandom(1);
		int intervals = 2000;
		long calls = 0;
		for (int e = 0; e < entries; e++) {
			StartPace entry = new StartPace(this.now, random);
			entry.begin();
			for (int i = 0; i < 2 * (room - 1); i++) {
				entry.answered(1, 64);
			}
			for (int i = 0; i < intervals; i++) {
				int own = 0;
				while (entry.hasRoom(own, 0, 1.0 / entries, i * StartPace.INTERVAL.toNanos())) {
					own++;
				}
				calls += own;
			}
		}
		assertThat(calls / (double) intervals).isBetween(0.9 * room, 1.1 * room);
	}

	@Test
	void answersToOtherEntriesCountOnceForEachHeartbeat() {
		this.pace.begin();
		this.now += Duration.ofMillis(400).toNanos();
		this.pace.answeredElsewhere(4, 0, SLOTS, this.now);
		this.now += Duration.ofMillis(20).toNanos();
		this.pace.answeredElsewhere(4, 0, SLOTS, this.now);
		assertThat(this.pace.room()).isEqualTo(3);
		this.now += Duration.ofMillis(400).toNanos();
		this.pace.answeredElsewhere(2, 2, SLOTS, this.now);
		assertThat(this.pace.room()).isEqualTo(1);
	}

	@Test
	void answersAreReportedOnce() {
		answer(3, 1);
		answer(2, 3);
		assertThat(this.pace.drainGood()).isEqualTo(3);
		assertThat(this.pace.drainBad()).isEqualTo(2);
		assertThat(this.pace.drainGood() + this.pace.drainBad()).isZero();
	}

	private void answer(int times, double latencyRatio) {
		for (int i = 0; i < times; i++) {
			this.pace.answered(latencyRatio, SLOTS);
		}
	}

}
