package org.mangorack.program;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Measures prompts.
 */
public final class PromptSize {

	private static final int CHARS_PER_TOKEN = 4;

	private PromptSize() {
	}

	/**
	 * Estimates the tokens of messages, for scheduling only.
	 * @param messages the messages
	 * @return the estimate
	 */
	public static long tokens(List<JsonNode> messages) {
		long chars = 0;
		for (JsonNode message : messages) {
			chars += message.path("content").asText().length();
		}
		return (chars / CHARS_PER_TOKEN) + messages.size();
	}

	/**
	 * Returns the length of messages.
	 * @param messages the messages
	 * @return the bytes of the messages as JSON
	 */
	static long bytes(List<JsonNode> messages) {
		long size = 0;
		for (JsonNode message : messages) {
			size += message.toString().getBytes(StandardCharsets.UTF_8).length;
		}
		return size;
	}

}
