package org.mangorack.journal;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Base64;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;
import org.mangorack.journal.proto.Segment;

/**
 * Converts segments to the content of objects and back.
 */
final class SegmentCodec {

	private static final String DATA = "data";

	private SegmentCodec() {
	}

	static JsonNode encode(Segment segment) {
		ObjectNode spec = Jsons.object();
		spec.put(DATA, Base64.getEncoder().encodeToString(compress(segment)));
		return spec;
	}

	static Segment decode(String name, JsonNode spec) throws IOException {
		byte[] bytes = Base64.getDecoder().decode(spec.path(DATA).asText());
		try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
			return Segment.parseFrom(in);
		}
		catch (IOException ex) {
			throw new IOException("segment " + name + " cannot be read: " + ex.getMessage(), ex);
		}
	}

	private static byte[] compress(Segment segment) {
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DeflaterOutputStream out = new DeflaterOutputStream(bytes, deflater)) {
			segment.writeTo(out);
		}
		catch (IOException ex) {
			throw new IllegalStateException("a segment cannot be written to memory", ex);
		}
		finally {
			deflater.end();
		}
		return bytes.toByteArray();
	}

}
