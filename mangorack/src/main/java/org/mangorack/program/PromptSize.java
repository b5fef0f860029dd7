package org.mangorack.program;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Estimates the tokens of prompts, for scheduling only.
 */
public final class PromptSize {

	private static final int CHARS_PER_TOKEN = 4;

	private PromptSize() {
	}

	/**
	 * Estimates the tokens of messages.
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

}
