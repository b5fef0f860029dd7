package org.mangorack.relay;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ResponseStream}.
 */
class ResponseStreamTests {

	private final ResponseStream stream = new ResponseStream(true, true, null);

	@Test
	void aSecondRunResumesAfterTheLastEvent() {
		run(this.stream, "1 2");
		assertThat(this.stream.lastEventId()).isEqualTo("2");
		assertThat(run(this.stream, "3 4")).isEqualTo("3 4");
		assertThat(new String(this.stream.output(), StandardCharsets.UTF_8)).isEqualTo("d1\nd2\nd3\nd4\n");
		assertThat(this.stream.events()).isEqualTo(4);
	}

	@ParameterizedTest
	@CsvSource({ "1 2, 1 2 3, ''", "1 2, 2 3, ''", "1 2, 4 5, ''", "1 2, x 3, ''", "1 2, 3 5 6, 3", "1 2, 3 3, 3",
			"1 3, 2 4, ''", "1 3, 5 7, 5 7" })
	void aSecondRunWithOtherEventsIsRejected(String first, String second, String accepted) {
		run(this.stream, first);
		assertThat(run(this.stream, second)).isEqualTo(accepted);
	}

	@Test
	void aRunMayStartAnywhereIfTheCallerReceivedNothing() {
		run(this.stream, "");
		assertThat(this.stream.lastEventId()).isNull();
		assertThat(run(this.stream, "1 2")).isEqualTo("1 2");
	}

	@ParameterizedTest
	@ValueSource(strings = { "x", "-1", "1.5", "99999999999999999999" })
	void aStreamWithNonNumericIdsIsNotResumed(String id) {
		run(this.stream, "1 " + id);
		assertThat(this.stream.mayRetry()).isFalse();
	}

	@Test
	void aNonResumableStreamIsNotRetriedOnceItBegan() {
		ResponseStream notResumable = new ResponseStream(false, false, null);
		assertThat(notResumable.mayRetry()).isTrue();
		assertThat(run(notResumable, "1 1 x")).isEqualTo("1 1 x");
		assertThat(notResumable.mayRetry()).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ "5, 6 7, 8, 8", "5, 6 7, 1, ''", "many, 6 7, 8, 8", "99, 6 7, 8, 8" })
	void aCallerMayHaveResumedInAnEarlierRequest(String callers, String first, String second, String accepted) {
		ResponseStream resumed = new ResponseStream(true, false, callers);
		assertThat(run(resumed, first)).isEqualTo(first);
		assertThat(run(resumed, second)).isEqualTo(accepted);
	}

	// Returns the ids of the accepted events, up to the first one that was rejected.
	private static String run(ResponseStream stream, String ids) {
		stream.runStarted();
		stream.begin();
		StringBuilder accepted = new StringBuilder();
		for (String id : ids.isEmpty() ? new String[0] : ids.split(" ")) {
			if (!stream.accept(id, ("d" + id).getBytes(StandardCharsets.UTF_8))) {
				break;
			}
			accepted.append(accepted.isEmpty() ? "" : " ").append(id);
		}
		return accepted.toString();
	}

}
