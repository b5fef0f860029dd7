package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StartupGate}, with a clock that the tests advance.
 */
class StartupGateTests {

	private long now = 1;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final EventLoop loop = this.channel.eventLoop();

	private final StartupGate gate = new StartupGate(this.loop, () -> this.now);

	private final List<String> ran = new ArrayList<>();

	StartupGateTests() {
		this.channel.freezeTime();
	}

	@Test
	void heldRequestsRunInOrderWhenTheGateOpens() {
		this.gate.submit(null, () -> this.ran.add("first"));
		this.gate.submit(null, () -> this.ran.add("second"));
		assertThat(this.ran).isEmpty();
		this.gate.open();
		assertThat(this.ran).containsExactly("first", "second");
		advance(StartupGate.MAX_WAIT.toMillis() + 1);
		assertThat(this.ran).hasSize(2);
	}

	@ParameterizedTest
	@CsvSource({ ", 900", "1000, 400", "60000, 900" })
	void aRequestWaitsForAFractionOfItsRemainingTime(Long timeLeftMillis, long waitMillis) {
		this.gate.submit((timeLeftMillis != null) ? Duration.ofMillis(timeLeftMillis) : null,
				() -> this.ran.add("one"));
		advance(waitMillis - 1);
		assertThat(this.ran).isEmpty();
		advance(2);
		assertThat(this.ran).containsExactly("one");
		this.gate.open();
		assertThat(this.ran).hasSize(1);
	}

	@Test
	void requestsRunAtOnceWhenTheGateIsOpen() {
		this.gate.open();
		this.gate.submit(null, () -> this.ran.add("one"));
		assertThat(this.ran).containsExactly("one");
	}

	@Test
	void theGateOpensAfterTheTimeLimit() {
		advance(StartupGate.OPEN_AFTER.toMillis() + 1);
		this.gate.submit(null, () -> this.ran.add("one"));
		assertThat(this.ran).containsExactly("one");
	}

	@Test
	void aRequestSubmittedDuringOpeningRunsAfterItsPredecessor() {
		this.gate.submit(null, () -> {
			this.ran.add("first");
			this.gate.submit(null, () -> this.ran.add("made by the first"));
		});
		this.gate.open();
		assertThat(this.ran).containsExactly("first", "made by the first");
	}

	private void advance(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

}
