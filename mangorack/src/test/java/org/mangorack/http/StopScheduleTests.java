package org.mangorack.http;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StopSchedule}.
 */
class StopScheduleTests {

	private static final Duration LINGER = Duration.ofMillis(2500);

	// Guards against calls that are accepted until the process is killed.
	@ParameterizedTest
	@ValueSource(longs = { 500, 1000, 2000, 2600, 8000, 30_000, 3_600_000 })
	void allTimesLieWithinTheGracePeriodInTheirOrder(long graceMillis) {
		Duration grace = Duration.ofMillis(graceMillis);
		StopSchedule schedule = StopSchedule.of(grace, LINGER);
		assertThat(schedule.acceptingUntil()).isPositive().isLessThanOrEqualTo(LINGER);
		assertThat(schedule.acceptingUntil()).isLessThan(schedule.requestsUntil());
		assertThat(schedule.requestsUntil().multipliedBy(2)).isLessThanOrEqualTo(schedule.callsUntil());
		assertThat(schedule.callsUntil()).isLessThan(schedule.responsesUntil());
		assertThat(schedule.responsesUntil()).isLessThan(grace);
	}

	// Guards against a late process that is killed before it has answered its calls.
	@ParameterizedTest
	@ValueSource(longs = { 0, 100, 300, 700 })
	void aProcessThatRunsLateHasTimeLeftForItsResponses(long delayMillis) {
		Duration delay = Duration.ofMillis(delayMillis);
		Duration grace = Duration.ofSeconds(8);
		StopSchedule schedule = StopSchedule.of(grace, LINGER, delay);
		assertThat(grace.minus(schedule.callsUntil()).minus(delay)).isGreaterThanOrEqualTo(grace.dividedBy(15));
	}

	@ParameterizedTest
	@ValueSource(longs = { 500, 8000, 30_000 })
	void callsAreNotEndedMuchEarlierHoweverLateTheProcessRuns(long graceMillis) {
		Duration grace = Duration.ofMillis(graceMillis);
		StopSchedule schedule = StopSchedule.of(grace, LINGER, grace);
		assertThat(schedule.callsUntil()).isGreaterThanOrEqualTo(grace.multipliedBy(5).dividedBy(6));
		assertThat(schedule.callsUntil()).isLessThan(schedule.responsesUntil());
	}

}
