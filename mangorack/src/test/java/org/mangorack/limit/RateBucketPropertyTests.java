package org.mangorack.limit;

import java.time.Duration;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.mangorack.observe.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class RateBucketPropertyTests {

	@Property(seed = "4711", tries = 300)
	void neverGrantsMoreThanBurstAndRate(@ForAll @DoubleRange(min = 0.5, max = 500) double rate,
			@ForAll @IntRange(min = 1, max = 200) int burst,
			@ForAll @Size(max = 60) List<@IntRange(min = 0, max = 2000) Integer> pauses) {
		ManualClock clock = new ManualClock();
		RateBucket bucket = new RateBucket(clock, burst);
		long startedAt = clock.nanoTime();
		long granted = 0;
		for (int pause : pauses) {
			clock.advance(Duration.ofMillis(pause));
			granted += bucket.take(pause + 1, rate, burst);
			double seconds = (clock.nanoTime() - startedAt) / 1e9;
			assertThat((double) granted).isLessThanOrEqualTo(burst + (rate * seconds) + 1e-6);
		}
	}

	@Property(seed = "4711", tries = 100)
	void grantsTheNextTokenAfterTheReportedTime(@ForAll @DoubleRange(min = 0.5, max = 500) double rate) {
		ManualClock clock = new ManualClock();
		RateBucket bucket = new RateBucket(clock, 0);
		assertThat(bucket.take(1, rate, 1)).isZero();
		clock.advance(bucket.timeUntilNextToken(rate).plusNanos(1000));
		assertThat(bucket.take(1, rate, 1)).isEqualTo(1);
	}

}
