package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.ConfigurationRelay.RateLimit;
import org.mangorack.keeper.proto.Draw;
import org.mangorack.keeper.proto.Usage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WorkspaceBuckets} with a manual clock.
 */
class WorkspaceBucketsTests {

	private static final String WORKSPACE = "w";

	private static final int CALLS_PER_PROGRAM = 8;

	// The overdraft at ten calls per second and a burst of twenty.
	private static final int OVERDRAFT = 9;

	private long now = 1;

	@Test
	void aNewBucketIsEmptyAndFillsAtTheRate() {
		WorkspaceBuckets buckets = buckets(10, 20);
		assertThat(buckets.draw(beginning(true))).isGreaterThan(Duration.ZERO);
		assertThat(countGranted(buckets, call(), 100)).isEqualTo(OVERDRAFT);
		advance(0.5);
		assertThat(countGranted(buckets, call(), 100)).isEqualTo(5);
		advance(60);
		assertThat(countGranted(buckets, call(), 100)).isEqualTo(20 + OVERDRAFT);
	}

	@Test
	void beginningsLeaveTheOverdraftToRunningPrograms() {
		WorkspaceBuckets buckets = buckets(10, 20);
		advance(2);
		assertThat(countGranted(buckets, beginning(true), 100)).isLessThanOrEqualTo(20);
		assertThat(countGranted(buckets, call(), 100)).isGreaterThanOrEqualTo(OVERDRAFT);
	}

	@ParameterizedTest
	@CsvSource({ "1, 1", "7, 7", "48, 20", "500, 500" })
	void theToleranceHoldsEvenIfAllBucketsAreLost(double rate, double burst) {
		advance(60);
		WorkspaceBuckets before = buckets(rate, burst);
		advance(60);
		int calls = countGranted(before, call(), 10_000);
		WorkspaceBuckets after = buckets(rate, burst);
		for (int i = 0; i < 50; i++) {
			calls += countGranted(after, call(), 1000);
			advance(0.1);
		}
		assertThat((double) calls).isLessThanOrEqualTo((1.1 * ((5 * rate) + burst)) + 20);
	}

	@Test
	void reportedCallsMayMakeTheLevelNegative() {
		WorkspaceBuckets buckets = buckets(10, 20);
		advance(2);
		buckets.deduct(List.of(Usage.newBuilder().setWorkspace(WORKSPACE).setCalls(30 + OVERDRAFT).build()));
		advance(0.9);
		assertThat(buckets.draw(call())).isGreaterThan(Duration.ZERO);
		advance(0.3);
		assertThat(buckets.draw(call())).isZero();
	}

	@Test
	void aWorkspaceWithoutALimitIsNeverRefused() {
		WorkspaceBuckets buckets = new WorkspaceBuckets(() -> this.now, new FixedConfiguration(null));
		assertThat(countGranted(buckets, call(), 1000)).isEqualTo(1000);
	}

	@Test
	void callsThatDidNotRunAreReturned() {
		WorkspaceBuckets buckets = buckets(10, 20);
		advance(2);
		assertThat(countGranted(buckets, call(), 100)).isEqualTo(20 + OVERDRAFT);
		buckets.deduct(List.of(Usage.newBuilder().setWorkspace(WORKSPACE).setCalls(-3).build()));
		assertThat(countGranted(buckets, call(), 100)).isEqualTo(3);
	}

	@Test
	void onlyBucketsThatAreNotNearlyFullAreReported() {
		WorkspaceBuckets buckets = buckets(10, 20);
		advance(2);
		assertThat(buckets.levels()).isEmpty();
		countGranted(buckets, call(), 5);
		assertThat(buckets.levels()).singleElement().satisfies((level) -> assertThat(level.getCalls()).isEqualTo(15));
		advance(0.4);
		assertThat(buckets.levels()).isEmpty();
	}

