package org.mangorack.call;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The response to a call. A callback writes the body, so streams do not have to be held
 * in memory.
 *
 * @param status the HTTP status code
 * @param headers the headers
 * @param length the number of bytes of the body, or -1 if it is a stream
 * @param body writes the body
 */
public record CallAnswer(int status, Map<String, String> headers, long length, Body body) {

	/**
	 * Content type of the problem documents that describe refusals.
	 */
	public static final String PROBLEM_TYPE = "application/problem+json";

	private static final String CONTENT_TYPE = "Content-Type";

	/**
	 * Creates a response with a body of known length.
	 * @param status the HTTP status code
	 * @param contentType the content type
	 * @param bytes the body
	 * @return the response
	 */
	public static CallAnswer of(int status, String contentType, byte[] bytes) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put(CONTENT_TYPE, contentType);
		return new CallAnswer(status, headers, bytes.length, (out) -> out.write(bytes));
	}

	/**
	 * Creates a JSON response.
	 * @param status the HTTP status code
	 * @param json the body
	 * @return the response
	 */
	public static CallAnswer json(int status, JsonNode json) {
		return of(status, "application/json", Jsons.bytes(json));
	}

	/**
	 * Creates a plain text response.
	 * @param status the HTTP status code
	 * @param text the body
	 * @return the response
	 */
	public static CallAnswer text(int status, String text) {
		return of(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Creates a response with a streamed body.
	 * @param status the HTTP status code
	 * @param contentType the content type
	 * @param body writes the stream
	 * @return the response
	 */
	public static CallAnswer stream(int status, String contentType, Body body) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put(CONTENT_TYPE, contentType);
		return new CallAnswer(status, headers, -1, body);
	}

	/**
	 * Creates the response that reports a refusal to the caller.
	 * @param refusal the refusal
	 * @param requestId identifies the refused request
	 * @return the response
	 */
	public static CallAnswer refusal(Refusal refusal, String requestId) {
		ObjectNode json = problem(refusal);
		json.put("request", requestId);
		CallAnswer answer = of(refusal.status(), PROBLEM_TYPE, Jsons.bytes(json));
		if (refusal.retryAfter() != null) {
			return answer.withHeader("Retry-After", Long.toString(retryAfterSeconds(refusal)));
		}
		return answer;
	}

	/**
	 * Returns the problem document that describes a refusal.
	 * @param refusal the refusal
	 * @return a new JSON object
	 */
	public static ObjectNode problem(Refusal refusal) {
		ObjectNode json = Jsons.object();
		json.put("type", "about:blank");
		json.put("title", refusal.code());
		json.put("status", refusal.status());
		json.put("detail", refusal.detail());
		json.put("verdict", refusal.verdict().wireName());
		if (refusal.retryAfter() != null) {
			json.put("retryAfterMillis", refusal.retryAfter().toMillis());
		}
		return json;
	}

	/**
	 * Returns a copy with a header set.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the copy
	 */
	public CallAnswer withHeader(String name, String value) {
		Map<String, String> more = new LinkedHashMap<>(this.headers);
		more.put(name, value);
		return new CallAnswer(this.status, more, this.length, this.body);
	}

	private static long retryAfterSeconds(Refusal refusal) {
		return Math.max(1, (refusal.retryAfter().toMillis() + 999) / 1000);
	}

	/**
	 * Writes the body of a response.
	 */
	@FunctionalInterface
	public interface Body {

		/**
		 * Writes the complete body. Called once.
		 * @param out receives the bytes; implementations flush it where the caller must
		 * receive the bytes immediately
		 * @throws IOException if the receiver has disconnected or the source failed
		 */
		void writeTo(OutputStream out) throws IOException;

	}

}
