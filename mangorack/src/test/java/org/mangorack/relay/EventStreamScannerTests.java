package org.mangorack.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EventStreamScanner}.
 */
class EventStreamScannerTests {

	private static final String STREAM = "id: 1\ndata: one\n\nweight-versions: 3\nid: 2\ndata:two\n\nid: 3\ndata: th\ndata: ree\n\n";

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	@Property(seed = "3")
	void theOutputDoesNotDependOnWhereTheStreamIsCut(@ForAll @IntRange(min = 0, max = 85) int first,
			@ForAll @IntRange(min = 0, max = 85) int second) {
		int low = Math.min(Math.min(first, second), STREAM.length());
		int high = Math.min(Math.max(first, second), STREAM.length());
		ByteArrayOutputStream kept = new ByteArrayOutputStream();
		EventStreamScanner scanner = new EventStreamScanner(kept);
		scanner.scan(bytes(STREAM.substring(0, low)));
		scanner.scan(bytes(STREAM.substring(low, high)));
		scanner.scan(bytes(STREAM.substring(high)));
		assertThat(kept.toString(StandardCharsets.UTF_8)).isEqualTo("one\ntwo\nth\nree\n");
		assertThat(scanner.events()).isEqualTo(3);
		assertThat(scanner.isBetweenEvents()).isTrue();
	}

	@Test
	void onlyWholeEventsCountAsPassable() {
		EventStreamScanner scanner = new EventStreamScanner(this.output);
		assertThat(scanner.scan(bytes("id: 1\ndata: one\n\nid: 2\nda"))).isEqualTo("id: 1\ndata: one\n\n".length());
		assertThat(scanner.isBetweenEvents()).isFalse();
		assertThat(scanner.events()).isEqualTo(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { ": a comment\n\n", "id: 4\n\n", "\n\n" })
	void linesWithoutDataAreNoEvent(String text) {
		EventStreamScanner scanner = new EventStreamScanner(this.output);
		scanner.scan(bytes(text));
		assertThat(scanner.events()).isZero();
		assertThat(this.output.size()).isZero();
	}

	@Test
	void carriageReturnsEndLinesToo() {
		EventStreamScanner scanner = new EventStreamScanner(this.output);
		scanner.scan(bytes("data: one\r\n\r\n"));
		assertThat(this.output.toString(StandardCharsets.UTF_8)).isEqualTo("one\n");
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
	}

}
