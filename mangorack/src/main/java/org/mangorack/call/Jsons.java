package org.mangorack.call;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The shared JSON mapper. It rejects duplicate fields and trailing tokens.
 */
public final class Jsons {

	/**
	 * The shared mapper.
	 */
	public static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.disable(JsonReadFeature.ALLOW_TRAILING_COMMA)
		.build();

	private static final int MAX_STRING_LENGTH = 16 * 1024 * 1024;

	static {
		MAPPER.getFactory()
			.setStreamReadConstraints(StreamReadConstraints.builder().maxStringLength(MAX_STRING_LENGTH).build());
	}

	private Jsons() {
	}

	/**
	 * Parses a JSON document.
	 * @param bytes the document
	 * @return the tree, or a missing node if the document is empty
	 * @throws IOException if the document is not valid JSON
	 */
	public static JsonNode parse(byte[] bytes) throws IOException {
		return MAPPER.readTree(bytes);
	}

	/**
	 * Serialises a JSON tree.
	 * @param json the tree
	 * @return the document
	 */
	public static byte[] bytes(JsonNode json) {
		try {
			return MAPPER.writeValueAsBytes(json);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to serialise a JSON tree", ex);
		}
	}

	/**
	 * Reads an upper limit. A limit beyond the range of the type is the largest value of
	 * the type, which is as good as none.
	 * @param json the value
	 * @param absent the limit if the value is absent or not a number
	 * @return the limit
	 */
	public static int intLimit(JsonNode json, int absent) {
		return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, longLimit(json, absent)));
	}

	/**
	 * Reads an upper limit. A limit beyond the range of the type is the largest value of
	 * the type, which is as good as none.
	 * @param json the value
	 * @param absent the limit if the value is absent or not a number
	 * @return the limit
	 */
	public static long longLimit(JsonNode json, long absent) {
		if (!json.isNumber()) {
			return json.isBoolean() ? absent : json.asLong(absent);
		}
		// A floating-point number is converted to the nearest value of the type.
		return json.canConvertToLong() ? json.longValue() : (long) json.doubleValue();
	}

	/**
	 * Creates an empty JSON object.
	 * @return the new object
	 */
	public static ObjectNode object() {
		return MAPPER.createObjectNode();
	}

}
