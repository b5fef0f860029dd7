package org.mangorack.observe;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LoopDelay}, with a clock that the tests advance.
 */
class LoopDelayTests {

	private static final Duration STALL = Duration.ofSeconds(1);

	private long now = 1;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final Metrics metrics = new Metrics();

	private final LoopDelay delay = new LoopDelay(this.channel.eventLoop(), () -> this.now, this.metrics);

	@BeforeEach
	void start() {
		this.channel.freezeTime();
		this.delay.start();
	}

	@Test
	void aLoopThatRunsWhenItShouldHasNoDelay() {
		run(LoopDelay.WINDOW);
		assertThat(this.delay.longest()).isZero();
		assertThat(this.metrics.scrape()).contains("mangorack_loop_delay_seconds_count 50");
	}

	@Test
	void aStallOfTheLoopIsMeasured() {
		run(STALL);
		this.now += STALL.toNanos();
		run(STALL);
		assertThat(this.delay.longest()).isEqualTo(STALL);
	}

	@Test
	void aStallIsForgottenAfterTwoWindows() {
		this.now += STALL.toNanos();
		run(LoopDelay.INTERVAL);
		run(LoopDelay.WINDOW.minus(STALL));
		assertThat(this.delay.longest()).isEqualTo(STALL);
		run(LoopDelay.WINDOW.multipliedBy(2));
		assertThat(this.delay.longest()).isZero();
	}

	private void run(Duration time) {
		for (long passed = 0; passed < time.toNanos(); passed += LoopDelay.INTERVAL.toNanos()) {
			this.now += LoopDelay.INTERVAL.toNanos();
			this.channel.advanceTimeBy(LoopDelay.INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

}
