package org.mangorack.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.Jsons;
import org.mangorack.call.Verdict;
import org.mangorack.http.ConnectionUse;
import org.mangorack.http.HttpAddress;
import org.mangorack.http.HttpCallException;
import org.mangorack.http.HttpReply;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.observe.Metrics;
import org.mangorack.platform.StoreException.Reason;

/**
 * Accesses the object API over HTTP with JSON objects in the style of Kubernetes. A
 * create or conditional update may be sent twice if a pooled connection turns out to be
 * closed. If the first request took effect, the second one reports a conflict, so on a
 * conflict a writer must read the object to find out whether its own write succeeded.
 */
public final class HttpObjectStore implements ObjectStore {

	/**
	 * Read timeout of a watch. The platform sends a bookmark every second.
	 */
	public static final Duration WATCH_READ_TIMEOUT = Duration.ofSeconds(3);

	private static final String ROOT = "/apis/mangorack.org/v1/namespaces/default/";

	private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

	private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");

	private final HttpAddress address;

	private final PooledHttpClient client;

	private final Duration timeout;

	private final Metrics metrics;

	public HttpObjectStore(HttpAddress address, Duration timeout, PooledHttpClient client, Metrics metrics) {
		this.address = address;
		this.timeout = timeout;
		this.client = client;
		this.metrics = metrics;
	}

	// ---- Public API

	@Override
	public Optional<StoredObject> get(ObjectKind kind, String name) throws StoreException {
		try {
			return Optional.of(toObject(call("GET", path(kind, name), null)));
		}
		catch (StoreException ex) {
			if (ex.reason() == Reason.NOT_FOUND) {
				return Optional.empty();
			}
			throw ex;
		}
	}

	@Override
	public StoredObject create(ObjectKind kind, String name, JsonNode spec) throws StoreException {
		return toObject(call("POST", path(kind), document(name, null, spec)));
	}

	@Override
	public StoredObject update(ObjectKind kind, String name, String version, JsonNode spec) throws StoreException {
		return toObject(call("PUT", path(kind, name), document(name, version, spec)));
	}

	@Override
	public void updateStatus(ObjectKind kind, String name, JsonNode status) throws StoreException {
		ObjectNode document = document(name, null, Jsons.object());
		document.set("status", status);
		call("PUT", path(kind, name) + "/status", document);
	}

	@Override
	public void delete(ObjectKind kind, String name, String version) throws StoreException {
		ObjectNode options = null;
		if (version != null) {
			options = Jsons.object();
			options.putObject("preconditions").put("resourceVersion", version);
		}
		call("DELETE", path(kind, name), options);
	}

	@Override
	public ObjectList list(ObjectKind kind) throws StoreException {
		JsonNode json = call("GET", path(kind), null);
		List<StoredObject> items = new ArrayList<>();
		json.path("items").forEach((item) -> items.add(toObject(item)));
		return new ObjectList(json.path("metadata").path("resourceVersion").asText(), items);
	}

	@Override
	public void watch(ObjectKind kind, String version, WatchListener listener) throws StoreException {
		this.metrics.count("mangorack.platform.calls", 1, "operation", "WATCH");
		String path = path(kind) + "?watch=true&allowWatchBookmarks=true&resourceVersion=" + version;
		try (HttpReply reply = this.client.send(this.address, "GET", path, Map.of(), null, WATCH_READ_TIMEOUT,
				ConnectionUse.FRESH)) {
			checkStatus(reply.status(), path, reply);
			BufferedReader lines = new BufferedReader(new InputStreamReader(reply.body(), StandardCharsets.UTF_8));
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				deliver(line, listener);
			}
		}
		catch (IOException ex) {
			throw new StoreException(Reason.UNKNOWN, "watch of " + path + " failed: " + ex.getMessage(), ex);
		}
	}

	// ---- Helpers

	private JsonNode call(String method, String path, JsonNode body) throws StoreException {
		this.metrics.count("mangorack.platform.calls", 1, "operation", method);
		byte[] bytes = (body != null) ? Jsons.bytes(body) : null;
		ConnectionUse connectionUse = method.equals("DELETE") ? ConnectionUse.FRESH : ConnectionUse.POOLED;
		try (HttpReply reply = this.client.send(this.address, method, path, JSON_HEADERS, bytes, this.timeout,
				connectionUse)) {
			checkStatus(reply.status(), method + " " + path, reply);
			return Jsons.parse(reply.readAll(MAX_RESPONSE_BYTES));
		}
		catch (HttpCallException ex) {
			Reason reason = (ex.verdict() == Verdict.NOT_RUN) ? Reason.UNREACHABLE : Reason.UNKNOWN;
			throw new StoreException(reason, method + " " + path + ": " + ex.getMessage(), ex);
		}
		catch (IOException ex) {
			throw new StoreException(Reason.UNKNOWN, method + " " + path + ": " + ex.getMessage(), ex);
		}
	}

	private static void checkStatus(int status, String request, HttpReply reply) throws StoreException, IOException {
		if (status < 300) {
			return;
		}
		reply.readAll(MAX_RESPONSE_BYTES);
		Reason reason = switch (status) {
			case 404 -> Reason.NOT_FOUND;
			case 409, 412 -> Reason.CONFLICT;
			case 410 -> Reason.TOO_OLD;
			case 400, 413, 422 -> Reason.REJECTED;
			case 429, 503 -> Reason.UNREACHABLE;
			default -> Reason.UNKNOWN;
		};
		throw new StoreException(reason, request + " answered status " + status);
	}

	private static void deliver(String line, WatchListener listener) throws StoreException, IOException {
		JsonNode event = Jsons.MAPPER.readTree(line);
		StoredObject object = toObject(event.path("object"));
		switch (event.path("type").asText()) {
			case "ADDED", "MODIFIED" -> listener.changed(object);
			case "DELETED" -> listener.deleted(object);
			case "ERROR" -> throw new StoreException(Reason.TOO_OLD, "watch ended: " + event);
			default -> {
				// A bookmark carries only a version.
			}
		}
		listener.progress(object.version());
	}

	private static ObjectNode document(String name, String version, JsonNode spec) {
		ObjectNode json = Jsons.object();
		ObjectNode metadata = json.putObject("metadata");
		metadata.put("name", name);
		if (version != null) {
			metadata.put("resourceVersion", version);
		}
		json.set("spec", spec);
		return json;
	}

	private static StoredObject toObject(JsonNode json) {
		JsonNode metadata = json.path("metadata");
		return new StoredObject(metadata.path("name").asText(), metadata.path("resourceVersion").asText(),
				json.path("spec"));
	}

	private static String path(ObjectKind kind) {
		return ROOT + kind.plural();
	}

	private static String path(ObjectKind kind, String name) {
		return ROOT + kind.plural() + "/" + name;
	}

}
