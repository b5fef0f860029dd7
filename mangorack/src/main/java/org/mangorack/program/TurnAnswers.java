package org.mangorack.program;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Jsons;
import org.mangorack.journal.proto.TurnFinished;

/**
 * Builds answers for recorded turns and the program metadata that answers carry.
 */
final class TurnAnswers {

	private static final String METADATA = "mangorack";

	private TurnAnswers() {
	}

	/**
	 * Creates the metadata that is added to an answer.
	 * @param request the request of the turn
	 * @param durable whether the answer is recorded durably and survives the loss of this
	 * instance
	 * @return a new JSON object
	 */
	static ObjectNode metadata(TurnRequest request, boolean durable) {
		ObjectNode metadata = Jsons.object();
		metadata.put("program", request.key().program());
		metadata.put("turn", request.turn());
		metadata.put("durable", durable);
		return metadata;
	}

	/**
	 * Builds the answer to a repeated request from the recorded turn.
	 * @param request the repeated request
	 * @param recorded the recorded turn
	 * @param durable whether the record is durable and survives the loss of this instance
	 * @return the answer, as a stream if the request asks for one
	 */
	static CallAnswer recorded(TurnRequest request, TurnFinished recorded, boolean durable) {
		JsonNode answer;
		try {
			answer = Jsons.parse(recorded.getAnswer().toByteArray());
		}
		catch (IOException ex) {
			throw new IllegalStateException("recorded answer of " + request.key() + " cannot be parsed as JSON", ex);
		}
		((ObjectNode) answer).set(METADATA, metadata(request, durable).put("repeated", true));
		if (!request.isStream()) {
			return CallAnswer.json(200, answer);
		}
		return CallAnswer.stream(200, "text/event-stream", (out) -> writeEvents(answer, out));
	}

	private static void writeEvents(JsonNode answer, OutputStream out) throws IOException {
		ObjectNode event = Jsons.object();
		event.put("id", answer.path("id").asText());
		event.put("object", "chat.completion.chunk");
		event.put("created", answer.path("created").asLong());
		event.put("model", answer.path("model").asText());
		ObjectNode choice = event.putArray("choices").addObject();
		choice.put("index", 0);
		choice.set("delta", answer.path("choices").path(0).path("message"));
		choice.putNull("finish_reason");
		write(out, event.toString());
		choice.putObject("delta");
		choice.set("finish_reason", answer.path("choices").path(0).path("finish_reason"));
		event.set(METADATA, answer.path(METADATA));
		write(out, event.toString());
		write(out, "[DONE]");
	}

	private static void write(OutputStream out, String data) throws IOException {
		out.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
	}

}
