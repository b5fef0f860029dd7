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

}
