package org.mangorack.http;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ResponseRules}.
 */
class ResponseRulesTests {

	@ParameterizedTest
	@CsvSource({ "HTTP/1.1, OK, Keep-Alive, timeout=5", "HTTP/1.0, '', Via, HTTP/1.1 cache",
			"HTTP/1.1, OK, Server, HTTP/1.1", "HTTP/1.1, , Retry-After, 200", "HTTP/1.1, OK, X, HTTP/2.0 200" })
	void aProperHeadIsAccepted(String protocol, String reason, String name, String value) {
		assertThat(ResponseRules.check(protocol, reason, headers(name, value))).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "HTTP/1.1, InteHTTP/1.1 200 OK, Keep-Alive, timeout=5", "HTTP/1.1, HTTP/1.0 500, X, y",
			"HTTP/1.1, OK, Keep-Alive, timeHTTP/1.1 200 OK", "HTTP/1.1, OK, ResHTTP/1.1 404, y", "HTHTTP/1.1, OK, X, y",
			"HTTP/1.1, OK, Keep-Alive, timeHTTP/1.1 000", "HTTP/1.1, HTTP/1.1 999 X, X, y", "ICY/1.1, OK, X, y",
			"HTTP/2.0, OK, X, y" })
	void aHeadThatHoldsAnotherOneIsRejected(String protocol, String reason, String name, String value) {
		assertThat(ResponseRules.check(protocol, reason, headers(name, value))).isPresent();
	}

	private static List<Map.Entry<String, String>> headers(String name, String value) {
		return List.of(Map.entry("Content-Length", "3"), Map.entry(name, value));
	}

}
