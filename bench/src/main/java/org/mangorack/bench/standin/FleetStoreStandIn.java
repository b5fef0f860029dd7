package org.mangorack.bench.standin;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Simulates the metadata store of the platform: objects by kind and name, one revision
 * for the whole store, paginated lists, long-polling watches and conditional writes.
 * Faults can be injected: rejecting all calls, dropping the responses of writes,
 * discarding the change history, and stalling watches.
 */
public final class FleetStoreStandIn extends StandInServer {

	/**
	 * How long the change history is retained, but not delivered, after stalled watches
	 * were closed.
	 */
	public static final Duration HISTORY_DISCARD_DELAY = Duration.ofMillis(50);

	private static final int PAGE_SIZE = 3;

	private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();

	private final TreeMap<Long, Change> history = new TreeMap<>();

	private final AtomicInteger calls = new AtomicInteger();

	private long revision = 100;

	private long discardedUpTo;

	private boolean rejecting;

	private boolean stalled;

	private int closeGeneration;

	private boolean discardPending;

	private long discardAt;

	private int responsesToDrop;

	/**
	 * Creates a store, which must be started with {@link #start()}.
	 * @param port the port on the loopback address; 0 picks a free one
	 */
	public FleetStoreStandIn(int port) {
		super(port);
	}

	// ---- Fault injection

	/**
	 * Makes the store reject all calls, or serve them again.
	 * @param value {@code true} to respond with status 503
	 */
	public synchronized void setRefusing(boolean value) {
		this.rejecting = value;
		notifyAll();
	}

	/**
	 * Drops the responses of the next successful writes, which take effect nevertheless.
	 * @param count the number of writes
	 */
	public synchronized void loseAnswers(int count) {
		this.responsesToDrop = count;
	}

	/**
	 * Discards the change history, so that watches from earlier revisions are rejected.
	 */
	public synchronized void discardHistory() {
		this.history.clear();
		this.discardedUpTo = this.revision;
		notifyAll();
	}

	/**
	 * Stalls all watches: changes are not delivered, and watches do not time out either.
	 */
	public synchronized void stallWatches() {
		this.stalled = true;
	}

	/**
	 * Ends the stall as the platform does: closes the connections of pending watches, and
	 * discards the change history {@link #HISTORY_DISCARD_DELAY} later. A watch that
	 * starts in between receives no changes until it times out.
	 */
	public synchronized void closeStalledWatches() {
		this.stalled = false;
		this.closeGeneration++;
		this.discardPending = true;
		this.discardAt = System.nanoTime() + HISTORY_DISCARD_DELAY.toNanos();
		notifyAll();
	}

	/**
	 * Returns the number of calls received.
	 * @return the number of calls, including rejected ones
	 */
	public int calls() {
		return this.calls.get();
	}

	// ---- Content

	/**
	 * Creates or replaces an object, as an operator or upstream would.
	 * @param kind the kind of the object
	 * @param name the name of the object
	 * @param spec the specification
	 */
	public synchronized void put(String kind, String name, JsonNode spec) {
		ObjectNode object = kind(kind).computeIfAbsent(name, FleetStoreStandIn::newObject);
		object.set("specification", spec);
		recordChange(kind, object, false);
	}

	/**
	 * Deletes an object, if it exists.
	 * @param kind the kind of the object
	 * @param name the name of the object
	 */
	public synchronized void remove(String kind, String name) {
		ObjectNode object = kind(kind).remove(name);
		if (object != null) {
			recordChange(kind, object, true);
		}
	}

	/**
	 * Returns the specification of an object.
	 * @param kind the kind of the object
	 * @param name the name of the object
	 * @return the specification, or a missing node if there is none
	 */
	public synchronized JsonNode specification(String kind, String name) {
		ObjectNode object = kind(kind).get(name);
		return (object != null) ? object.path("specification").deepCopy() : MAPPER.missingNode();
	}

	/**
	 * Returns the status of an object.
	 * @param kind the kind of the object
	 * @param name the name of the object
	 * @return the status, or a missing node if there is none
	 */
	public synchronized JsonNode status(String kind, String name) {
		ObjectNode object = kind(kind).get(name);
		return (object != null) ? object.path("status") : MAPPER.missingNode();
	}

	// ---- Calls

	@Override
	protected Reply answer(Request call) throws IOException {
		this.calls.incrementAndGet();
		String[] parts = call.path().substring(1).split("/");
		Map<String, String> query = query(call.query());
		String kind = parts[1];
		String name = (parts.length > 2) ? URLDecoder.decode(parts[2], StandardCharsets.UTF_8) : null;
		synchronized (this) {
			if (this.rejecting) {
				return Reply.json(503, MAPPER.createObjectNode());
			}
			if (query.containsKey("watch")) {
				return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")));
			}
			if (call.method().equals("GET")) {
				return (name != null) ? read(kind, name) : list(kind, query.getOrDefault("after", ""));
			}
			Reply reply = write(call, kind, name, parts.length > 3, query.get("revision"));
			if ((this.responsesToDrop > 0) && (reply.status() == 200)) {
				this.responsesToDrop--;
				throw new IOException("injected fault: response dropped");
			}
			return reply;
		}
	}

