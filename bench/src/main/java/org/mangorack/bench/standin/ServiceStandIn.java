package org.mangorack.bench.standin;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Simulates a plain HTTP service. It executes every call, including repeated ones, and
 * counts the executions by {@code Idempotency-Key} header or, in its absence, by method,
 * path and body.
 */
public final class ServiceStandIn extends StandInServer {

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final List<String> leakedKeys = new ArrayList<>();

	private volatile long delayMillis;

	private volatile boolean breakBeforeAnswer;

	/**
	 * Creates a service, which must be started with {@link #start()}.
	 * @param port the port to listen on; 0 picks a free one
	 */
	public ServiceStandIn(int port) {
		super(port);
	}

	// ---- Fault injection and statistics

	/**
	 * Delays each response after the call was executed.
	 * @param millis the delay in milliseconds
	 */
	public void setDelayMillis(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Closes the connection of each call after executing it.
	 * @param value {@code true} to send no response
	 */
	public void setBreakBeforeAnswer(boolean value) {
		this.breakBeforeAnswer = value;
	}

	/**
	 * Returns how often each call was executed.
	 * @return the number of executions by key
	 */
	public Map<String, Integer> runs() {
		return new TreeMap<>(this.runs);
	}

	/**
	 * Returns the names of request headers that contained the key of a caller, which must
	 * not be forwarded.
	 * @return the header names; empty if no key was leaked
	 */
	public synchronized List<String> leakedKeys() {
		return new ArrayList<>(this.leakedKeys);
	}

	@Override
	protected Reply answer(Request request) throws IOException {
		if (request.path().equals("/control")) {
			return control(request);
		}
		synchronized (this) {
			request.headers().forEach((name, value) -> {
				if (value.contains("mr_")) {
					this.leakedKeys.add(name);
				}
			});
		}
		String body = new String(request.body(), StandardCharsets.UTF_8);
		String key = request.headers().getOrDefault("Idempotency-Key", request.method() + " " + request.path() + body);
		int run = this.runs.merge(key, 1, Integer::sum);
		delayResponse();
		if (this.breakBeforeAnswer) {
			throw new IOException("injected fault: connection closed after the call was executed");
		}
		ObjectNode json = MAPPER.createObjectNode();
		json.put("path", request.path());
		json.put("key", key);
		json.put("run", run);
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("X-Request-Id", request.headers().getOrDefault("X-Request-Id", ""));
		return Reply.json(200, json).withHeaders(headers);
	}

	private Reply control(Request request) throws IOException {
		if (request.method().equals("POST")) {
			JsonNode json = request.json();
			this.delayMillis = json.path("delayMillis").asLong(this.delayMillis);
			this.breakBeforeAnswer = json.path("breakBeforeAnswer").asBoolean(this.breakBeforeAnswer);
		}
		ObjectNode json = MAPPER.createObjectNode();
		json.set("runs", MAPPER.valueToTree(runs()));
		json.set("leakedKeys", MAPPER.valueToTree(leakedKeys()));
		return Reply.json(200, json);
	}

	private void delayResponse() throws IOException {
		try {
			TimeUnit.MILLISECONDS.sleep(this.delayMillis);
		}
		catch (InterruptedException ex) {
			throw new IOException("service is shutting down", ex);
		}
	}

}
