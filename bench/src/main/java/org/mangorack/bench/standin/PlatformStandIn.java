package org.mangorack.bench.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Simulates the object API of the platform: versioned objects, conditional updates and
 * watches. It counts all calls, and can be made unreachable, slow, or lose responses
 * after a write has taken effect.
 */
public final class PlatformStandIn extends StandInServer {

	private static final String ROOT = "/apis/mangorack.org/v1/namespaces/default/";

	private static final int MAX_VALUE_BYTES = 1024 * 1024;

	private static final int MAX_RETAINED_CHANGES = 20_000;

	private static final long BOOKMARK_INTERVAL_MILLIS = 400;

	private final Map<String, TreeMap<String, ObjectNode>> kinds = new TreeMap<>();

	private final Deque<Change> changes = new ArrayDeque<>();

	private final Map<String, Long> counts = new TreeMap<>();

	private final Random random = new Random(1);

	private long version = 1;

	private long discardedUpTo;

	private boolean down;

	private long delayMillis;

	private double lossShare;

	private long instancesLagMillis = 1000;

	/**
	 * Creates a platform without objects, which must be started with {@link #start()}.
	 * @param port the port to listen on; 0 picks a free one
	 */
	public PlatformStandIn(int port) {
		super(port);
	}

	// ---- Fault injection and statistics

	/**
	 * Makes the platform unreachable or reachable.
	 * @param value {@code true} to close connections without a response
	 */
	public synchronized void setDown(boolean value) {
		this.down = value;
		notifyAll();
	}

	/**
	 * Delays every call.
	 * @param millis the delay in milliseconds
	 */
	public synchronized void setDelayMillis(long millis) {
		this.delayMillis = millis;
	}

	/**
	 * Drops the responses of a random share of the writes, which take effect
	 * nevertheless.
	 * @param share the fraction of responses to drop, from 0 to 1
	 */
	public synchronized void setLossShare(double share) {
		this.lossShare = share;
	}

	/**
	 * Returns the number of calls received.
	 * @return the number of calls by operation and kind
	 */
	public synchronized Map<String, Long> counts() {
		return new TreeMap<>(this.counts);
	}

	/**
	 * Returns the number of objects of a kind.
	 * @param kind the plural name of the kind
	 * @return the number of objects
	 */
	public synchronized int size(String kind) {
		return this.kinds.getOrDefault(kind, new TreeMap<>()).size();
	}

	/**
	 * Returns the names of the objects of a kind.
	 * @param kind the plural name of the kind
	 * @return the names
	 */
	public synchronized Set<String> names(String kind) {
		return new TreeSet<>(objects(kind).keySet());
	}

	/**
	 * Returns an object.
	 * @param kind the plural name of the kind
	 * @param name the name
	 * @return the object, or a missing node if there is none
	 */
	public synchronized JsonNode object(String kind, String name) {
		ObjectNode object = objects(kind).get(name);
		return (object != null) ? object.deepCopy() : MissingNode.getInstance();
	}

	// ---- Requests

	@Override
	protected Reply answer(Request request) throws IOException {
		if (request.path().equals("/control")) {
			return control(request);
		}
		if (!request.path().startsWith(ROOT)) {
			return problem(404, "no such path");
		}
		String[] parts = request.path().substring(ROOT.length()).split("/");
		String kind = parts[0];
		applyFaults(request.method() + " " + kind);
		if (parts.length == 1) {
			if (request.method().equals("POST")) {
				return create(kind, request.json());
			}
			return request.parameter("watch", "false").equals("true")
					? watch(kind, Long.parseLong(request.parameter("resourceVersion", "0"))) : list(kind);
		}
		return switch (request.method()) {
			case "GET" -> get(kind, parts[1]);
			case "PUT" -> update(kind, parts[1], request.json());
			case "DELETE" -> delete(kind, parts[1], request);
			default -> problem(405, "no such method");
		};
	}

	private Reply control(Request request) throws IOException {
		if (request.method().equals("POST")) {
			JsonNode json = request.json();
			if (json.has("down")) {
				setDown(json.path("down").asBoolean());
			}
			if (json.has("delayMillis")) {
				setDelayMillis(json.path("delayMillis").asLong());
			}
			if (json.has("lossShare")) {
				setLossShare(json.path("lossShare").asDouble());
			}
			if (json.has("instancesLagMillis")) {
				synchronized (this) {
					this.instancesLagMillis = json.path("instancesLagMillis").asLong();
				}
			}
		}
		ObjectNode json = MAPPER.createObjectNode();
		json.set("counts", MAPPER.valueToTree(counts()));
		return Reply.json(200, json);
	}

	private synchronized Reply get(String kind, String name) throws IOException {
		ObjectNode object = objects(kind).get(name);
		return (object != null) ? Reply.json(200, object) : problem(404, "no object " + name);
	}

	private synchronized Reply list(String kind) throws IOException {
		ObjectNode json = MAPPER.createObjectNode();
		json.putObject("metadata").put("resourceVersion", Long.toString(this.version));
		json.putArray("items").addAll(objects(kind).values());
		return Reply.json(200, json);
	}

	private Reply create(String kind, JsonNode body) throws IOException {
		ObjectNode object;
		synchronized (this) {
			String name = body.path("metadata").path("name").asText();
			if (name.isEmpty() || (body.toString().length() > MAX_VALUE_BYTES)) {
				return problem(422, "no name, or more than " + MAX_VALUE_BYTES + " bytes");
			}
			if (objects(kind).containsKey(name)) {
				return problem(409, "object " + name + " exists");
			}
			object = store(kind, name, body, "ADDED");
		}
		maybeDropResponse();
		return Reply.json(201, object);
	}

