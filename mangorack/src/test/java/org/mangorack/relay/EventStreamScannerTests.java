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

	private int events;

	private final EventStreamScanner scanner = new EventStreamScanner(this::take);

	@Property(seed = "3")
	void eventsDoNotDependOnHowTheStreamIsSplit(@ForAll @IntRange(min = 0, max = 85) int first,
			@ForAll @IntRange(min = 0, max = 85) int second) {
		int low = Math.min(Math.min(first, second), STREAM.length());
		int high = Math.min(Math.max(first, second), STREAM.length());
		StringBuilder kept = new StringBuilder();
		EventStreamScanner cut = new EventStreamScanner((id, data) -> {
			kept.append(id).append(' ').append(new String(data, StandardCharsets.UTF_8)).append('|');
			return true;
		});
		cut.scan(bytes(STREAM.substring(0, low)));
		cut.scan(bytes(STREAM.substring(low, high)));
		cut.scan(bytes(STREAM.substring(high)));
		assertThat(kept.toString()).isEqualTo("1 one|2 two|3 th\nree|");
		assertThat(cut.isBetweenEvents()).isTrue();
	}

	@Test
	void onlyCompleteEventsAreCounted() {
		assertThat(this.scanner.scan(bytes("id: 1\ndata: one\n\nid: 2\nda")))
			.isEqualTo("id: 1\ndata: one\n\n".length());
		assertThat(this.scanner.isBetweenEvents()).isFalse();
		assertThat(this.events).isEqualTo(1);
	}

	@ParameterizedTest
	@ValueSource(strings = { ": a comment\n\n", "id: 4\n\n", "\n\n" })
	void blocksWithoutDataAreNotEvents(String text) {
		this.scanner.scan(bytes(text));
		assertThat(this.events).isZero();
		assertThat(this.output.size()).isZero();
	}

	@Test
	void crlfLineEndingsAreAccepted() {
		this.scanner.scan(bytes("data: one\r\n\r\n"));
		assertThat(this.output.toString(StandardCharsets.UTF_8)).isEqualTo("one\n");
	}

	@Test
	void scanningStopsAfterARejectedEvent() {
		EventStreamScanner rejecting = new EventStreamScanner((id, data) -> !id.equals("2"));
		assertThat(rejecting.scan(bytes("id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\ndata: three\n\n")))
			.isEqualTo("id: 1\ndata: one\n\n".length());
		assertThat(rejecting.isRefused()).isTrue();
		assertThat(rejecting.scan(bytes("id: 1\ndata: one\n\n"))).isZero();
	}

	private boolean take(String id, byte[] data) {
		this.events++;
		this.output.writeBytes(data);
		this.output.write('\n');
		return true;
	}

	private static ByteBuf bytes(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
	}

}
