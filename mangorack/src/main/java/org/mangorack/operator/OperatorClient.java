package org.mangorack.operator;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.call.Jsons;
import org.mangorack.call.Verdict;
import org.mangorack.http.ConnectionUse;
import org.mangorack.http.HttpAddress;
import org.mangorack.http.HttpCallException;
import org.mangorack.http.HttpReply;
import org.mangorack.http.PooledHttpClient;

/**
 * Client for the operator API. Uses the first instance that responds.
 */
public final class OperatorClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration TIMEOUT = Duration.ofSeconds(15);

	private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

	private final PooledHttpClient http = new PooledHttpClient(CONNECT_TIMEOUT);

	private final List<HttpAddress> instances;

	private final String key;

	public OperatorClient(List<HttpAddress> instances, String key) {
		this.instances = instances;
		this.key = key;
	}

	/**
	 * Calls an operation of the operator API. A {@code GET} fails over to the next
	 * instance after any connection failure; any other request only if it was certainly
	 * not executed.
	 * @param method the HTTP method
	 * @param path the path
	 * @param body the body, or {@code null}
	 * @return the response body
	 * @throws CommandException if the operation was refused or no instance responded
	 */
	public JsonNode call(String method, String path, JsonNode body) throws CommandException {
		StringBuilder failures = new StringBuilder();
		for (HttpAddress address : this.instances) {
			try {
				return call(address, method, path, body);
			}
			catch (HttpCallException ex) {
				failures.append("\n  ").append(address).append(": ").append(ex.getMessage());
				if ((ex.verdict() != Verdict.NOT_RUN) && !method.equals("GET")) {
					throw new CommandException(ExitStatus.FAILED,
							"the outcome of " + method + " " + path + " is not known:" + failures);
				}
			}
			catch (IOException ex) {
				throw new CommandException(ExitStatus.FAILED, address + ": " + ex.getMessage());
			}
		}
		throw new CommandException(ExitStatus.FAILED, "no instance answered:" + failures);
	}

	private JsonNode call(HttpAddress address, String method, String path, JsonNode body)
			throws IOException, CommandException {
		Map<String, String> headers = Map.of("Authorization", "Bearer " + this.key, "Content-Type", "application/json");
		byte[] bytes = (body != null) ? Jsons.bytes(body) : null;
		try (HttpReply reply = this.http.send(address, method, path, headers, bytes, TIMEOUT, ConnectionUse.FRESH)) {
			JsonNode json = Jsons.parse(reply.readAll(MAX_RESPONSE_BYTES));
			if (reply.status() >= 300) {
				throw new CommandException(ExitStatus.FAILED,
						address + " refused " + method + " " + path + ": " + json.path("title").asText() + ": "
								+ json.path("detail").asText() + " (verdict " + json.path("verdict").asText() + ")");
			}
			return json;
		}
	}

}
