import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, one revision counter, watches with full history. */
final class Store implements Http.Handler {

	private static final int PAGE = 50;

	private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new HashMap<>();

	private final List<Object[]> history = new ArrayList<>();

	private long revision = 100;

	synchronized void put(String kind, String name, Object specification) {
		Map<String, Object> known = kind(kind).get(name);
		Map<String, Object> next = (known != null) ? new TreeMap<>(known) : new TreeMap<>();
		next.put("specification", specification);
		store(kind, name, next);
	}

	synchronized void remove(String kind, String name) {
		Map<String, Object> known = kind(kind).remove(name);
		if (known != null) {
			this.revision++;
			this.history.add(new Object[] { this.revision, kind, Json.of("deleted", true, "object", known) });
			notifyAll();
		}
	}

	synchronized Map<String, Object> get(String kind, String name) {
		return kind(kind).get(name);
	}

	private void store(String kind, String name, Map<String, Object> next) {
		this.revision++;
		next.put("metadata", Json.of("name", name, "revision", this.revision));
		kind(kind).put(name, next);
		this.history.add(new Object[] { this.revision, kind, Json.of("deleted", false, "object", next) });
		notifyAll();
	}

	private TreeMap<String, Map<String, Object>> kind(String kind) {
		return this.kinds.computeIfAbsent(kind, (k) -> new TreeMap<>());
	}

	@Override
	public boolean handle(Http.Message request, OutputStream out, Socket socket)
			throws IOException, InterruptedException {
		String[] target = request.target().split("\\?", 2);
		String[] parts = target[0].substring(1).split("/");
		Map<String, String> query = new HashMap<>();
		for (String pair : ((target.length > 1) ? target[1] : "").split("&")) {
			if (!pair.isEmpty()) {
				query.put(pair.split("=", 2)[0], URLDecoder.decode(pair.split("=", 2)[1], StandardCharsets.UTF_8));
			}
		}
		String name = (parts.length > 2) ? URLDecoder.decode(parts[2], StandardCharsets.UTF_8) : null;
		int[] status = { 200 };
		Object body = query.containsKey("watch")
				? watch(parts[1], Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")))
				: call(request, parts, name, query, status);
		Http.answer(out, status[0], Map.of("Content-Type", "application/json"),
				Json.write(body).getBytes(StandardCharsets.UTF_8));
		return true;
	}

	private synchronized Object call(Http.Message request, String[] parts, String path, Map<String, String> query,
			int[] status) {
		String kind = parts[1];
		Map<String, Object> body = Json.map((request.body.length > 0) ? Json.parse(request.text()) : null);
		Map<String, Object> metadata = Json.map(body.get("metadata"));
		String name = (path != null) ? path : (String) metadata.get("name");
		if (request.method().equals("GET") && (path == null)) {
			List<Object> items = new ArrayList<>();
			Map<String, Map<String, Object>> rest = kind(kind).tailMap(query.getOrDefault("after", ""), false);
			rest.values().stream().limit(PAGE).forEach(items::add);
			return Json.of("items", items, "has_more", rest.size() > PAGE, "store_revision", this.revision);
		}
		Map<String, Object> known = kind(kind).get(name);
		if (request.method().equals("POST") && (known == null)) {
			put(kind, name, body.get("specification"));
			return kind(kind).get(name);
		}
		if (known == null) {
			status[0] = 404;
			return Json.of();
		}
		Object wanted = query.containsKey("revision") ? Long.valueOf(query.get("revision")) : metadata.get("revision");
		boolean conflict = (wanted != null) && !wanted.equals(Json.map(known.get("metadata")).get("revision"));
		if (request.method().equals("POST") || (conflict && !request.method().equals("GET"))) {
			status[0] = 409;
			return known;
		}
		if (request.method().equals("PUT")) {
			String field = (parts.length > 3) ? "status" : "specification";
			Map<String, Object> next = new TreeMap<>(known);
			next.put(field, body.get(field));
			if (!Json.write(next.get(field)).equals(Json.write(known.get(field)))) {
				store(kind, name, next);
			}
			return kind(kind).get(name);
		}
		if (request.method().equals("DELETE")) {
			remove(kind, name);
		}
		return known;
	}

	private synchronized Object watch(String kind, long from, long waitMillis) throws InterruptedException {
		long until = System.nanoTime() + (waitMillis * 1_000_000);
		while (true) {
			List<Object> events = new ArrayList<>();
			for (Object[] change : this.history) {
				if (((long) change[0] > from) && change[1].equals(kind)) {
					events.add(change[2]);
				}
			}
			long left = (until - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || (left <= 0)) {
				return Json.of("events", events, "store_revision", this.revision);
			}
			wait(left);
		}
	}

}
