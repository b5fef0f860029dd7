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
 * Tests for {@link StartupGate}, on a clock that the tests advance.
 */
class StartupGateTests {

	private long now = 1;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final EventLoop loop = this.channel.eventLoop();

	private final StartupGate gate = new StartupGate(this.loop, () -> this.now);

	private final List<String> passed = new ArrayList<>();

	StartupGateTests() {
		this.channel.freezeTime();
	}

	@Test
	void requestsThatWaitPassInTheirOrderOnceItOpens() {
		this.gate.submit(null, () -> this.passed.add("first"));
		this.gate.submit(null, () -> this.passed.add("second"));
		assertThat(this.passed).isEmpty();
		this.gate.open();
		assertThat(this.passed).containsExactly("first", "second");
		advance(StartupGate.MAX_WAIT.toMillis() + 1);
		assertThat(this.passed).hasSize(2);
	}

	@ParameterizedTest
	@CsvSource({ ", 900", "1000, 400", "60000, 900" })
	void aRequestWaitsForPartOfItsTimeOnly(Long timeLeftMillis, long waitMillis) {
		this.gate.submit((timeLeftMillis != null) ? Duration.ofMillis(timeLeftMillis) : null,
				() -> this.passed.add("one"));
		advance(waitMillis - 1);
		assertThat(this.passed).isEmpty();
		advance(2);
		assertThat(this.passed).containsExactly("one");
		this.gate.open();
		assertThat(this.passed).hasSize(1);
	}

	@Test
	void requestsPassAtOnceWhenItWasOpened() {
		this.gate.open();
		this.gate.submit(null, () -> this.passed.add("one"));
		assertThat(this.passed).containsExactly("one");
	}

	@Test
	void itOpensByItselfWhenWhatIsMissingStaysAway() {
		advance(StartupGate.OPEN_AFTER.toMillis() + 1);
		this.gate.submit(null, () -> this.passed.add("one"));
		assertThat(this.passed).containsExactly("one");
	}

	@Test
	void aRequestThatComesWhileOthersPassKeepsItsPlace() {
		this.gate.submit(null, () -> {
			this.passed.add("first");
			this.gate.submit(null, () -> this.passed.add("made by the first"));
		});
		this.gate.open();
		assertThat(this.passed).containsExactly("first", "made by the first");
	}

	private void advance(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

}
