package org.mangorack.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;
import org.mangorack.call.ProgramKey;
import org.mangorack.call.Verdict;
import org.mangorack.config.Upstream;
import org.mangorack.http.ConnectionUse;
import org.mangorack.http.HttpCallException;
import org.mangorack.http.HttpReply;
import org.mangorack.http.PooledHttpClient;

/**
 * Sends calls and control requests to upstreams over HTTP. Each request has an id, which
 * an upstream echoes. On a connection that carried another request before, only the id
 * proves that a response belongs to the request: the upstream may send an earlier
 * response, such as a refusal, once more. The connections to an upstream that does not
 * echo ids therefore carry one request each.
 */
public final class UpstreamClient {

	/**
	 * Request header that identifies the program of a call to a model engine.
	 */
	public static final String PROGRAM = "X-Program";

	/**
	 * Response header with the identifier of a stream, by which the stream can be resumed
	 * or cancelled.
	 */
	public static final String STREAM_ID = "X-Stream-Id";

	/**
	 * Request header that an upstream echoes in its response, so that a response to
	 * another request is detected.
	 */
	public static final String REQUEST_ID = "X-Request-Id";

	private static final Duration CONTROL_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_CONTROL_RESPONSE_BYTES = 64 * 1024;

	private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");

	private final PooledHttpClient client;

	public UpstreamClient(PooledHttpClient client) {
		this.client = client;
	}

	/**
	 * Sends a request and waits for the head of the response. A request that is not
	 * idempotent is sent on a new connection.
	 * @param upstream the upstream
	 * @param method the HTTP method
	 * @param path the path with the query
	 * @param headers the headers
	 * @param body the body, or {@code null}
	 * @param readTimeout the maximum time that a read may block
	 * @param idempotent whether the request may be sent twice
	 * @return the response, which the caller must close
	 * @throws HttpCallException if no valid response was received
	 */
	public HttpReply send(Upstream upstream, String method, String path, Map<String, String> headers, byte[] body,
			Duration readTimeout, boolean idempotent) throws HttpCallException {
		return exchange(upstream, method, path, headers, body, readTimeout,
				idempotent ? ConnectionUse.POOLED : ConnectionUse.FRESH);
	}

	/**
	 * Resumes an interrupted stream on a new connection.
	 * @param upstream the model engine
	 * @param stream the identifier of the stream
	 * @param offset the number of events already received
	 * @param readTimeout the maximum time that a read may block
	 * @return the response, which the caller must close
	 * @throws HttpCallException if no response was received
	 */
	public HttpReply resume(Upstream upstream, String stream, int offset, Duration readTimeout)
			throws HttpCallException {
		return exchange(upstream, "GET", "/v1/streams/" + stream + "?offset=" + offset, Map.of(), null, readTimeout,
				ConnectionUse.FRESH);
	}

	/**
	 * Cancels a stream, so that the engine stops generating.
	 * @param upstream the model engine
	 * @param stream the identifier of the stream
	 * @return {@code true} if the engine confirmed the cancellation
	 */
	public boolean cancel(Upstream upstream, String stream) {
		return sendControlRequest(upstream, "DELETE", "/v1/streams/" + stream, null);
	}

	/**
	 * Requests an engine to release the memory that it holds for a program.
	 * @param upstream the model engine
	 * @param program the program
	 * @return {@code true} if the engine confirmed the release
	 */
	public boolean release(Upstream upstream, ProgramKey program) {
		ObjectNode body = Jsons.object();
		body.put("program", program.toString());
		return sendControlRequest(upstream, "POST", "/admin/release", body);
	}

	private HttpReply exchange(Upstream upstream, String method, String path, Map<String, String> headers, byte[] body,
			Duration readTimeout, ConnectionUse use) throws HttpCallException {
		String id = UUID.randomUUID().toString();
		Map<String, String> requestHeaders = new LinkedHashMap<>(headers);
		requestHeaders.put(REQUEST_ID, id);
		HttpReply reply = this.client.send(upstream.address(), method, path, requestHeaders, body, readTimeout, use);
		String echoed = reply.header(REQUEST_ID, "");
		if (echoed.isEmpty() && !reply.isConnectionReused()) {
			reply.preventReuse();
		}
		else if (!echoed.equals(id)) {
			reply.rejectAsStray(echoed);
			throw new HttpCallException("upstream \"" + upstream.id() + "\" answered another request",
					Verdict.MAY_HAVE_RUN, null);
		}
		return reply;
	}

	private boolean sendControlRequest(Upstream upstream, String method, String path, JsonNode body) {
		byte[] bytes = (body != null) ? Jsons.bytes(body) : null;
		try (HttpReply reply = exchange(upstream, method, path, JSON_HEADERS, bytes, CONTROL_TIMEOUT,
				ConnectionUse.FRESH)) {
			reply.readAll(MAX_CONTROL_RESPONSE_BYTES);
			return reply.status() < 300;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
