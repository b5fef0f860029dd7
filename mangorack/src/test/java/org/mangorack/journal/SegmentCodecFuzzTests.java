package org.mangorack.journal;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.node.ObjectNode;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

import org.mangorack.call.Jsons;
import org.mangorack.fuzz.Mutations;
import org.mangorack.journal.proto.Entry;
import org.mangorack.journal.proto.Segment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Feeds corrupted input to {@link SegmentCodec}.
 */
class SegmentCodecFuzzTests {

	@Property(seed = "2102", tries = 2000)
	void corruptedSegmentIsDecodedOrRejectedWithItsName(@ForAll("damaged") byte[] data) {
		ObjectNode spec = Jsons.object().put("data", new String(data, StandardCharsets.ISO_8859_1));
		try {
			assertThat(SegmentCodec.decode("s-1", spec)).isNotNull();
		}
		catch (IOException ex) {
			assertThat(ex).hasMessageContaining("s-1");
		}
	}

	@Test
	void segmentThatIsNotBase64IsRejectedWithItsName() {
		assertThatExceptionOfType(IOException.class)
			.isThrownBy(() -> SegmentCodec.decode("s-1", Jsons.object().put("data", "%")))
			.withMessageContaining("s-1");
	}

	@Provide
	Arbitrary<byte[]> damaged() {
		Segment segment = Segment.newBuilder()
			.setNonce("n")
			.setSealedBy("i.1")
			.addEntries(Entry.getDefaultInstance())
			.build();
		return Mutations.of(SegmentCodec.encode(segment).path("data").asText().getBytes(StandardCharsets.ISO_8859_1));
	}

}
