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
 * Maps the formats and header names of callers, upstreams and operators to internal
 * types.
 */
public interface FleetProtocol {

	/**
	 * Parses a configuration.
	 * @param document the document as stored by the platform
	 * @return the configuration
	 * @throws IOException if it is invalid
	 */
	FleetConfiguration configuration(JsonNode document) throws IOException;

	/**
	 * Parses only the version of a configuration.
	 * @param document the document as stored by the platform
	 * @return the version, or 0 if there is none
	 */
	long configurationVersion(JsonNode document);

	/**
	 * Parses the directory entry of an upstream.
	 * @param id the name of the entry
	 * @param document the entry
	 * @return the upstream, or empty if the entry does not describe one
	 */
	Optional<UpstreamRegistration> upstream(String id, JsonNode document);

	/**
	 * Parses the head of a caller's request.
	 * @param request the request
	 * @return the head
	 * @throws IllegalArgumentException if a header value is invalid
	 */
	CallHead callHead(HttpRequest request);

	/**
	 * Creates the headers of a request to an upstream, except for those that describe the
	 * body and the connection.
	 * @param head the head of the caller's request
	 * @param upstream the upstream
	 * @param workspace the workspace of the caller's key, or {@code null}
	 * @param remainingTime the time left until the deadline of the request
	 * @param lastEventId the id of the event after which a stream resumes, or {@code
	 * null} to resume where the caller requested or to start from the beginning
	 * @return the headers
	 */
	HttpHeaders upstreamHeaders(CallHead head, UpstreamRegistration upstream, String workspace, Duration remainingTime,
			String lastEventId);

	/**
	 * Parses the head of an upstream's response.
	 * @param response the response
	 * @return its head
	 */
	ResponseHead responseHead(HttpResponse response);

	/**
	 * Creates the response for a refusal.
	 * @param refusal the refusal
	 * @param requestId the id of the request, or {@code null}
	 * @return the response
	 */
	FullHttpResponse refusal(Refusal refusal, String requestId);

	/**
	 * Creates the directory document, from which callers get the addresses to connect to.
	 * @param addresses the addresses of entries
	 * @param timeToLive how long callers may cache the document
	 * @return the JSON document
	 */
	byte[] directory(List<String> addresses, Duration timeToLive);

	/**
	 * Returns the path of the readiness check.
	 * @return the path
	 */
	String readinessPath();

	/**
	 * Returns the path of the directory.
	 * @return the path
	 */
	String directoryPath();

	/**
	 * The head of an upstream's response.
	 *
	 * @param status the HTTP status code
	 * @param requestId the id of the request that it responds to, or {@code null}
	 * @param notRun whether the upstream states that it did not execute the request
	 * @param signed whether a signature proves that an upstream sent the response
	 * @param leaving whether the upstream announces its shutdown
	 * @param headers the headers to pass to the caller
	 */
	record ResponseHead(int status, String requestId, boolean notRun, boolean signed, boolean leaving,
			HttpHeaders headers) {

		/**
		 * Returns whether the status is a success.
		 * @return {@code true} for the 2xx statuses
		 */
		public boolean isSuccess() {
			return (this.status >= 200) && (this.status < 300);
		}

	}

}
