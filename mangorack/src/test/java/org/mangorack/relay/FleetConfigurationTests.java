package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.relay.FleetConfiguration.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the route lookup of {@link FleetConfiguration}.
 */
class FleetConfigurationTests {

	@ParameterizedTest
	@CsvSource({ "/, /", "/a, /", "/a/, /a/", "/a/b, /a/", "/a/b/, /a/b/", "/a/b/c/d?x=/e/, /a/b/", "/ab/, /",
			"a/b/, " })
	void theLongestMatchingPrefixIsChosen(String path, String prefix) {
		FleetConfiguration configuration = configuration(List.of("/", "/a/", "/a/b/"));
		assertThat(configuration.route("h", path).map(RelayRoute::prefix).orElse(null)).isEqualTo(prefix);
		assertThat(configuration.route("other", path)).isEmpty();
	}

	@Property(seed = "24", tries = 500)
	void lookupAgreesWithALinearSearch(@ForAll("prefixes") List<String> prefixes, @ForAll("paths") String path) {
		String expected = prefixes.stream()
			.filter(path::startsWith)
			.max(Comparator.comparingInt(String::length))
			.orElse(null);
		assertThat(configuration(prefixes).route("h", path).map(RelayRoute::prefix).orElse(null)).isEqualTo(expected);
	}

	@Provide
	Arbitrary<List<String>> prefixes() {
		return paths().map((p) -> p.endsWith("/") ? p : (p + "/")).list().ofMaxSize(12);
	}

	@Provide
	Arbitrary<String> paths() {
		return Arbitraries.strings().withChars("ab/").ofMaxLength(8).map((p) -> "/" + p);
	}

	private static FleetConfiguration configuration(List<String> prefixes) {
		List<RelayRoute> routes = new ArrayList<>();
		prefixes.forEach((prefix) -> routes.add(new RelayRoute("r" + routes.size(), "h", prefix, RetryPolicy.IDEMPOTENT,
				Duration.ofSeconds(1), 1, 0, List.of(new RelayRoute.Share("p", 1)), null, true, false)));
		return new FleetConfiguration(1, routes, List.of(), null, CallerLimits.DEFAULT);
	}

}
