package org.mangorack.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.Prompt;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PromptPlacement}. A test of its effect on callers under load is part
 * of the emulator's tests.
 */
class PromptPlacementTests {

	private static final Prompt PROMPT = Prompt.parse("5:512,a:2000");

	private static final KeptPrompt KEPT = new KeptPrompt("e0", 2200);

	private final EngineTimes times = new EngineTimes();

	private long now = 1;

	@Test
	void withoutCandidatesNoEngineIsSelected() {
		assertThat(choose(List.of(), KEPT, 1)).isNull();
		assertThat(PromptPlacement.home(List.<TestCandidate>of(), PROMPT, this.now)).isNull();
	}

	/**
	 * Guards against conversations whose prompt is read again because another engine was
	 * a little less loaded for a moment.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 0, 0.25, 0.5, 0.75, 0.9 })
	void aConversationStaysWithItsEngineWhileThatHasSlots(double load) {
		List<TestCandidate> engines = engines(12);
		engines.get(0).load(load);
		engines.subList(1, 12).forEach((e) -> e.load(load / 2));
		for (int seed = 0; seed < 50; seed++) {
			assertThat(choose(engines, KEPT, seed)).isSameAs(engines.get(0));
		}
	}

	@ParameterizedTest
	@CsvSource({ "2.5, 1", "0.5, 4" })
	void aConversationLeavesAnEngineThatIsOverloadedOrSlow(double load, double latencyRatio) {
		List<TestCandidate> engines = engines(12);
		engines.forEach((e) -> e.load(0.4));
		engines.get(0).load(load).latencyRatio(latencyRatio);
		for (int seed = 0; seed < 50; seed++) {
			assertThat(choose(engines, KEPT, seed)).isNotSameAs(engines.get(0));
		}
	}

	@Test
	void aConversationLeavesAnAvoidedEngineUnlessAllAreAvoided() {
		List<TestCandidate> engines = engines(3);
		engines.get(0).avoided();
		assertThat(choose(engines, KEPT, 1)).isNotSameAs(engines.get(0));
		engines.forEach(TestCandidate::avoided);
		assertThat(choose(engines, KEPT, 1)).isSameAs(engines.get(0));
	}

	@Test
	void aConversationWhoseEngineIsGoneIsPlacedElsewhere() {
		assertThat(choose(engines(3).subList(1, 3), KEPT, 1)).isNotNull();
	}

	/**
	 * Guards against new conversations at an engine that has the fewest calls but takes
	 * much longer for each.
	 */
	@Test
	void newConversationsAvoidSlowEngines() {
		List<TestCandidate> engines = engines(12);
		IntStream.range(0, 12).filter((i) -> i % 3 == 0).forEach((i) -> engines.get(i).latencyRatio(2.4));
		engines.stream().filter((e) -> e.latencyRatio() == 1).forEach((e) -> e.load(0.5));
		for (int seed = 0; seed < 50; seed++) {
			assertThat(choose(engines, null, seed).latencyRatio()).isEqualTo(1);
		}
	}

	/**
	 * Guards against entries that act on the same news and all choose the same engine.
	 */
	@Test
	void entriesWithTheSameNewsChooseDifferentEngines() {
		List<TestCandidate> engines = engines(31);
		engines.forEach((e) -> e.load(0.5));
		engines.get(7).load(0.1);
		Map<TestCandidate, Integer> chosen = new HashMap<>();
		for (int seed = 0; seed < 74; seed++) {
			chosen.merge(choose(engines, null, seed), 1, Integer::sum);
		}
		assertThat(chosen.values()).allMatch((count) -> count <= 74 / 3);
	}

	@Test
	void theHomeOfASessionIsStableAndEvenlySpread() {
		List<TestCandidate> engines = engines(30);
		Map<String, Integer> homes = new HashMap<>();
		for (int i = 0; i < 3000; i++) {
			Prompt prompt = Prompt.parse("5:512," + Integer.toHexString(i) + ":900");
			KeptPrompt home = PromptPlacement.home(engines, prompt, this.now);
			homes.merge(home.upstream(), 1, Integer::sum);
			List<TestCandidate> fewer = engines.stream().filter((e) -> !e.id().equals("e3")).toList();
			if (!home.upstream().equals("e3")) {
				assertThat(PromptPlacement.home(fewer, prompt, this.now)).isEqualTo(home);
			}
		}
		assertThat(homes).hasSize(30);
		assertThat(homes.values()).allMatch((count) -> (count > 60) && (count < 140));
	}

	/**
	 * Guards against sessions that move to another engine with each small change of the
	 * latency ratios.
	 */
	@Test
	void smallChangesOfTheLatencyRatioMoveNoSession() {
		List<TestCandidate> engines = engines(10);
		Prompt prompt = Prompt.parse("5:512,a:900");
		KeptPrompt home = PromptPlacement.home(engines, prompt, this.now);
		IntStream.range(0, 10).forEach((i) -> engines.get(i).latencyRatio(0.9 + (0.02 * i)));
		assertThat(PromptPlacement.home(engines, prompt, this.now)).isEqualTo(home);
	}

	@Test
	void anAvoidedEngineIsTheHomeOfNoSession() {
		List<TestCandidate> engines = engines(10);
		Prompt prompt = Prompt.parse("5:512,a:900");
		String home = PromptPlacement.home(engines, prompt, this.now).upstream();
		engines.stream().filter((e) -> e.id().equals(home)).forEach(TestCandidate::avoided);
		assertThat(PromptPlacement.home(engines, prompt, this.now).upstream()).isNotEqualTo(home);
	}

	@Test
	void aSlowEngineIsTheHomeOfFewSessions() {
		List<TestCandidate> engines = engines(10);
		engines.get(0).latencyRatio(2);
		long slow = IntStream.range(0, 1000)
			.filter((i) -> PromptPlacement.home(engines, Prompt.parse(Integer.toHexString(i) + ":900"), this.now)
				.upstream()
				.equals("e0"))
			.count();
		assertThat(slow).isLessThan(40);
	}

	private TestCandidate choose(List<TestCandidate> engines, KeptPrompt kept, long seed) {
		PromptPlacement<TestCandidate> placement = new PromptPlacement<>(new SplittableRandom(seed), "dc0",
				new UpstreamSubset("entry-" + seed, "dc0"));
		return placement.choose(engines, PROMPT, kept, this.times, this.now);
	}

	private static List<TestCandidate> engines(int count) {
		return IntStream.range(0, count).mapToObj((i) -> new TestCandidate("e" + i, "dc" + (i % 3))).toList();
	}

}
