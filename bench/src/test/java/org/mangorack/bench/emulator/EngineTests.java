package org.mangorack.bench.emulator;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.bench.emulator.load.LoadShape.EngineShape;
import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.bench.emulator.load.PromptPart;
import org.mangorack.call.UpstreamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Engine}.
 */
class EngineTests {

	private static final PromptPart SHARED = new PromptPart(0, 500);

	private static final long NO_DEADLINE = Long.MAX_VALUE / 2;

	private final VirtualClock clock = new VirtualClock();

	private final PromptReads reads = new PromptReads();

	@ParameterizedTest
	@CsvSource({ "1, 1", "100, 1", "512, 10", "513, 10", "5000, 40" })
	void anIdleEngineTakesTheIdleTime(int prompt, int output) {
		EngineShape shape = shape(8, 4, 10_000);
		RecordedAttempt attempt = submit(engine(shape), output, new PromptPart(1, prompt));
		this.clock.run();
		assertThat(attempt.outcome()).isEqualTo(CallOutcome.ANSWERED);
		assertThat(attempt.firstEventAt()).isEqualTo(shape.idleNanos(prompt, 1));
		assertThat(attempt.endedAt()).isEqualTo(shape.idleNanos(prompt, output));
		assertThat(this.reads.tokens()).isEqualTo(prompt);
	}

	@Test
	void partsThatAreHeldAreNotReadAgain() {
		Engine engine = engine(shape(8, 4, 10_000));
		submit(engine, 5, SHARED, new PromptPart(1, 100));
		this.clock.at(1_000_000_000, () -> submit(engine, 5, SHARED, new PromptPart(1, 100), new PromptPart(2, 30)));
		this.clock.run();
		assertThat(this.reads.tokens()).isEqualTo(630);
		assertThat(this.reads.tokensAgain()).isZero();
	}

	@Test
	void aPartThatTwoReadAtOnceIsReadTwiceAndHeldOnce() {
		Engine engine = engine(shape(8, 4, 10_000));
		submit(engine, 5, SHARED, new PromptPart(1, 100));
		submit(engine, 5, SHARED, new PromptPart(2, 100));
		this.clock.run();
		assertThat(this.reads.tokens()).isEqualTo(1200);
		assertThat(this.reads.tokensAgain()).isEqualTo(500);
	}

	@Test
	void aStepTakesLongerWithMoreRequests() {
		Engine engine = engine(shape(8, 4, 10_000));
		List<RecordedAttempt> attempts = IntStream.range(0, 4)
			.mapToObj((i) -> submit(engine, 20, new PromptPart(i, 10)))
			.toList();
		this.clock.run();
		assertThat(attempts)
			.allSatisfy((a) -> assertThat(a.endedAt()).isGreaterThan(shape(8, 4, 10_000).idleNanos(10, 20) * 3 / 2));
	}

	@Test
	void requestsBeginInTheOrderOfArrival() {
		Engine engine = engine(shape(1, 4, 10_000));
		List<RecordedAttempt> attempts = IntStream.range(0, 4)
			.mapToObj((i) -> submit(engine, 5, new PromptPart(i, 10)))
			.toList();
		this.clock.run();
		assertThat(attempts).extracting(RecordedAttempt::firstEventAt).isSorted().doesNotHaveDuplicates();
	}

	@Test
	void theNewestIsPreemptedAndAnsweredLater() {
		Engine engine = engine(shape(2, 4, 300));
		RecordedAttempt first = submit(engine, 100, new PromptPart(1, 100));
		RecordedAttempt second = submit(engine, 100, new PromptPart(2, 100));
		this.clock.run();
		assertThat(this.reads.preemptions()).isPositive();
		assertThat(this.reads.tokensAgain()).isPositive();
		assertThat(engine.peakTokens()).isLessThanOrEqualTo(300);
		assertThat(first.outcome()).isEqualTo(CallOutcome.ANSWERED);
		assertThat(second.outcome()).isEqualTo(CallOutcome.ANSWERED);
		assertThat(first.endedAt()).isLessThan(second.endedAt());
	}

