package org.mangorack.call;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The answer to a call. The body is written by a callback, so that streams need not be
 * held in memory.
 *
 * @param status the HTTP status code
 * @param headers the headers
 * @param length the number of bytes of the body, or -1 when it is a stream
 * @param body writes the body
 */
public record CallAnswer(int status, Map<String, String> headers, long length, Body body) {

	/**
	 * Content type of refusals.
	 */
	public static final String PROBLEM_TYPE = "application/problem+json";

	private static final String CONTENT_TYPE = "Content-Type";

	/**
	 * Creates an answer whose body is complete.
	 * @param status the HTTP status code
	 * @param contentType the content type
	 * @param bytes the body
	 * @return the answer
	 */
	public static CallAnswer of(int status, String contentType, byte[] bytes) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put(CONTENT_TYPE, contentType);
		return new CallAnswer(status, headers, bytes.length, (out) -> out.write(bytes));
	}

	/**
	 * Creates a JSON answer.
	 * @param status the HTTP status code
	 * @param json the body
	 * @return the answer
	 */
	public static CallAnswer json(int status, JsonNode json) {
		return of(status, "application/json", Jsons.bytes(json));
	}

	/**
	 * Creates a plain text answer.
	 * @param status the HTTP status code
	 * @param text the body
	 * @return the answer
	 */
	public static CallAnswer text(int status, String text) {
		return of(status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Creates an answer whose body is a stream.
	 * @param status the HTTP status code
	 * @param contentType the content type
	 * @param body writes the stream
	 * @return the answer
	 */
	public static CallAnswer stream(int status, String contentType, Body body) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put(CONTENT_TYPE, contentType);
		return new CallAnswer(status, headers, -1, body);
	}

	/**
	 * Creates the answer that tells a refusal to the caller.
	 * @param refusal the refusal
	 * @param requestId identifies the refused request
	 * @return the answer
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
	 * Returns the problem document of a refusal.
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
	 * Returns a copy with one more header.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the changed copy
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
	 * Writes the body of an answer.
	 */
	@FunctionalInterface
	public interface Body {

		/**
		 * Writes the whole body. Called once.
		 * @param out receives the bytes; flushed by the body where the caller should see
		 * them at once
		 * @throws IOException if the receiver is gone or the source broke
		 */
		void writeTo(OutputStream out) throws IOException;

	}

}
