package org.mangorack.relay;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

import org.mangorack.fuzz.Mutations;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fuzz tests for {@link EventStreamScanner} and {@link ResponseStream} with corrupted
 * input.
 */
class EventStreamScannerFuzzTests {

	@Property(seed = "2106", tries = 1000)
	void aCorruptedStreamIsParsedTheSameInOneOrTwoParts(@ForAll("damaged") byte[] bytes,
			@ForAll @IntRange(min = 0, max = 400) int cut) {
		ResponseStream whole = new ResponseStream(true, true, null);
		EventStreamScanner scanner = new EventStreamScanner(whole::accept);
		int taken = scanner.scan(Unpooled.wrappedBuffer(bytes));
		assertThat(taken).isBetween(0, bytes.length);
		ResponseStream parts = new ResponseStream(true, true, null);
		EventStreamScanner second = new EventStreamScanner(parts::accept);
		int first = Math.min(cut, bytes.length);
		ByteBuf rest = Unpooled.wrappedBuffer(bytes, first, bytes.length - first);
		second.scan(Unpooled.wrappedBuffer(bytes, 0, first));
		second.scan(rest);
		assertThat(parts.events()).isEqualTo(whole.events());
		assertThat(parts.output()).isEqualTo(whole.output()).hasSizeLessThanOrEqualTo(bytes.length);
	}

	@Provide
	Arbitrary<byte[]> damaged() {
		return Mutations.of("id: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: three\r\n\r\n: remark\n\nid: 3\ndata:\n\n"
			.getBytes(StandardCharsets.UTF_8));
	}

}
