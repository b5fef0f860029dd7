package org.mangorack.bench.emulator;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import org.mangorack.bench.emulator.load.LoadShape.ServiceShape;
import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.call.UpstreamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlainService}.
 */
class PlainServiceTests {

	private static final long PROCESSING_NANOS = 1000;

	private final VirtualClock clock = new VirtualClock();

	private final PlainService service = new PlainService(this.clock, new UpstreamId("s"), "dc0",
			new ServiceShape(1, 2, 1, 0), 1.5, new SplittableRandom(1));

	@Test
	void callsTakeSlotsThenTheQueueAndThenAreRefused() {
		RecordedAttempt first = submit(Long.MAX_VALUE);
		RecordedAttempt second = submit(Long.MAX_VALUE);
		RecordedAttempt third = submit(Long.MAX_VALUE);
		RecordedAttempt fourth = submit(Long.MAX_VALUE);
		this.clock.run();
		assertThat(first.endedAt()).isEqualTo(1500);
		assertThat(second.endedAt()).isEqualTo(1500);
		assertThat(third.endedAt()).isEqualTo(3000);
		assertThat(fourth.outcome()).isEqualTo(CallOutcome.FULL);
		assertThat(fourth.wouldHaveBegunAt()).isEqualTo(1500);
	}

	@Test
	void aCallExpiresInTheQueueButNotWhileProcessed() {
		RecordedAttempt first = submit(100);
		submit(Long.MAX_VALUE);
		RecordedAttempt third = submit(100);
		this.clock.run();
		assertThat(first.outcome()).isEqualTo(CallOutcome.ANSWERED);
		assertThat(third.outcome()).isEqualTo(CallOutcome.EXPIRED);
		assertThat(third.endedAt()).isEqualTo(100);
	}

	private RecordedAttempt submit(long deadline) {
		RecordedAttempt attempt = new RecordedAttempt(this.clock);
		this.service.submit(new PlannedCall(1, "lookup", 0, 0, List.of(), 0, PROCESSING_NANOS, 1, 1, true), deadline,
				attempt);
		return attempt;
	}

}
