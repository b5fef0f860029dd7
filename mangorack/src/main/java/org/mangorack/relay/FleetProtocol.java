package org.mangorack.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

import org.mangorack.call.Refusal;

/**
 * Translates between the names that callers, upstreams and operators of a fleet use and
 * the types of the product.
 */
public interface FleetProtocol {

	/**
	 * Reads a configuration.
	 * @param document the document as the platform holds it
	 * @return the configuration
	 * @throws IOException if it cannot be read
	 */
	FleetConfiguration configuration(JsonNode document) throws IOException;

	/**
	 * Reads the version of a configuration alone.
	 * @param document the document as the platform holds it
	 * @return the version, or 0 if there is none
	 */
	long configurationVersion(JsonNode document);

	/**
	 * Reads the entry of an upstream.
	 * @param id the name of the entry
	 * @param document the entry
	 * @return the upstream, or empty if the entry names none
	 */
	Optional<UpstreamEntry> upstream(String id, JsonNode document);

	/**
	 * Reads the head of a caller's request.
	 * @param request the request
	 * @return the head
	 * @throws IllegalArgumentException if a value cannot be read
	 */
	CallHead callHead(HttpRequest request);

	/**
	 * Makes the headers of a request to an upstream, without those that describe the body
	 * and the connection.
	 * @param head the caller's head
	 * @param upstream the upstream
	 * @param workspace the workspace of the caller's key, or {@code null}
	 * @param timeLeft how long the answer is of use
	 * @param lastEventId the event after which a stream goes on, or {@code null} if it
	 * goes on where the caller said or from its start
	 * @return the headers
	 */
	HttpHeaders upstreamHeaders(CallHead head, UpstreamEntry upstream, String workspace, Duration timeLeft,
			String lastEventId);

	/**
	 * Reads the head of an upstream's answer.
	 * @param response the answer
	 * @return its head
	 */
	AnswerHead answerHead(HttpResponse response);

	/**
	 * Makes a refusal for a caller.
	 * @param refusal the refusal
	 * @param requestId the id of the request, or {@code null}
	 * @return the answer
	 */
	FullHttpResponse refusal(Refusal refusal, String requestId);

	/**
	 * Makes the answer to a caller that asks where to connect.
	 * @param addresses the addresses to use
	 * @param timeToLive how long the answer may be used
	 * @return the JSON document
	 */
	byte[] directory(List<String> addresses, Duration timeToLive);

	/**
	 * Returns the path of the readiness check.
	 * @return the path
	 */
	String readinessPath();

	/**
	 * Returns the path that callers ask where to connect.
	 * @return the path
	 */
	String directoryPath();

	/**
	 * The head of an upstream's answer.
	 *
	 * @param status the HTTP status code
	 * @param requestId the request that it answers, or {@code null}
	 * @param notRun whether the upstream says that it did not run the request
	 * @param signed whether it is certainly an answer of an upstream
	 * @param leaving whether the upstream says that it leaves
	 * @param headers the headers that the caller gets
	 */
	record AnswerHead(int status, String requestId, boolean notRun, boolean signed, boolean leaving,
			HttpHeaders headers) {

		/**
		 * Tells whether the request succeeded.
		 * @return {@code true} for the 2xx statuses
		 */
		public boolean isSuccess() {
			return (this.status >= 200) && (this.status < 300);
		}

	}

}
