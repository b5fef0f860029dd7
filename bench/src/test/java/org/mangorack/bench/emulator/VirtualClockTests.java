package org.mangorack.bench.emulator;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link VirtualClock}.
 */
class VirtualClockTests {

	private final VirtualClock clock = new VirtualClock();

	private final List<String> ran = new ArrayList<>();

	@Test
	void eventsRunInTheOrderOfTheirTimesAndThenOfScheduling() {
		note(20, "c");
		note(10, "a");
		note(10, "b");
		this.clock.run();
		assertThat(this.ran).containsExactly("a@10", "b@10", "c@20");
	}

	@Test
	void repeatedEventsEndWithTheOthers() {
		this.clock.every(5, 10, () -> this.ran.add("tick@" + this.clock.nanoTime()));
		note(30, "last");
		this.clock.run();
		assertThat(this.ran).containsExactly("tick@5", "tick@15", "tick@25", "last@30");
	}

	@Test
	void aTimeThatHasPassedIsRefused() {
		note(10, "a");
		this.clock.run();
		assertThatIllegalArgumentException().isThrownBy(() -> this.clock.at(9, () -> {
		}));
	}

	private void note(long at, String name) {
		this.clock.at(at, () -> this.ran.add(name + "@" + this.clock.nanoTime()));
	}

}