	@Test
	void aRaisedLimitMakesAFullBucketReported() {
		FixedConfiguration configuration = new FixedConfiguration(new RateLimit(10, 20));
		WorkspaceBuckets buckets = new WorkspaceBuckets(() -> this.now, configuration);
		advance(2);
		assertThat(buckets.levels()).isEmpty();
		configuration.change(new RateLimit(10, 100));
		assertThat(buckets.levels()).singleElement().satisfies((level) -> assertThat(level.getCalls()).isEqualTo(20));
	}

	@Test
	void urgentProgramsBeginWhereOthersHaveToWait() {
		WorkspaceBuckets buckets = buckets(80, 80);
		advance(5);
		countGranted(buckets, call(), 55);
		assertThat(countGranted(buckets, beginning(false), 1000)).isPositive();
		assertThat(buckets.draw(beginning(false))).isGreaterThan(Duration.ZERO);
		assertThat(buckets.draw(beginning(true))).isZero();
	}

	/**
	 * Simulates a workspace that demands several times its rate limit. Programs arrive at
	 * random and make eight calls each, 300 ms apart. A running program retries a refused
	 * call if it may after less than 300 ms, and is aborted otherwise.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 2, 4, 8 })
	void anOverloadedWorkspaceFinishesMostProgramsThatItBegins(double overload) {
		double rate = 70;
		WorkspaceBuckets buckets = buckets(rate, rate);
		advance(10);
		Random random = new Random(5);
		PriorityQueue<long[]> calls = new PriorityQueue<>(Comparator.comparingLong((long[] c) -> c[0]));
		double arrivals = overload * rate / CALLS_PER_PROGRAM;
		long end = this.now + seconds(20);
		for (long t = this.now; t < end; t += (long) (-Math.log(1 - random.nextDouble()) / arrivals * 1e9)) {
			calls.add(new long[] { t, 0 });
		}
		int begun = 0;
		int finished = 0;
		while (!calls.isEmpty()) {
			long[] call = calls.poll();
			this.now = Math.max(this.now, call[0]);
			boolean first = call[1] == 0;
			Duration wait = buckets.draw(first ? beginning(false) : call());
			if (wait.isZero()) {
				begun += first ? 1 : 0;
				finished += (call[1] == CALLS_PER_PROGRAM - 1) ? 1 : 0;
				if (call[1] < CALLS_PER_PROGRAM - 1) {
					calls.add(new long[] { call[0] + seconds(0.3), call[1] + 1 });
				}
			}
			else if (!first && (wait.compareTo(Duration.ofMillis(300)) < 0)) {
				calls.add(new long[] { call[0] + wait.toNanos(), call[1] });
			}
		}
		double possible = rate * 20 / CALLS_PER_PROGRAM;
		assertThat((double) finished / begun).as("finished of begun").isGreaterThan(0.85);
		assertThat(finished).as("finished of those that the rate allows").isGreaterThan((int) (0.75 * possible));
	}

	// ---- Helpers

	private WorkspaceBuckets buckets(double rate, double burst) {
		return new WorkspaceBuckets(() -> this.now, new FixedConfiguration(new RateLimit(rate, burst)));
	}

	private void advance(double seconds) {
		this.now += seconds(seconds);
	}

	private static long seconds(double seconds) {
		return (long) (seconds * 1e9);
	}

	private static int countGranted(WorkspaceBuckets buckets, Draw draw, int tries) {
		List<Duration> waits = new ArrayList<>();
		for (int i = 0; i < tries; i++) {
			waits.add(buckets.draw(draw));
		}
		return (int) waits.stream().filter(Duration::isZero).count();
	}

	private static Draw call() {
		return Draw.newBuilder().setWorkspace(WORKSPACE).build();
	}

	private static Draw beginning(boolean urgent) {
		return Draw.newBuilder().setWorkspace(WORKSPACE).setBeginning(true).setUrgent(urgent).build();
	}

}
