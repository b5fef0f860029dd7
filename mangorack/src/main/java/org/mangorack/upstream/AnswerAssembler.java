package org.mangorack.upstream;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;

/**
 * Assembles the complete response of a chat completion from the events of its stream.
 */
public final class AnswerAssembler {

	private static final String TOOL_CALLS = "tool_calls";

	private static final String FUNCTION = "function";

	private final StringBuilder content = new StringBuilder();

	private final Map<Integer, ObjectNode> toolCalls = new TreeMap<>();

	private String id = "";

	private String model = "";

	private long created;

	private String finishReason;

	private JsonNode usage;

	/**
	 * Appends an event of the stream.
	 * @param event the event, a chat completion chunk
	 */
	public void add(JsonNode event) {
		this.id = event.path("id").asText(this.id);
		this.model = event.path("model").asText(this.model);
		this.created = event.path("created").asLong(this.created);
		if (event.hasNonNull("usage")) {
			this.usage = event.get("usage");
		}
		JsonNode choice = event.path("choices").path(0);
		JsonNode delta = choice.path("delta");
		this.content.append(delta.path("content").asText(""));
		delta.path(TOOL_CALLS).forEach(this::addToolCall);
		if (choice.hasNonNull("finish_reason")) {
			this.finishReason = choice.get("finish_reason").asText();
		}
	}

	/**
	 * Returns whether the stream has contained a finish reason.
	 * @return {@code true} if the response is complete
	 */
	public boolean isComplete() {
		return this.finishReason != null;
	}

	/**
	 * Returns the total number of tokens of the prompt and the response.
	 * @return the number that the engine reported, or 0 if it reported none
	 */
	public long totalTokens() {
		return usage("total_tokens");
	}

	/**
	 * Returns the number of tokens of the prompt.
	 * @return the number that the engine reported, or 0 if it reported none
	 */
	public long promptTokens() {
		return usage("prompt_tokens");
	}

	/**
	 * Returns the number of tokens of the prompt that the engine had cached.
	 * @return the number that the engine reported, or 0 if it reported none
	 */
	public long cachedTokens() {
		return (this.usage != null) ? this.usage.path("prompt_tokens_details").path("cached_tokens").asLong() : 0;
	}

	/**
	 * Returns the number of generated tokens.
	 * @return the number that the engine reported, or 0 if it reported none
	 */
	public long generatedTokens() {
		return usage("completion_tokens");
	}

	/**
	 * Returns the assistant message that the response adds to the history.
	 * @return a new JSON object
	 */
	public ObjectNode message() {
		ObjectNode message = Jsons.object();
		message.put("role", "assistant");
		message.put("content", this.content.toString());
		if (!this.toolCalls.isEmpty()) {
			ArrayNode calls = message.putArray(TOOL_CALLS);
			this.toolCalls.values().forEach(calls::add);
		}
		return message;
	}

	/**
	 * Returns the complete response.
	 * @return a new JSON object
	 */
	public ObjectNode answer() {
		ObjectNode answer = Jsons.object();
		answer.put("id", this.id);
		answer.put("object", "chat.completion");
		answer.put("created", this.created);
		answer.put("model", this.model);
		ObjectNode choice = answer.putArray("choices").addObject();
		choice.put("index", 0);
		choice.set("message", message());
		choice.put("finish_reason", this.finishReason);
		if (this.usage != null) {
			answer.set("usage", this.usage);
		}
		return answer;
	}

	private long usage(String field) {
		return (this.usage != null) ? this.usage.path(field).asLong() : 0;
	}

	private void addToolCall(JsonNode part) {
		ObjectNode call = this.toolCalls.computeIfAbsent(part.path("index").asInt(), (i) -> Jsons.object());
		ObjectNode function = call.has(FUNCTION) ? (ObjectNode) call.get(FUNCTION) : Jsons.object();
		copyText(part, call, "id");
		copyText(part, call, "type");
		copyText(part.path(FUNCTION), function, "name");
		function.put("arguments",
				function.path("arguments").asText("") + part.path(FUNCTION).path("arguments").asText(""));
		call.set(FUNCTION, function);
	}

	private static void copyText(JsonNode from, ObjectNode to, String field) {
		if (from.hasNonNull(field)) {
			to.put(field, from.get(field).asText());
		}
	}

}
