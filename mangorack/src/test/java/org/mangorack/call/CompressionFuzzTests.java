package org.mangorack.call;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.mangorack.fuzz.Mutations;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fuzz tests for {@link Compression}: corrupt input must either decompress to at most the
 * limit or fail with an {@link IOException}.
 */
class CompressionFuzzTests {

	private static final int LIMIT = 10_000;

	@Property(seed = "2101", tries = 2000)
	void damagedBytesAreRestoredWithinTheLimitOrRefused(@ForAll("damaged") byte[] bytes) {
		try {
			assertThat(Compression.decompress(bytes, LIMIT).length).isLessThanOrEqualTo(LIMIT);
		}
		catch (IOException ex) {
			assertThat(ex).isNotNull();
		}
	}

	@Provide
	Arbitrary<byte[]> damaged() {
		return Mutations.of(Compression.compress(new byte[100]),
				Compression.compress("{\"a\":1}".getBytes(StandardCharsets.UTF_8)),
				Compression.compress(new byte[50 * LIMIT]));
	}

}