	@Test
	void aRequestLargerThanTheMemoryIsRefused() {
		RecordedAttempt attempt = submit(engine(shape(2, 4, 300)), 101, new PromptPart(1, 200));
		this.clock.run();
		assertThat(attempt.outcome()).isEqualTo(CallOutcome.FULL);
		assertThat(attempt.wouldHaveBegunAt()).isNegative();
	}

	@Test
	void aRefusedRequestWouldHaveBegunAfterThoseBeforeIt() {
		Engine engine = engine(shape(1, 1, 10_000));
		RecordedAttempt running = submit(engine, 5, new PromptPart(1, 10));
		RecordedAttempt waiting = submit(engine, 5, new PromptPart(2, 10));
		RecordedAttempt refused = submit(engine, 5, new PromptPart(3, 10));
		this.clock.run();
		assertThat(refused.outcome()).isEqualTo(CallOutcome.FULL);
		assertThat(refused.endedAt()).isZero();
		assertThat(running.endedAt()).isLessThan(waiting.firstEventAt());
		assertThat(refused.wouldHaveBegunAt()).isEqualTo(waiting.endedAt());
	}

	@Test
	void aRequestThatWaitsPastItsDeadlineIsDropped() {
		Engine engine = engine(shape(1, 1, 10_000));
		submit(engine, 50, new PromptPart(1, 10));
		RecordedAttempt late = new RecordedAttempt(this.clock);
		engine.submit(call(5, new PromptPart(2, 10)), 1000, late);
		this.clock.run();
		assertThat(late.outcome()).isEqualTo(CallOutcome.EXPIRED);
		assertThat(late.endedAt()).isEqualTo(1000);
		assertThat(this.reads.tokens()).isEqualTo(10);
	}

	@Test
	void aRequestIsNotDroppedAfterItsFirstEvent() {
		EngineShape shape = shape(1, 1, 10_000);
		RecordedAttempt attempt = new RecordedAttempt(this.clock);
		engine(shape).submit(call(50, new PromptPart(1, 10)), shape.idleNanos(10, 3), attempt);
		this.clock.run();
		assertThat(attempt.outcome()).isEqualTo(CallOutcome.ANSWERED);
	}

	@Test
	void aSlowEngineTakesAMultiple() {
		EngineShape shape = shape(1, 1, 10_000);
		Engine engine = engine(shape);
		engine.setSlowness(4);
		RecordedAttempt attempt = submit(engine, 10, new PromptPart(1, 10));
		this.clock.run();
		assertThat(attempt.endedAt()).isEqualTo(4 * shape.idleNanos(10, 10));
	}

	@ParameterizedTest
	@CsvSource({ "0, ANSWERED", "1, FAILED" })
	void aGreyEngineFailsItsShare(double share, CallOutcome outcome) {
		Engine engine = engine(shape(1, 1, 10_000));
		engine.setFailureShare(share);
		RecordedAttempt attempt = submit(engine, 10, new PromptPart(1, 10));
		this.clock.run();
		assertThat(attempt.outcome()).isEqualTo(outcome);
	}

	// ---- Helpers

	private static EngineShape shape(int slots, int queue, int memory) {
		return new EngineShape(1, slots, queue, memory, 2, 1, 250, 512);
	}

	private Engine engine(EngineShape shape) {
		return new Engine(this.clock, new UpstreamId("e"), "dc0", shape, this.reads, new SplittableRandom(1));
	}

	private RecordedAttempt submit(Engine engine, int output, PromptPart... prompt) {
		RecordedAttempt attempt = new RecordedAttempt(this.clock);
		engine.submit(call(output, prompt), NO_DEADLINE, attempt);
		return attempt;
	}

	private static PlannedCall call(int output, PromptPart... prompt) {
		return new PlannedCall(prompt[prompt.length - 1].id(), "turn", 0, 0, List.of(prompt), output, 0, NO_DEADLINE,
				NO_DEADLINE, false);
	}

}
