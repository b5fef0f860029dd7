package org.mangorack.program;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;

/**
 * SHA-256 digests of JSON documents and message histories. Documents are digested in a
 * canonical form: the order of fields does not matter, and fields with the value
 * {@code null} are ignored.
 */
public final class Digests {

	/**
	 * The digest of an empty history.
	 */
	public static final String EMPTY_HISTORY = "";

	private Digests() {
	}

	/**
	 * Computes the digest of a document.
	 * @param json the document
	 * @return the digest in hexadecimal
	 */
	public static String of(JsonNode json) {
		return sha256(Jsons.bytes(canonical(json)));
	}

	/**
	 * Computes the digest of bytes.
	 * @param bytes the bytes
	 * @return the digest in hexadecimal
	 */
	public static String sha256(byte[] bytes) {
		return HexFormat.of().formatHex(algorithm().digest(bytes));
	}

	/**
	 * Extends the digest of a history by messages. Each step digests the previous digest
	 * together with the next message.
	 * @param history the digest of the history so far
	 * @param messages the messages to append
	 * @return the digest of the extended history
	 */
	public static String extend(String history, Iterable<JsonNode> messages) {
		String digest = history;
		for (JsonNode message : messages) {
			MessageDigest algorithm = algorithm();
			algorithm.update(digest.getBytes(StandardCharsets.US_ASCII));
			algorithm.update(Jsons.bytes(canonical(message)));
			digest = HexFormat.of().formatHex(algorithm.digest());
		}
		return digest;
	}

	private static JsonNode canonical(JsonNode json) {
		if (json.isObject()) {
			Map<String, JsonNode> sorted = new TreeMap<>();
			json.fields().forEachRemaining((field) -> {
				if (!field.getValue().isNull()) {
					sorted.put(field.getKey(), canonical(field.getValue()));
				}
			});
			ObjectNode result = Jsons.object();
			result.setAll(sorted);
			return result;
		}
		if (json.isArray()) {
			ArrayNode result = Jsons.MAPPER.createArrayNode();
			json.forEach((element) -> result.add(canonical(element)));
			return result;
		}
		return json;
	}

	private static MessageDigest algorithm() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not supported by this Java runtime", ex);
		}
	}

}
