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

	private final List<String> executed = new ArrayList<>();

	@Test
	void eventsRunInTheOrderOfTheirTimesAndThenOfScheduling() {
		schedule(20, "c");
		schedule(10, "a");
		schedule(10, "b");
		this.clock.run();
		assertThat(this.executed).containsExactly("a@10", "b@10", "c@20");
	}

	@Test
	void repeatedEventsEndWithTheOthers() {
		this.clock.every(5, 10, () -> this.executed.add("tick@" + this.clock.nanoTime()));
		schedule(30, "last");
		this.clock.run();
		assertThat(this.executed).containsExactly("tick@5", "tick@15", "tick@25", "last@30");
	}

	@Test
	void aTimeThatHasPassedIsRefused() {
		schedule(10, "a");
		this.clock.run();
		assertThatIllegalArgumentException().isThrownBy(() -> this.clock.at(9, () -> {
		}));
	}

	private void schedule(long at, String name) {
		this.clock.at(at, () -> this.executed.add(name + "@" + this.clock.nanoTime()));
	}

}
