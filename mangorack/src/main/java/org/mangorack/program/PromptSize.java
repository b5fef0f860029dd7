package org.mangorack.program;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Computes the size of prompts in tokens and bytes.
 */
public final class PromptSize {

	private static final int CHARS_PER_TOKEN = 4;

	private PromptSize() {
	}

	/**
	 * Estimates the number of tokens in messages. The estimate is not an upper bound and
	 * must be used for scheduling only.
	 * @param messages the messages
	 * @return the estimated number of tokens
	 */
	public static long tokens(List<JsonNode> messages) {
		long chars = 0;
		for (JsonNode message : messages) {
			chars += message.path("content").asText().length();
		}
		return (chars / CHARS_PER_TOKEN) + messages.size();
	}

	/**
	 * Returns the size of messages when encoded as JSON.
	 * @param messages the messages
	 * @return the size in bytes
	 */
	static long bytes(List<JsonNode> messages) {
		long size = 0;
		for (JsonNode message : messages) {
			size += message.toString().getBytes(StandardCharsets.UTF_8).length;
		}
		return size;
	}

}