	private Reply update(String kind, String name, JsonNode body) throws IOException {
		ObjectNode object;
		synchronized (this) {
			ObjectNode old = objects(kind).get(name);
			if (old == null) {
				return problem(404, "no object " + name);
			}
			if (!versionOf(old).equals(body.path("metadata").path("resourceVersion").asText())) {
				return problem(409, "object " + name + " has version " + versionOf(old));
			}
			if (body.toString().length() > MAX_VALUE_BYTES) {
				return problem(422, "more than " + MAX_VALUE_BYTES + " bytes");
			}
			object = store(kind, name, body, "MODIFIED");
		}
		maybeDropResponse();
		return Reply.json(200, object);
	}

	private Reply delete(String kind, String name, Request request) throws IOException {
		ObjectNode old;
		synchronized (this) {
			old = objects(kind).get(name);
			if (old == null) {
				return problem(404, "no object " + name);
			}
			String expected = (request.body().length > 0)
					? request.json().path("preconditions").path("resourceVersion").asText("") : "";
			if (!expected.isEmpty() && !expected.equals(versionOf(old))) {
				return problem(409, "object " + name + " has version " + versionOf(old));
			}
			objects(kind).remove(name);
			ObjectNode last = old.deepCopy();
			((ObjectNode) last.path("metadata")).put("resourceVersion", Long.toString(++this.version));
			publish(new Change(this.version, kind, "DELETED", last, System.nanoTime()));
		}
		maybeDropResponse();
		return Reply.json(200, old);
	}

	// ---- Watches

	private synchronized Reply watch(String kind, long from) throws IOException {
		if (from < this.discardedUpTo) {
			return problem(410, "version " + from + " is too old");
		}
		return Reply.stream("application/json", Map.of(), (out) -> stream(kind, from, out));
	}

	private void stream(String kind, long from, OutputStream out) throws IOException {
		long sent = from;
		while (true) {
			List<Change> batch = new ArrayList<>();
			long upTo = awaitChanges(kind, sent, batch);
			for (Change change : batch) {
				write(out, change.type(), change.object());
			}
			ObjectNode bookmark = MAPPER.createObjectNode();
			bookmark.putObject("metadata").put("resourceVersion", Long.toString(upTo));
			write(out, "BOOKMARK", bookmark);
			out.flush();
			sent = upTo;
		}
	}

	// Waits until there are changes of a kind or the next bookmark is due.
	private synchronized long awaitChanges(String kind, long after, List<Change> batch) throws IOException {
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BOOKMARK_INTERVAL_MILLIS);
		while (true) {
			if (this.down) {
				throw new IOException("injected fault: platform unreachable");
			}
			long upTo = collect(kind, after, batch);
			long millis = (deadline - System.nanoTime()) / 1_000_000;
			if (!batch.isEmpty() || (millis <= 0)) {
				return upTo;
			}
			try {
				wait(millis);
			}
			catch (InterruptedException ex) {
				throw new IOException("platform is shutting down", ex);
			}
		}
	}

	private long collect(String kind, long after, List<Change> batch) {
		long lag = kind.equals("instances") ? TimeUnit.MILLISECONDS.toNanos(this.instancesLagMillis) : 0;
		long upTo = this.version;
		for (Change change : this.changes) {
			if (change.version() <= after) {
				continue;
			}
			if (System.nanoTime() - change.at() < lag) {
				return change.version() - 1;
			}
			if (change.kind().equals(kind)) {
				batch.add(change);
			}
		}
		return Math.max(upTo, after);
	}

	private static void write(OutputStream out, String type, JsonNode object) throws IOException {
		ObjectNode line = MAPPER.createObjectNode();
		line.put("type", type);
		line.set("object", object);
		out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
	}

	// ---- Helpers

	private TreeMap<String, ObjectNode> objects(String kind) {
		return this.kinds.computeIfAbsent(kind, (k) -> new TreeMap<>());
	}

	private ObjectNode store(String kind, String name, JsonNode body, String type) {
		ObjectNode object = MAPPER.createObjectNode();
		object.putObject("metadata").put("name", name).put("resourceVersion", Long.toString(++this.version));
		object.set("spec", body.path("spec"));
		objects(kind).put(name, object);
		publish(new Change(this.version, kind, type, object, System.nanoTime()));
		return object;
	}

	private void publish(Change change) {
		this.changes.addLast(change);
		if (this.changes.size() > MAX_RETAINED_CHANGES) {
			this.discardedUpTo = this.changes.removeFirst().version();
		}
		notifyAll();
	}

	private void applyFaults(String operation) throws IOException {
		long delay;
		synchronized (this) {
			this.counts.merge(operation, 1L, Long::sum);
			if (this.down) {
				throw new IOException("injected fault: platform unreachable");
			}
			delay = this.delayMillis;
		}
		if (delay > 0) {
			sleep(delay);
		}
	}

	private void maybeDropResponse() throws IOException {
		synchronized (this) {
			if (this.random.nextDouble() >= this.lossShare) {
				return;
			}
		}
		throw new IOException("injected fault: response dropped");
	}

	private static void sleep(long millis) throws IOException {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IOException("platform is shutting down", ex);
		}
	}

	private static String versionOf(JsonNode object) {
		return object.path("metadata").path("resourceVersion").asText();
	}

	private static Reply problem(int status, String message) throws IOException {
		return Reply.json(status, MAPPER.createObjectNode().put("code", status).put("message", message));
	}

	/**
	 * An entry of the change history.
	 *
	 * @param version the store version that the change created
	 * @param kind the kind of the object
	 * @param type the type of the change
	 * @param object the object
	 * @param at the time of the change, as of {@link System#nanoTime()}
	 */
	private record Change(long version, String kind, String type, ObjectNode object, long at) {
	}

}
