package org.mangorack.journal;

import java.io.IOException;
import java.util.Base64;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Compression;
import org.mangorack.call.Jsons;
import org.mangorack.journal.proto.Segment;

/**
 * Converts journal segments to and from the content of objects in the object store.
 */
final class SegmentCodec {

	/**
	 * Maximum size of a decompressed segment in bytes.
	 */
	static final int MAX_BYTES = 256 * 1024 * 1024;

	private static final String DATA = "data";

	private SegmentCodec() {
	}

	static JsonNode encode(Segment segment) {
		ObjectNode spec = Jsons.object();
		spec.put(DATA, Base64.getEncoder().encodeToString(Compression.compress(segment.toByteArray())));
		return spec;
	}

	static Segment decode(String name, JsonNode spec) throws IOException {
		try {
			byte[] bytes = Base64.getDecoder().decode(spec.path(DATA).asText());
			return Segment.parseFrom(Compression.decompress(bytes, MAX_BYTES));
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new IOException("failed to decode segment " + name + ": " + ex.getMessage(), ex);
		}
	}

}
