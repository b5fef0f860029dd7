package org.mangorack.keeper;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.mangorack.keeper.proto.Load;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamLatencies} with a manual clock.
 */
class UpstreamLatenciesTests {

	private long now = 1;

	private final UpstreamLatencies latencies = new UpstreamLatencies(() -> this.now);

	@Test
	void smallDeviationsAreNotReported() {
		answers(50, 1.05);
		assertThat(this.latencies.all()).isEmpty();
	}

	@Test
	void slowAnswersOfManyEntriesAccumulate() {
		for (int entry = 0; entry < 10; entry++) {
			answers(2, 4);
		}
		assertThat(this.latencies.all().get("u")).isBetween(3.5, 4.0);
	}

	@Test
	void oneSlowAnswerHasLittleWeight() {
		answers(1, 4);
		assertThat(this.latencies.all().get("u")).isLessThan(1.5);
	}

	@Test
	void aPaceDecaysWithoutAnswers() {
		answers(30, 4);
		this.now += TimeUnit.SECONDS.toNanos(20);
		assertThat(this.latencies.all()).isEmpty();
	}

	private void answers(int count, double ratio) {
		this.latencies.add(Load.newBuilder().setUpstream("u").setAnswers(count).setPaceSum(count * ratio).build());
	}

}
