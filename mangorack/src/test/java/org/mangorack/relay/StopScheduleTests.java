package org.mangorack.relay;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StopSchedule}.
 */
class StopScheduleTests {

	// Guards against calls that are accepted until the process is killed.
	@ParameterizedTest
	@ValueSource(longs = { 500, 1000, 2000, 2600, 8000, 30_000, 3_600_000 })
	void allTimesLieWithinTheGracePeriodInTheirOrder(long graceMillis) {
		Duration grace = Duration.ofMillis(graceMillis);
		StopSchedule schedule = StopSchedule.of(grace);
		assertThat(schedule.acceptingUntil()).isPositive().isLessThanOrEqualTo(StopSchedule.LINGER);
		assertThat(schedule.acceptingUntil().multipliedBy(2)).isLessThan(schedule.callsUntil());
		assertThat(schedule.callsUntil()).isLessThan(schedule.responsesUntil());
		assertThat(schedule.responsesUntil()).isLessThan(grace);
	}

}
