package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.proto.Turn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link TurnIndex} with random trees of turns, against a model that searches all
 * turns.
 */
class TurnIndexTests {

	private static final EntryPosition POSITION = new EntryPosition(1, 0, 1);

	private static final int STEPS = 60;

	@Property(seed = "3301", tries = 200)
	void aTurnIsHeldWhileItOrATurnThatContinuesItIsRetained(@ForAll long seed) {
		Random random = new Random(seed);
		TurnIndex index = new TurnIndex(Long.MAX_VALUE);
		List<Held> all = new ArrayList<>();
		for (int now = 0; now < STEPS; now++) {
			List<String> held = index.ids();
			String previous = (held.isEmpty() || (random.nextInt(4) == 0)) ? "" : held.get(random.nextInt(held.size()));
			Held added = new Held("t" + now, previous, now + random.nextInt(12));
			all.add(added);
			index.add(Turn.newBuilder().setId(added.id()).setPrevious(previous).build(), now / 10, added.expiresAt());
			index.expire(now);
			Set<String> expected = retained(all, now);
			assertThat(index.ids()).as("at %d", now).containsExactlyInAnyOrderElementsOf(expected);
			all.removeIf((h) -> !expected.contains(h.id()));
		}
		index.expire(10 * STEPS);
		assertThat(index.size()).isZero();
		assertThat(index.oldestSegment(STEPS)).isEqualTo(STEPS);
	}

	@ParameterizedTest
	@ValueSource(strings = { "abc", "cba", "bac", "cab" })
	void aChainIsWholeOnceItsTurnsAreSyncedInAnyOrder(String order) {
		TurnIndex index = new TurnIndex(Long.MAX_VALUE);
		Map<String, String> previous = Map.of("a", "", "b", "a", "c", "b");
		for (String id : order.split("")) {
			assertThat(index.newestMissing("c")).isNotEmpty();
			Turn turn = Turn.newBuilder().setId(id).setPrevious(previous.get(id)).build();
			index.synced(index.add(turn, 1, 10), POSITION);
		}
		assertThat(index.newestMissing("c")).isEmpty();
		List<String> chain = new ArrayList<>();
		assertThat(index.forEachOfChain("c", (t) -> chain.add(t.id()))).isEmpty();
		assertThat(chain).containsExactly("c", "b", "a");
		index.expire(11);
		assertThat(index.size()).isZero();
	}

	@Test
	void theChainOfATurnThatNamesItselfEnds() {
		TurnIndex index = new TurnIndex(Long.MAX_VALUE);
		index.synced(index.add(Turn.newBuilder().setId("a").setPrevious("a").build(), 1, 10), POSITION);
		assertThat(index.newestMissing("a")).isEqualTo("a");
		assertThat(index.forEachOfChain("a", (t) -> {
		})).isEqualTo("a");
		index.expire(11);
		assertThat(index.size()).isZero();
	}

	private static Set<String> retained(List<Held> all, long now) {
		Set<String> retained = new HashSet<>();
		for (int i = all.size() - 1; i >= 0; i--) {
			Held turn = all.get(i);
			if ((turn.expiresAt() >= now) || retained.contains(turn.id())) {
				retained.add(turn.id());
				retained.add(turn.previous());
			}
		}
		retained.remove("");
		return retained;
	}

	/**
	 * A turn of the model.
	 *
	 * @param id the id
	 * @param previous the id of the turn that it continues, or an empty string
	 * @param expiresAt when its own retention ends
	 */
	private record Held(String id, String previous, long expiresAt) {
	}

}
