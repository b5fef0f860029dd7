package org.mangorack.limit;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link ProgramAdmission}.
 */
class ProgramAdmissionTests {

	private final ProgramAdmission admission = new ProgramAdmission(new SplittableRandom(1));

	@ParameterizedTest
	@CsvSource({ "0, 0, 1", "0, 0.85, 1", "1, 0.75, 1", "2, 0.65, 1", "0, 1.25, 0.15", "2, 1.05, 0.15", "9, 0.65, 1",
			"-3, 0.85, 1" })
	void programsBeginUpToAFillThatDependsOnTheirPriority(int priority, double fill, double probability) {
		assertThat(ProgramAdmission.probability(priority, fill)).isCloseTo(probability, within(1e-9));
	}

	/**
	 * Guards against a priority that is starved, and against an order of priorities that
	 * is inverted at some fill.
	 */
	@Property
	void aHigherPriorityNeverBeginsLessOftenAndNoneIsStarved(@ForAll @IntRange(max = 5) int priority,
			@ForAll @DoubleRange(max = 4) double fill, @ForAll @DoubleRange(max = 1) double more) {
		double probability = ProgramAdmission.probability(priority, fill);
		assertThat(probability).isBetween(ProgramAdmission.MIN_PROBABILITY, 1.0);
		assertThat(ProgramAdmission.probability(priority + 1, fill)).isLessThanOrEqualTo(probability);
		assertThat(ProgramAdmission.probability(priority, fill + more)).isLessThanOrEqualTo(probability);
	}

	@Test
	void anIdlePoolAdmitsAllPrograms() {
		for (int i = 0; i < 1000; i++) {
			assertThat(this.admission.admits(i % 3, 0.6)).isTrue();
		}
	}

	/**
	 * Guards against refused callers that all come back at the same moment.
	 */
	@Test
	void refusedCallersReturnSpreadOverTheTimeOfATurn() {
		Set<Long> tenths = new HashSet<>();
		for (int i = 0; i < 200; i++) {
			Duration wait = this.admission.retryAfter(1.2, 250);
			assertThat(wait).isBetween(ProgramAdmission.MIN_RETRY_AFTER, Duration.ofMillis(450));
			tenths.add(wait.toMillis() / 30);
		}
		assertThat(tenths).hasSizeGreaterThanOrEqualTo(9);
	}

}
