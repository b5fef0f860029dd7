package org.mangorack.bench.emulator;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.bench.emulator.load.PlannedCall;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link CallResult}.
 */
class CallResultTests {

	private static final long TARGET_NANOS = 100;

	private static final long RETURN_LATENCY_NANOS = 10;

	private final VirtualClock clock = new VirtualClock();

	private final CallResult result = new CallResult(this.clock,
			new PlannedCall(1, "lookup", 0, 0, List.of(), 0, 1, TARGET_NANOS, 1000, true), RETURN_LATENCY_NANOS,
			(outcome) -> {
			});

	@ParameterizedTest
	@CsvSource({ "90, true", "91, false" })
	void aRefusalIsInVainIfAnUpstreamWouldHaveAnsweredInTime(long at, boolean inVain) {
		this.result.wouldHaveAnswered(at);
		assertThat(this.result.isRefusedInVain()).as("not refused yet").isFalse();
		this.result.ended(CallOutcome.FULL);
		assertThat(this.result.isRefusedInVain()).isEqualTo(inVain);
		assertThat(this.result.isAdmittedInVain()).isFalse();
	}

	@Test
	void aRefusalWithoutSuchAnUpstreamIsNot() {
		this.result.ended(CallOutcome.FULL);
		assertThat(this.result.isRefusedInVain()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "90, ANSWERED, false", "91, ANSWERED, true", "90, FAILED, false", "91, EXPIRED, true" })
	void anAdmissionIsInVainIfTheFirstEventIsLate(long at, CallOutcome outcome, boolean inVain) {
		this.clock.at(at, () -> {
			this.result.firstEvent();
			this.result.ended(outcome);
		});
		this.clock.run();
		assertThat(this.result.firstEventNanos()).isEqualTo(at + RETURN_LATENCY_NANOS);
		assertThat(this.result.isAdmittedInVain()).isEqualTo(inVain);
		assertThat(this.result.isRefusedInVain()).isFalse();
	}

	@Test
	void aCallEndsOnce() {
		this.result.ended(CallOutcome.ANSWERED);
		assertThatIllegalStateException().isThrownBy(() -> this.result.ended(CallOutcome.ANSWERED));
	}

}
