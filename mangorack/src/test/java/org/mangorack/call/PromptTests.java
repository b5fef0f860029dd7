package org.mangorack.call;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Prompt}.
 */
class PromptTests {

	@Test
	void partsAreReadInOrder() {
		Prompt prompt = Prompt.parse("5c1e07a2:800, 91bd3f06:410,e4402b7d:250");
		assertThat(prompt.parts()).containsExactly(new Prompt.Part("5c1e07a2", 800), new Prompt.Part("91bd3f06", 410),
				new Prompt.Part("e4402b7d", 250));
		assertThat(prompt.tokens()).isEqualTo(1460);
		assertThat(prompt.sharedTokens()).isEqualTo(800);
		assertThat(prompt.sessionPart()).isEqualTo("e4402b7d");
	}

	@Test
	void theOnlyPartIsNotShared() {
		assertThat(Prompt.parse("5c1e07a2:800").sharedTokens()).isZero();
	}

	/**
	 * A list with an unreadable entry says nothing about what is kept, and must not cost
	 * the request.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", ",", "5c1e07a2", "5c1e07a2:", ":800", "5c1e07a2:-1", "5c1e07a2:1e3", "xyz:800",
			"5c1e07a2:800,,91bd3f06:410", "5c1e07a2:800,", "5c1e07a2:99999999999999999999", "5c1e07a2:800:1" })
	void aMalformedListIsUnknown(String text) {
		assertThat(Prompt.parse(text)).isEqualTo(Prompt.UNKNOWN);
		assertThat(Prompt.parse(text).isKnown()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(ints = { 257, 5000 })
	void aListOfTooManyPartsIsUnknown(int parts) {
		String text = IntStream.range(0, parts)
			.mapToObj((i) -> Integer.toHexString(i) + ":1")
			.collect(Collectors.joining(","));
		assertThat(Prompt.parse(text).isKnown()).isFalse();
	}

	@Test
	void repeatedPartsCountEachTime() {
		assertThat(Prompt.parse("a:1,a:1,a:1").tokens()).isEqualTo(3);
	}

}
