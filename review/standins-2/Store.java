import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, one revision, lists and watches. */
final class Store implements AutoCloseable {

	private record Change(String kind, Map<String, Object> object, boolean deleted) {
	}

	private final Http.Server server;

	private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();

	private final TreeMap<Long, Change> history = new TreeMap<>();

	private long revision = 100;

	Store(String host) throws IOException {
		this.server = new Http.Server(host, 0, this::handle);
	}

	String address() {
		return this.server.address();
	}

	/** Writes a specification as the operator or a server does. */
	synchronized long put(String kind, String name, Map<String, Object> specification) {
		Map<String, Object> object = kind(kind).get(name);
		object = (object == null) ? Json.object("metadata", Json.object("name", name)) : new HashMap<>(object);
		object.put("specification", specification);
		return change(kind, name, object, false);
	}

	synchronized Object get(String kind, String name, String part) {
		Map<String, Object> object = kind(kind).get(name);
		return (object != null) ? object.get(part) : null;
	}

	/** Tells whether an object of a kind has a value. */
	synchronized boolean hasText(String kind, String value) {
		return kind(kind).values().stream().anyMatch((o) -> Json.write(o).contains("\"" + value + "\""));
	}

	synchronized void remove(String kind, String name) {
		Map<String, Object> object = kind(kind).remove(name);
		if (object != null) {
			change(kind, name, object, true);
		}
	}

	private long change(String kind, String name, Map<String, Object> object, boolean deleted) {
		this.revision++;
		Map<String, Object> metadata = new HashMap<>(Json.map(object.get("metadata")));
		metadata.put("revision", this.revision);
		Map<String, Object> changed = new HashMap<>(object);
		changed.put("metadata", metadata);
		if (!deleted) {
			kind(kind).put(name, changed);
		}
		this.history.put(this.revision, new Change(kind, changed, deleted));
		notifyAll();
		return this.revision;
	}

	private TreeMap<String, Map<String, Object>> kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (k) -> new TreeMap<>());
	}

	private void handle(Http.Request request, Http.Connection connection) throws IOException {
		String[] parts = request.path().substring(1).split("/");
		String kind = parts[1];
		String name = (parts.length > 2) ? parts[2] : null;
		if (request.query("watch") != null) {
			watch(kind, Long.parseLong(request.query("watch")), Long.parseLong(request.query("wait_ms")), connection);
			return;
		}
		int status = 200;
		Object body;
		synchronized (this) {
			if (request.method().equals("GET") && (name == null)) {
				String after = request.query("after");
				List<Object> items = new ArrayList<>(
						((after == null) ? kind(kind) : kind(kind).tailMap(after, false)).values());
				body = Json.object("items", items, "has_more", false, "store_revision", this.revision);
			}
			else if (request.method().equals("GET")) {
				Map<String, Object> object = kind(kind).get(name);
				status = (object != null) ? 200 : 404;
				body = (object != null) ? object : Json.object();
			}
			else {
				Map<String, Object> sent = (request.body().length > 0)
						? Json.map(Json.parse(new String(request.body(), StandardCharsets.UTF_8))) : Json.object();
				Map<String, Object> metadata = sent.containsKey("metadata") ? Json.map(sent.get("metadata"))
						: Json.object();
				Object condition = metadata.get("revision");
				String target = (name != null) ? name : (String) metadata.get("name");
				Map<String, Object> known = kind(kind).get(target);
				if (request.method().equals("POST")) {
					status = (known != null) ? 409 : 200;
					if (known == null) {
						put(kind, target, Json.map(sent.get("specification")));
					}
				}
				else if (known == null) {
					status = 404;
				}
				else if ((condition != null) && !condition.equals(Json.map(known.get("metadata")).get("revision"))) {
					status = 409;
				}
				else if (request.method().equals("DELETE")) {
					remove(kind, target);
				}
				else if (parts.length > 3) {
					Map<String, Object> changed = new HashMap<>(known);
					changed.put("status", sent.get("status"));
					change(kind, target, changed, false);
				}
				else {
					put(kind, target, Json.map(sent.get("specification")));
				}
				body = kind(kind).containsKey(target) ? kind(kind).get(target) : Json.object();
			}
		}
		respond(status, body, connection);
	}

	private void watch(String kind, long from, long waitMillis, Http.Connection connection) throws IOException {
		long until = System.nanoTime() + (waitMillis * 1_000_000);
		List<Object> events = new ArrayList<>();
		long at;
		synchronized (this) {
			while (true) {
				this.history.tailMap(from, false).values().forEach((c) -> {
					if (c.kind().equals(kind)) {
						events.add(Json.object("object", c.object(), "deleted", c.deleted()));
					}
				});
				long left = (until - System.nanoTime()) / 1_000_000;
				if (!events.isEmpty() || (left <= 0)) {
					at = this.revision;
					break;
				}
				try {
					wait(left);
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
			}
		}
		respond(200, Json.object("events", events, "store_revision", at), connection);
	}

	private static void respond(int status, Object body, Http.Connection connection) throws IOException {
		connection.respond(status, "Content-Type: application/json\r\n",
				Json.write(body).getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
