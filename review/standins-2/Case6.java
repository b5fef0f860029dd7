import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * The configuration grows by 1,400 routes, and the requests of 60 tenants are spread over
 * them. Checks the rule CONFIG: an answer is there half a second after the time-out of the
 * route. Without the trouble the same requests go to the one route that was there before.
 */
final class Case6 {

	private static final int TENANTS = 60;

	private static final int ROUTES = 1400;

	private static final int CLIENTS_PER_ENTRY = 16;

	/** Requests a second at one entry: 25 a second of a tenant, whose quota is 102. */
	private static final double RATE = 1500;

	private static final long TIMEOUT_MS = 1500;

	private static final long LATE_MS = 500;

	private static final double SECONDS = 85;

	private record Sent(double at, int status, double millis, boolean unanswered) {
	}

	private Case6() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Record record = new Record(Path.of(arguments[1], "record.txt"));
				Store store = new Store("127.0.0.1");
				Fleet fleet = new Fleet(Path.of(arguments[0]), record)) {
			exit = run(record, store, fleet, trouble);
			record.log("exit %d", exit);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private static int run(Record record, Store store, Fleet fleet, boolean trouble) throws Exception {
		Map<String, Object> configuration = Site.configuration(7);
		List<Object> tenants = new ArrayList<>();
		for (int i = 0; i < TENANTS; i++) {
			tenants.add(Json.object("name", "tenant" + i, "api_keys", List.of("key" + i), "priority", 1, "rate_per_s",
					102, "burst", 102));
		}
		configuration.put("tenants", tenants);
		store.put("config", "main", configuration);
		for (int i = 0; i < 8; i++) {
			startServer("i-plain" + i, store, fleet);
		}
		List<Fleet.Machine> entries = new ArrayList<>();
		for (String zone : List.of("kv-a", "kv-b", "kv-c", "kv-d")) {
			fleet.add("storage-" + zone + "-1", "keeper", zone, store.address()).start();
		}
		for (String zone : List.of("kv-a", "kv-b")) {
			Fleet.Machine entry = fleet.add("frontend-" + zone + "-1", "entry", zone, store.address());
			entry.start();
			entries.add(entry);
		}
		fleet.awaitReady(20);
		TimeUnit.MILLISECONDS.sleep(4000);
		if (trouble) {
			store.put("config", "main", grown(configuration));
			record.log("the configuration has %d routes more", ROUTES);
		}
		// Longer than configuration_apply_ms.
		TimeUnit.MILLISECONDS.sleep(4000);

		Queue<Sent> sent = new ConcurrentLinkedQueue<>();
		double start = record.seconds();
		List<Thread> clients = new ArrayList<>();
		for (Fleet.Machine entry : entries) {
			for (int i = 0; i < CLIENTS_PER_ENTRY; i++) {
				int first = i;
				clients.add(new Thread(() -> callAll(entry.callers(), first, trouble, record, start, sent)));
			}
		}
		clients.forEach(Thread::start);
		for (Thread client : clients) {
			client.join();
		}
		return judge(record, entries, sent, start);
	}

	private static void startServer(String id, Store store, Fleet fleet) throws IOException {
		Http.Server server = new Http.Server(fleet.newHost(), 0, (request, connection) -> {
			if (request.path().equals("/health")) {
				connection.respond(200, "Instance-Id: " + id + "\r\n", new byte[0]);
				return;
			}
			String requestId = request.header("Request-Id");
			connection.respond(200, "Request-Id: " + requestId + "\r\nResponse-Signature: s." + requestId
					+ "\r\nKeep-Alive: timeout=10\r\n", Fleet.bytes("done " + requestId));
		});
		store.put("servers", id, Json.object("service", "plain", "address", server.address(), "zone", "kv-a", "version",
				"1", "slots", 6, "state", "ready", "cold_remaining_ms", 0, "seq", 1));
	}

	private static Map<String, Object> grown(Map<String, Object> configuration) {
		Map<String, Object> grown = new LinkedHashMap<>(configuration);
		grown.put("version", 9L);
		List<Object> routes = new ArrayList<>((List<?>) configuration.get("routes"));
		for (int i = 0; i < ROUTES; i++) {
			routes.add(Json.object("name", "r-new" + i, "host", Site.HOST, "path_prefix", "/new" + i + "/", "kind",
					"safe", "timeout_ms", TIMEOUT_MS, "target_latency_ms", 250, "priority", 2, "service", "plain",
					"max_attempts", 2, "public", false));
		}
		grown.put("routes", routes);
		return grown;
	}

	// One request of each tenant for each route, shared out over the clients of an entry.
	private static void callAll(String entry, int first, boolean trouble, Record record, double start,
			Queue<Sent> sent) {
		Http.Connection connection = null;
		for (int n = first; (n < TENANTS * ROUTES) && (record.seconds() < start + SECONDS); n += CLIENTS_PER_ENTRY) {
			sleepUntil(record, start + (n / RATE));
			String target = trouble ? ("/new" + (n / TENANTS) + "/a") : "/read/a";
			double at = record.seconds();
			int status = 0;
			boolean unanswered = false;
			try {
				if (connection == null) {
					connection = Http.Connection.open(entry, 1000);
					connection.socket.setSoTimeout((int) (TIMEOUT_MS + LATE_MS));
				}
				connection.send("GET " + target + " HTTP/1.1\r\nHost: " + Site.HOST + "\r\nRequest-Id: " + Site.newId()
						+ "\r\nTime-Remaining: " + TIMEOUT_MS + "\r\nAuthorization: Token key" + (n % TENANTS)
						+ "\r\n\r\n", new byte[0]);
				Http.Response response = connection.readResponse(false);
				status = response.status();
				if (!response.whole() || "close".equalsIgnoreCase(response.headers().get("Connection"))) {
					connection.close();
					connection = null;
				}
			}
			catch (SocketTimeoutException ex) {
				unanswered = connection != null;
				connection = closed(connection);
			}
			catch (IOException | RuntimeException ex) {
				connection = closed(connection);
			}
			sent.add(new Sent(at, status, (record.seconds() - at) * 1000, unanswered));
		}
		closed(connection);
	}

	private static void sleepUntil(Record record, double seconds) {
		double left = seconds - record.seconds();
		if (left > 0) {
			LockSupport.parkNanos((long) (left * 1e9));
		}
	}

	private static Http.Connection closed(Http.Connection connection) {
		if (connection != null) {
			connection.close();
		}
		return null;
	}

	private static int judge(Record record, List<Fleet.Machine> entries, Queue<Sent> sent, double start)
			throws IOException {
		Map<Integer, Map<String, Integer>> bySeconds = new TreeMap<>();
		int late = 0;
		int unanswered = 0;
		int served = 0;
		for (Sent s : sent) {
			String outcome = s.unanswered() ? "no answer 0.5 s after the time-out"
					: (s.status() > 0) ? Integer.toString(s.status()) : "closed or not connected";
			bySeconds.computeIfAbsent((int) ((s.at() - start) / 5) * 5, (t) -> new TreeMap<>())
				.merge(outcome, 1, Integer::sum);
			late += (s.millis() > TIMEOUT_MS) ? 1 : 0;
			unanswered += s.unanswered() ? 1 : 0;
			served += (s.status() == 200) ? 1 : 0;
		}
		bySeconds.forEach((second, outcomes) -> record.log("from second %d: %s", second, outcomes));
		for (Fleet.Machine entry : entries) {
			long failures = entry.log().lines().filter((l) -> l.contains("OutOfMemoryError") || l.contains("heap space")).count();
			record.log("%s: %s, ready %s, %d records of a full heap", entry.name,
					entry.process.isAlive() ? "runs" : "has ended", entry.isReady(), failures);
		}
		record.log("%d requests, %d served; %d unanswered at timeout_ms, %d of them 0.5 s later too", sent.size(), served,
				late, unanswered);
		System.out.printf(Locale.ROOT, "requests %d, served %d, late %d, unanswered %d%n", sent.size(), served, late,
				unanswered);
		if (served < 1000) {
			return 2;
		}
		return ((unanswered >= 8) && (unanswered > late / 2)) ? 1 : 0;
	}

}
