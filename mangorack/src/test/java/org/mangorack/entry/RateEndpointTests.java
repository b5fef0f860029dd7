package org.mangorack.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.junit.jupiter.api.Test;

import org.mangorack.call.CallAnswer;
import org.mangorack.limit.BucketTable.Grant;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RateEndpoint}: how the response of the owner is read. A truncated
 * response must not be taken for a grant.
 */
class RateEndpointTests {

	@Test
	void completeResponseGrantsCalls() {
		assertThat(RateEndpoint.parseGrant(CallAnswer.text(200, "3 500")))
			.contains(new Grant(3, Duration.ofNanos(500)));
	}

	@Test
	void truncatedResponseGrantsNothing() {
		CallAnswer broken = CallAnswer.stream(200, "text/plain", (out) -> {
			out.write("3 5".getBytes(StandardCharsets.US_ASCII));
			throw new IOException("interrupted");
		});
		assertThat(RateEndpoint.parseGrant(broken)).isEmpty();
	}

	@Test
	void refusalGrantsNothing() {
		assertThat(RateEndpoint.parseGrant(CallAnswer.text(404, "3 500"))).isEmpty();
	}

}
