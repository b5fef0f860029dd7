package org.mangorack.bench.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * An HTTP client for callers that is independent of the code under test.
 */
public final class CallerClient {

	/**
	 * The shared JSON mapper.
	 */
	public static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpClient http = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	private final Duration timeout;

	/**
	 * Creates a client.
	 * @param timeout the timeout of a request
	 */
	public CallerClient(Duration timeout) {
		this.timeout = timeout;
	}

	/**
	 * Sends a request.
	 * @param method the HTTP method
	 * @param address the address as {@code HOST:PORT}
	 * @param path the path, including the query string
	 * @param headers the headers
	 * @param body the body, or {@code null} if there is none
	 * @return the response
	 * @throws IOException if no response was received
	 * @throws InterruptedException if the thread is interrupted
	 */
	public Answer send(String method, String address, String path, Map<String, String> headers, String body)
			throws IOException, InterruptedException {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(this.timeout)
			.method(method,
					(body != null) ? HttpRequest.BodyPublishers.ofString(body) : HttpRequest.BodyPublishers.noBody());
		headers.forEach(request::header);
		HttpResponse<String> response = this.http.send(request.build(),
				HttpResponse.BodyHandlers.ofString(StandardCharsets.UTF_8));
		return new Answer(response.statusCode(), response.body(), response.headers().map());
	}

	/**
	 * Sends a turn of a program in append mode, that is, with its new message only.
	 * @param address the address of an instance
	 * @param key the API key of the caller
	 * @param turn the turn
	 * @return the response
	 * @throws IOException if no response was received
	 * @throws InterruptedException if the thread is interrupted
	 */
	public Answer turn(String address, String key, Turn turn) throws IOException, InterruptedException {
		ObjectNode body = MAPPER.createObjectNode();
		body.put("model", turn.model());
		body.putArray("messages").addObject().put("role", "user").put("content", turn.text());
		if (turn.stream()) {
			body.put("stream", true);
		}
		Map<String, String> headers = Map.of("Authorization", "Bearer " + key, "Content-Type", "application/json",
				"Mangorack-Program", turn.program(), "Mangorack-Turn", Integer.toString(turn.number()),
				"Mangorack-History", "append");
		return send("POST", address, "/v1/chat/completions", headers, body.toString());
	}

	/**
	 * Creates a unique text.
	 * @param prefix the prefix of the text
	 * @return the text
	 */
	public static String uniqueText(String prefix) {
		return prefix + " " + UUID.randomUUID();
	}

	/**
	 * A turn of a program.
	 *
	 * @param model the name of the model
	 * @param program the identifier of the program
	 * @param number the turn number
	 * @param text the text of the new message
	 * @param stream whether to request a streamed response
	 */
	public record Turn(String model, String program, int number, String text, boolean stream) {
	}

	/**
	 * A response.
	 *
	 * @param status the HTTP status code
	 * @param body the body
	 * @param headers the headers
	 */
	public record Answer(int status, String body, Map<String, List<String>> headers) {

		/**
		 * Parses the body.
		 * @return the body as JSON
		 * @throws IOException if it is not valid JSON
		 */
		public JsonNode json() throws IOException {
			return MAPPER.readTree(this.body);
		}

		/**
		 * Returns the text of a chat completion.
		 * @return the text, concatenated from the events if it was streamed
		 * @throws IOException if the body is malformed
		 */
		public String text() throws IOException {
			if (!this.body.startsWith("data:")) {
				return json().path("choices").path(0).path("message").path("content").asText();
			}
			StringBuilder text = new StringBuilder();
			for (String line : this.body.split("\n")) {
				if (line.startsWith("data: {")) {
					text.append(MAPPER.readTree(line.substring("data: ".length()))
						.path("choices")
						.path(0)
						.path("delta")
						.path("content")
						.asText(""));
				}
			}
			return text.toString();
		}

		/**
		 * Returns whether a streamed response is complete.
		 * @return {@code true} if the stream ended regularly and without an error event
		 */
		public boolean isCompleteStream() {
			return this.body.contains("data: [DONE]") && !this.body.contains("event: error");
		}

	}

}
