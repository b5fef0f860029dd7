import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** What a small deployment has in each case: configuration, keys and servers, and its client's requests. */
final class Site {

	static final String HOST = "ficu95.example";

	static final String KEY = "3fexd9dnn2ctnfzs989a";

	static final String TENANT = "hule930";

	static final int RETENTION_S = 60;

	private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

	private Site() {
	}

	static String newId() {
		return String.format("%016x", IDS.incrementAndGet() * 0x9e3779b97f4a7c15L);
	}

	static Map<String, Object> configuration(long version) {
		List<Object> routes = new ArrayList<>();
		routes.add(Json.object("name", "r-turns", "host", HOST, "path_prefix", "/turns/", "kind", "streaming",
				"timeout_ms", 3000, "target_latency_ms", 250, "priority", 0, "service", "engine", "max_attempts", 2,
				"retains_context", true, "retention_s", (double) RETENTION_S, "public", false, "sticky_sessions", true,
				"resumable", false, "target_gap_ms", 150));
		routes.add(Json.object("name", "r-read", "host", HOST, "path_prefix", "/read/", "kind", "safe", "timeout_ms",
				1500, "target_latency_ms", 250, "priority", 2, "service", "plain", "max_attempts", 2, "public", false));
		routes.add(Json.object("name", "r-order", "host", HOST, "path_prefix", "/order/", "kind", "unsafe",
				"timeout_ms", 6000, "target_latency_ms", 800, "priority", 2, "service", "plain", "max_attempts", 1,
				"public", false));
		List<Object> services = new ArrayList<>();
		services.add(Json.object("name", "engine", "health_path", "/health", "connection_limit", 140, "protocol", "h1",
				"tls", false, "engine", Json.object("slots", 8, "kv_cache_tokens", 97418, "kv_token_bytes", 18432,
						"tokens_per_event", 14, "models", List.of(Json.object("name", "m")))));
		services.add(Json.object("name", "plain", "health_path", "/health", "connection_limit", 100, "protocol", "h1",
				"tls", false));
		return Json.object("version", version, "routes", routes, "services", services, "limits",
				Json.object("max_header_bytes", 16384, "max_body_bytes", 4194304, "header_timeout_ms", 3000,
						"idle_timeout_ms", 15000),
				"tenants", List.of(Json.object("name", TENANT, "api_keys", List.of(KEY), "priority", 1, "rate_per_s",
						400, "burst", 400)));
	}

	static String headers(String id, long remainingMillis) {
		return "Host: " + HOST + "\r\nRequest-Id: " + id + "\r\nTime-Remaining: " + remainingMillis
				+ "\r\nAuthorization: Token " + KEY + "\r\n";
	}

	static String turnHeaders(String id, String program, String previous, int promptTokens) {
		return headers(id, 3000) + "Program: " + program + "\r\nSession: " + program
				+ "\r\nProgram-Time-Remaining: 30000\r\nToken-Budget: 100000\r\nModel: m\r\nToken-Counts: " + promptTokens
				+ ",280\r\nPrompt-Prefix: " + id + ":" + promptTokens + "\r\n"
				+ ((previous != null) ? ("Previous-Turn: " + previous + "\r\n") : "");
	}

	static Http.Response turn(String entry, String id, String program, String previous, byte[] input)
			throws IOException {
		return Http.call(entry, "POST", "/turns/a", turnHeaders(id, program, previous, Math.max(1, input.length / 2)),
				input, 4000);
	}

}
