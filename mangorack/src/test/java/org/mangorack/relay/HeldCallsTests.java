package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HeldCalls}, with a clock that the tests advance.
 */
class HeldCallsTests {

	private static final Duration WAIT = Duration.ofMillis(100);

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final HeldCalls held = new HeldCalls(this.channel.eventLoop());

	private final List<String> ran = new ArrayList<>();

	HeldCallsTests() {
		this.channel.freezeTime();
	}

	@Test
	void aCancelledRequestIsRemovedWithItsTimer() {
		hold("leaves").cancel();
		assertThat(this.held.size()).isZero();
		assertThat(this.channel.hasPendingTasks()).isFalse();
		this.held.release();
		advance();
		assertThat(this.ran).isEmpty();
	}

	@Test
	void cancellationKeepsTheOrderOfTheOthers() {
		hold("first");
		HeldCalls.HeldCall second = hold("second");
		hold("third");
		second.cancel();
		second.cancel();
		assertThat(this.held.size()).isEqualTo(2);
		this.held.release();
		assertThat(this.ran).containsExactly("first", "third");
	}

	@Test
	void aReleasedRequestHasNoTimerAndIgnoresCancellation() {
		HeldCalls.HeldCall heldCall = hold("one");
		this.held.release();
		assertThat(this.channel.hasPendingTasks()).isFalse();
		heldCall.cancel();
		assertThat(this.held.size()).isZero();
		assertThat(this.ran).containsExactly("one");
	}

	@Test
	void aRequestCancelledDuringAReleaseDoesNotRun() {
		HeldCalls.HeldCall[] second = new HeldCalls.HeldCall[1];
		this.held.hold(WAIT, () -> second[0].cancel());
		second[0] = hold("second");
		this.held.release();
		advance();
		assertThat(this.ran).isEmpty();
	}

	@Test
	void cancellationAfterTheTimeoutHasNoEffect() {
		HeldCalls.HeldCall heldCall = hold("one");
		advance();
		heldCall.cancel();
		assertThat(this.ran).containsExactly("one");
		assertThat(this.held.size()).isZero();
	}

	private HeldCalls.HeldCall hold(String name) {
		return this.held.hold(WAIT, () -> this.ran.add(name));
	}

	private void advance() {
		this.channel.advanceTimeBy(WAIT.toMillis(), TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

}
