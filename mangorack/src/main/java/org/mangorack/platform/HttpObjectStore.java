package org.mangorack.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.call.JsonSlice;
import org.mangorack.call.Jsons;
import org.mangorack.call.Verdict;
import org.mangorack.http.ConnectionUse;
import org.mangorack.http.HttpAddress;
import org.mangorack.http.HttpCallException;
import org.mangorack.http.HttpReply;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.observe.Metrics;
import org.mangorack.platform.StoreException.Reason;
import org.mangorack.platform.StoredObjectReader.Reading;
import org.mangorack.platform.StoredObjectReader.VersionFormat;

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

	private static final int MAX_EVENT_BYTES = 16 * 1024 * 1024;

	private static final Map<String, String> JSON_HEADERS = Map.of("Content-Type", "application/json");

	private final HttpAddress address;

	private final PooledHttpClient client;

	private final Duration timeout;

	private final Metrics metrics;

	private final StoredObjectReader reader;

	public HttpObjectStore(HttpAddress address, Duration timeout, PooledHttpClient client, Metrics metrics) {
		this.address = address;
		this.timeout = timeout;
		this.client = client;
		this.metrics = metrics;
		this.reader = new StoredObjectReader(VersionFormat.RESOURCE_VERSION, "spec", metrics);
	}

	// ---- Public API

	@Override
	public Optional<StoredObject> get(ObjectKind kind, String name) throws StoreException {
		try {
			return Optional.of(callForObject("GET", path(kind, name), null));
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
		return callForObject("POST", path(kind), document(name, null, spec));
	}

	@Override
	public StoredObject update(ObjectKind kind, String name, String version, JsonNode spec) throws StoreException {
		return callForObject("PUT", path(kind, name), document(name, version, spec));
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
		return send("GET", path(kind), null, (response) -> {
			JsonSlice list = JsonSlice.of(response);
			String version = this.reader.versionOf(list)
				.orElseThrow(() -> new IOException("list of " + kind.plural() + " without a resourceVersion"));
			Optional<JsonSlice> elements = list.find("items");
			List<Reading> readings = new ArrayList<>();
			for (JsonSlice item : elements.isPresent() ? elements.get().elements() : List.<JsonSlice>of()) {
				readings.add(this.reader.read(kind, item));
			}
			this.reader.retain(kind, readings.stream().map((reading) -> reading.object().name()).toList());
			return new ObjectList(version, readings.stream().filter(Reading::readable).map(Reading::object).toList());
		});
	}

	@Override
	public void watch(ObjectKind kind, String version, WatchListener listener) throws StoreException {
		this.metrics.count("mangorack.platform.calls", 1, "operation", "WATCH");
		String path = path(kind) + "?watch=true&allowWatchBookmarks=true&resourceVersion=" + version;
		try (HttpReply reply = this.client.send(this.address, "GET", path, Map.of(), null, WATCH_READ_TIMEOUT,
				ConnectionUse.FRESH)) {
			checkStatus(reply.status(), path, reply);
			BufferedReader lines = reply.lines(MAX_EVENT_BYTES, Long.MAX_VALUE);
			for (String line = lines.readLine(); line != null; line = lines.readLine()) {
				deliver(kind, line, listener);
			}
		}
		catch (IOException ex) {
			throw new StoreException(Reason.UNKNOWN, "watch of " + path + " failed: " + ex.getMessage(), ex);
		}
	}

	// ---- Helpers

	private StoredObject callForObject(String method, String path, JsonNode body) throws StoreException {
		return send(method, path, body, (response) -> this.reader.readObject(JsonSlice.of(response)));
	}

	private void call(String method, String path, JsonNode body) throws StoreException {
		send(method, path, body, (response) -> response);
	}

	private <T> T send(String method, String path, JsonNode body, ResponseReader<T> responseReader)
			throws StoreException {
		this.metrics.count("mangorack.platform.calls", 1, "operation", method);
		byte[] bytes = (body != null) ? Jsons.bytes(body) : null;
		ConnectionUse connectionUse = method.equals("DELETE") ? ConnectionUse.FRESH : ConnectionUse.POOLED;
		try (HttpReply reply = this.client.send(this.address, method, path, JSON_HEADERS, bytes, this.timeout,
				connectionUse)) {
			checkStatus(reply.status(), method + " " + path, reply);
			return responseReader.read(reply.readAll(MAX_RESPONSE_BYTES));
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

	// A line that is not one complete value was cut off, so the watch has to start again.
	private void deliver(ObjectKind kind, String line, WatchListener listener) throws StoreException, IOException {
		JsonSlice event = JsonSlice.of(line.getBytes(StandardCharsets.UTF_8));
		Optional<JsonSlice> type = event.find("type");
		JsonSlice object = event.find("object").orElse(null);
		switch (type.isPresent() ? type.get().parse().asText() : "") {
			case "ADDED", "MODIFIED" -> this.reader.read(kind, object).deliver(listener, false);
			case "DELETED" -> {
				Reading reading = this.reader.read(kind, object);
				reading.deliver(listener, true);
				this.reader.forget(kind, reading.object().name());
			}
			case "ERROR" -> throw new StoreException(Reason.TOO_OLD, "watch ended: " + line);
			default -> {
				// A bookmark carries only a version.
			}
		}
		this.reader.versionOf(object).ifPresent(listener::progress);
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

	private static String path(ObjectKind kind) {
		return ROOT + kind.plural();
	}

	private static String path(ObjectKind kind, String name) {
		return ROOT + kind.plural() + "/" + name;
	}

	/**
	 * Reads the body of a response.
	 *
	 * @param <T> the type of the result
	 */
	private interface ResponseReader<T> {

		T read(byte[] body) throws IOException;

	}

}
