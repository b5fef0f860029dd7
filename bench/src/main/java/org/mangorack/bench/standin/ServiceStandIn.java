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
 * Stands in for a plain service. It runs every call it gets, also repeated ones, and
 * counts the runs by the {@code Idempotency-Key} header or, without it, by the body.
 */
public final class ServiceStandIn extends StandInServer {

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final List<String> leakedKeys = new ArrayList<>();

	private volatile long delayMillis;

	private volatile boolean breakBeforeAnswer;

	/**
	 * Creates a service that ran nothing yet.
	 * @param port the port to listen on; 0 picks a free one
	 */
	public ServiceStandIn(int port) {
		super(port);
	}

	// ---- Switches and observations

	/**
	 * Delays each answer, after the call ran.
	 * @param millis the delay
	 */
	public void setDelayMillis(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Breaks connections after the call ran.
	 * @param value {@code true} to answer nothing
	 */
	public void setBreakBeforeAnswer(boolean value) {
		this.breakBeforeAnswer = value;
	}

	/**
	 * Returns how often each call ran.
	 * @return the number of runs by key
	 */
	public Map<String, Integer> runs() {
		return new TreeMap<>(this.runs);
	}

	/**
	 * Returns the headers in which a caller's key was seen.
	 * @return the headers; empty if all is well
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
		pause();
		if (this.breakBeforeAnswer) {
			throw new IOException("the connection breaks after the call ran");
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

	private void pause() throws IOException {
		try {
			TimeUnit.MILLISECONDS.sleep(this.delayMillis);
		}
		catch (InterruptedException ex) {
			throw new IOException("the service stops", ex);
		}
	}

}
