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
 * Stands in for the metadata store of the users' platform: objects by kind and name, a
 * single revision, lists in pages, long watches, conditions. It can refuse all calls,
 * lose the answers of writes, forget its history and keep watches in silence.
 */
public final class FleetStoreStandIn extends StandInServer {

	/**
	 * How long after watches were cut the history before is still there, and not heard.
	 */
	public static final Duration FORGETTING_DELAY = Duration.ofMillis(50);

	private static final int PAGE = 3;

	private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();

	private final TreeMap<Long, Change> history = new TreeMap<>();

	private final AtomicInteger calls = new AtomicInteger();

	private long revision = 100;

	private long forgotten;

	private boolean refusing;

	private boolean deaf;

	private int cuts;

	private boolean forgetting;

	private long forgetAt;

	private int answersToLose;

	/**
	 * Creates a store that does not listen yet.
	 * @param port the port on the loopback address; 0 picks a free one
	 */
	public FleetStoreStandIn(int port) {
		super(port);
	}

	// ---- Faults

	/**
	 * Refuses every call or serves again.
	 * @param value {@code true} to answer 503
	 */
	public synchronized void setRefusing(boolean value) {
		this.refusing = value;
		notifyAll();
	}

	/**
	 * Loses the answers of the next writes, which take effect.
	 * @param count the number of writes
	 */
	public synchronized void loseAnswers(int count) {
		this.answersToLose = count;
	}

	/**
	 * Forgets all changes, so that watches from before are refused.
	 */
	public synchronized void forgetHistory() {
		this.history.clear();
		this.forgotten = this.revision;
		notifyAll();
	}

	/**
	 * Keeps all watches in silence: they hear of no change and are not answered at the
	 * end of their wait either.
	 */
	public synchronized void deafen() {
		this.deaf = true;
	}

	/**
	 * Ends the silence as the users' platform does: cuts the watches that wait, and
	 * forgets the history {@link #FORGETTING_DELAY} later. A watch that comes in between
	 * hears nothing until its wait is over.
	 */
	public synchronized void cutDeafWatches() {
		this.deaf = false;
		this.cuts++;
		this.forgetting = true;
		this.forgetAt = System.nanoTime() + FORGETTING_DELAY.toNanos();
		notifyAll();
	}

	/**
	 * Returns the number of calls.
	 * @return all calls, refused ones included
	 */
	public int calls() {
		return this.calls.get();
	}

	// ---- Content

	/**
	 * Writes an object as an operator or upstream does.
	 * @param kind the kind
	 * @param name the name
	 * @param spec the content
	 */
	public synchronized void put(String kind, String name, JsonNode spec) {
		ObjectNode object = kind(kind).computeIfAbsent(name, FleetStoreStandIn::newObject);
		object.set("specification", spec);
		changed(kind, object, false);
	}

	/**
	 * Removes an object.
	 * @param kind the kind
	 * @param name the name
	 */
	public synchronized void remove(String kind, String name) {
		ObjectNode object = kind(kind).remove(name);
		if (object != null) {
			changed(kind, object, true);
		}
	}

	/**
	 * Returns the status of an object.
	 * @param kind the kind
	 * @param name the name
	 * @return the status; a missing node when there is none
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
			if (this.refusing) {
				return Reply.json(503, MAPPER.createObjectNode());
			}
			if (query.containsKey("watch")) {
				return watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")));
			}
			if (call.method().equals("GET")) {
				return (name != null) ? read(kind, name) : list(kind, query.getOrDefault("after", ""));
			}
			Reply reply = write(call, kind, name, parts.length > 3, query.get("revision"));
			if ((this.answersToLose > 0) && (reply.status() == 200)) {
				this.answersToLose--;
				throw new IOException("the answer is lost");
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
		kind(kind).tailMap(after, false).values().stream().limit(PAGE).forEach((o) -> items.add(o.deepCopy()));
		String last = items.isEmpty() ? after : items.get(items.size() - 1).path("metadata").path("name").asText();
		page.put("has_more", !kind(kind).tailMap(last, false).isEmpty());
		page.put("store_revision", this.revision);
		return Reply.json(200, page);
	}

	private Reply watch(String kind, long from, long waitMillis) throws IOException {
		long until = System.nanoTime() + (waitMillis * 1_000_000);
		int cutsBefore = this.cuts;
		while (true) {
			if (this.refusing) {
				return Reply.json(503, MAPPER.createObjectNode());
			}
			if (this.cuts != cutsBefore) {
				throw new IOException("the watch is cut");
			}
			forgetIfDue();
			if (from < this.forgotten) {
				return Reply.json(410, MAPPER.createObjectNode());
			}
			ObjectNode found = MAPPER.createObjectNode();
			ArrayNode events = found.putArray("events");
			if (!this.deaf && !this.forgetting) {
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
			if (!this.deaf && (!events.isEmpty() || (left <= 0))) {
				found.put("store_revision", this.revision);
				return Reply.json(200, found);
			}
			try {
				wait(this.deaf ? 0 : left);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IOException("the watch was interrupted", ex);
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
			changed(kind, known, false);
		}
		else {
			put(kind, name, body.path("specification"));
		}
		return Reply.json(200, known);
	}

	// ---- Helpers

	private void forgetIfDue() {
		if (this.forgetting && (System.nanoTime() - this.forgetAt >= 0)) {
			this.forgetting = false;
			forgetHistory();
		}
	}

	private TreeMap<String, ObjectNode> kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (k) -> new TreeMap<>());
	}

	private void changed(String kind, ObjectNode object, boolean deleted) {
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
	 * A change that watches report.
	 *
	 * @param kind the kind of the object
	 * @param object the object after the change, or before its removal
	 * @param deleted whether it was removed
	 */
	private record Change(String kind, ObjectNode object, boolean deleted) {
	}

}