	private Reply read(String kind, String name) throws IOException {
		ObjectNode object = kind(kind).get(name);
		return (object != null) ? Reply.json(200, object) : Reply.json(404, MAPPER.createObjectNode());
	}

	private Reply list(String kind, String after) throws IOException {
		ObjectNode page = MAPPER.createObjectNode();
		ArrayNode items = page.putArray("items");
		kind(kind).tailMap(after, false).values().stream().limit(PAGE_SIZE).forEach((o) -> items.add(o.deepCopy()));
		String last = items.isEmpty() ? after : items.get(items.size() - 1).path("metadata").path("name").asText();
		page.put("has_more", !kind(kind).tailMap(last, false).isEmpty());
		page.put("store_revision", this.revision);
		return Reply.json(200, page);
	}

	private Reply watch(String kind, long from, long waitMillis) throws IOException {
		long until = System.nanoTime() + (waitMillis * 1_000_000);
		int generationAtStart = this.closeGeneration;
		while (true) {
			if (this.rejecting) {
				return Reply.json(503, MAPPER.createObjectNode());
			}
			if (this.closeGeneration != generationAtStart) {
				throw new IOException("injected fault: watch closed");
			}
			discardHistoryIfDue();
			if (from < this.discardedUpTo) {
				return Reply.json(410, MAPPER.createObjectNode());
			}
			ObjectNode found = MAPPER.createObjectNode();
			ArrayNode events = found.putArray("events");
			if (!this.stalled && !this.discardPending) {
				this.history.tailMap(from, false)
					.values()
					.stream()
					.filter((c) -> c.kind().equals(kind))
					.forEach((c) -> {
						ObjectNode event = events.addObject();
						event.put("deleted", c.deleted());
						event.set("object", c.object());
					});
			}
			long left = (until - System.nanoTime()) / 1_000_000;
			if (!this.stalled && (!events.isEmpty() || (left <= 0))) {
				found.put("store_revision", this.revision);
				return Reply.json(200, found);
			}
			try {
				wait(this.stalled ? 0 : left);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IOException("watch interrupted", ex);
			}
		}
	}

	private Reply write(Request call, String kind, String path, boolean status, String condition) throws IOException {
		JsonNode body = (call.body().length > 0) ? MAPPER.readTree(call.body()) : MAPPER.createObjectNode();
		String name = (path != null) ? path : body.path("metadata").path("name").asText();
		ObjectNode known = kind(kind).get(name);
		JsonNode wanted = body.path("metadata").path("revision");
		boolean conditional = wanted.isNumber() || (condition != null);
		long expected = wanted.isNumber() ? wanted.asLong() : ((condition != null) ? Long.parseLong(condition) : 0);
		if (call.method().equals("POST")) {
			if (known != null) {
				return Reply.json(409, known);
			}
			put(kind, name, body.path("specification"));
			return Reply.json(200, kind(kind).get(name));
		}
		if (known == null) {
			return Reply.json(404, MAPPER.createObjectNode());
		}
		if (conditional && (known.path("metadata").path("revision").asLong() != expected)) {
			return Reply.json(409, known);
		}
		if (call.method().equals("DELETE")) {
			remove(kind, name);
		}
		else if (status) {
			known.set("status", body.path("status"));
			recordChange(kind, known, false);
		}
		else {
			put(kind, name, body.path("specification"));
		}
		return Reply.json(200, known);
	}

	// ---- Helpers

	private void discardHistoryIfDue() {
		if (this.discardPending && (System.nanoTime() - this.discardAt >= 0)) {
			this.discardPending = false;
			discardHistory();
		}
	}

	private TreeMap<String, ObjectNode> kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (k) -> new TreeMap<>());
	}

	private void recordChange(String kind, ObjectNode object, boolean deleted) {
		this.revision++;
		((ObjectNode) object.path("metadata")).put("revision", this.revision);
		this.history.put(this.revision, new Change(kind, object.deepCopy(), deleted));
		notifyAll();
	}

	private static ObjectNode newObject(String name) {
		ObjectNode object = MAPPER.createObjectNode();
		object.putObject("metadata").put("name", name);
		return object;
	}

	private static Map<String, String> query(String text) {
		Map<String, String> query = new HashMap<>();
		if (!text.isEmpty()) {
			for (String pair : text.split("&")) {
				String[] parts = pair.split("=", 2);
				query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
			}
		}
		return query;
	}

	/**
	 * An entry of the change history.
	 *
	 * @param kind the kind of the object
	 * @param object the object after the change, or before its deletion
	 * @param deleted whether the object was deleted
	 */
	private record Change(String kind, ObjectNode object, boolean deleted) {
	}

}
