package org.mangorack.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamSubset}.
 */
class UpstreamSubsetTests {

	private final long now = 1;

	@Test
	void theSubsetIsTheSameAfterARestart() {
		List<TestCandidate> upstreams = upstreams(40);
		assertThat(select("entry-1", upstreams)).isEqualTo(select("entry-1", upstreams)).hasSize(UpstreamSubset.SIZE);
		assertThat(select("entry-2", upstreams)).isNotEqualTo(select("entry-1", upstreams));
	}

	@ParameterizedTest
	@ValueSource(ints = { 0, 1, 3, UpstreamSubset.SIZE })
	void aSmallPoolIsUsedWhole(int count) {
		List<TestCandidate> upstreams = upstreams(count);
		assertThat(select("entry-1", upstreams)).hasSameElementsAs(upstreams);
	}

	/**
	 * Guards against a release that moves the connections of all entries.
	 */
	@Test
	void anUpstreamThatLeavesIsReplacedByOneOther() {
		List<TestCandidate> upstreams = upstreams(40);
		List<TestCandidate> before = select("entry-1", upstreams);
		List<TestCandidate> left = new ArrayList<>(upstreams);
		left.remove(before.get(2));
		assertThat(select("entry-1", left)).containsAll(before.stream().filter((u) -> u != before.get(2)).toList())
			.hasSize(UpstreamSubset.SIZE);
	}

	@Test
	void slowAndAvoidedUpstreamsAreReplaced() {
		List<TestCandidate> upstreams = upstreams(40);
		List<TestCandidate> before = List.copyOf(select("entry-1", upstreams));
		before.get(1).avoided();
		before.get(2).latencyRatio(2.4);
		assertThat(select("entry-1", upstreams)).doesNotContain(before.get(1), before.get(2))
			.hasSize(UpstreamSubset.SIZE);
	}

	/**
	 * Guards against entries that all send to the few upstreams which are not loaded.
	 */
	@Test
	void loadedUpstreamsAreNotReplacedByThoseThatAreNot() {
		List<TestCandidate> upstreams = upstreams(40);
		List<TestCandidate> before = List.copyOf(select("entry-1", upstreams));
		before.subList(0, 4).forEach((u) -> u.load(0.9));
		assertThat(select("entry-1", upstreams)).isEqualTo(before);
		before.get(4).load(0.9);
		assertThat(select("entry-1", upstreams)).isEqualTo(upstreams);
	}

	@Test
	void theWholePoolIsUsedIfAllUpstreamsAreLoaded() {
		List<TestCandidate> upstreams = upstreams(40);
		upstreams.forEach((u) -> u.load(2));
		assertThat(select("entry-1", upstreams)).isEqualTo(upstreams);
	}

	/**
	 * Guards against upstreams that hardly any entry prefers, or that most do.
	 */
	@ParameterizedTest
	@CsvSource({ "74, 19", "300, 40", "300, 75" })
	void eachUpstreamIsPreferredByASimilarNumberOfEntries(int entries, int count) {
		List<TestCandidate> upstreams = upstreams(count);
		Map<TestCandidate, Integer> chosen = new HashMap<>();
		for (int i = 0; i < entries; i++) {
			UpstreamSubset subset = new UpstreamSubset("entry-" + i, "dc" + (i % 3));
			subset.select(upstreams, this.now).forEach((u) -> chosen.merge(u, 1, Integer::sum));
		}
		double mean = entries * UpstreamSubset.SIZE / (double) count;
		double spread = 4 * Math.sqrt(mean);
		assertThat(chosen).hasSize(count);
		assertThat(chosen.values()).allMatch((number) -> Math.abs(number - mean) < spread);
	}

	@Test
	void theOwnDataCentreIsPreferred() {
		List<TestCandidate> upstreams = upstreams(30);
		long own = IntStream.range(0, 200)
			.mapToObj((i) -> new UpstreamSubset("entry-" + i, "dc0").select(upstreams, this.now))
			.flatMap(List::stream)
			.filter((u) -> u.dataCentre().equals("dc0"))
			.count();
		assertThat(own).isGreaterThan(200 * UpstreamSubset.SIZE * 4 / 10);
	}

	private List<TestCandidate> select(String instance, List<TestCandidate> upstreams) {
		return new UpstreamSubset(instance, "dc0").select(upstreams, this.now);
	}

	private static List<TestCandidate> upstreams(int count) {
		return IntStream.range(0, count).mapToObj((i) -> new TestCandidate("u" + i, "dc" + (i % 3))).toList();
	}

}
