package org.mangorack.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.observe.Metrics;
import org.mangorack.relay.MemoryBudget.Holder;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MemoryBudget}.
 */
class MemoryBudgetTests {

	private static final long LIMIT = 1000;

	private final Metrics metrics = new Metrics();

	private final MemoryBudget budget = new MemoryBudget(LIMIT, this.metrics);

	private final List<String> givenUp = new ArrayList<>();

	@Test
	void theHolderOfTheMostBytesIsGivenUpWhenTheLimitIsExceeded() {
		holder("a").set(300);
		holder("b").set(500);
		Holder grows = holder("c");
		grows.set(200);
		assertThat(this.givenUp).isEmpty();
		grows.add(1);
		assertThat(this.givenUp).containsExactly("b");
		assertThat(this.budget.heldBytes()).isEqualTo(501);
		assertThat(this.metrics.registry().get("mangorack.held.given.up").tag("kind", "test").counter().count())
			.isEqualTo(1);
	}

	@Test
	void aHolderThatExceedsTheLimitAloneIsGivenUpAlone() {
		holder("a").set(400);
		holder("b").set(LIMIT + 1);
		assertThat(this.givenUp).containsExactly("b");
		assertThat(this.budget.heldBytes()).isEqualTo(400);
	}

	@Test
	void asManyHoldersAreGivenUpAsTheLimitRequires() {
		holder("a").set(400);
		holder("b").set(500);
		holder("c").set(950);
		holder("d").set(600);
		assertThat(this.givenUp).containsExactly("c", "d");
		assertThat(this.budget.heldBytes()).isEqualTo(900);
	}

	@Test
	void aClosedOrGivenUpHolderHoldsNothing() {
		Holder closed = holder("a");
		closed.set(900);
		closed.close();
		closed.set(900);
		closed.close();
		Holder exceeding = holder("b");
		exceeding.set(LIMIT + 1);
		exceeding.add(1);
		assertThat(this.budget.heldBytes()).isZero();
		assertThat(this.givenUp).containsExactly("b");
	}

	@Test
	void bytesThatAreTakenUpWhileAHolderIsGivenUpAreCounted() {
		Holder refusal = holder("refusal");
		holder("small").set(100);
		this.budget.newHolder("test", () -> "call", () -> {
			this.givenUp.add("call");
			refusal.set(LIMIT);
		}).set(LIMIT);
		assertThat(this.givenUp).containsExactly("call", "refusal");
		assertThat(this.budget.heldBytes()).isEqualTo(100);
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void theSumNeverExceedsTheLimit(long seed) {
		Random random = new Random(seed);
		Map<Integer, Holder> open = new HashMap<>();
		for (int i = 0; i < 5000; i++) {
			Holder changed = open.computeIfAbsent(random.nextInt(30), (n) -> holder("h" + n));
			if (random.nextInt(5) == 0) {
				changed.close();
				open.values().remove(changed);
			}
			else {
				changed.set(random.nextInt(200));
			}
			assertThat(this.budget.heldBytes()).isBetween(0L, LIMIT);
		}
		open.values().forEach(Holder::close);
		assertThat(this.budget.heldBytes()).isZero();
		assertThat(this.givenUp).isNotEmpty();
	}

	private Holder holder(String name) {
		return this.budget.newHolder("test", () -> name, () -> this.givenUp.add(name));
	}

}
