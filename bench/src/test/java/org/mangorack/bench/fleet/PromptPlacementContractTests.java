package org.mangorack.bench.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.bench.fleet.ScriptedUpstream.Received;
import org.mangorack.http.HttpAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that turns of large models are placed where their prompts are kept, wait at the
 * entry while all engines are full, and are refused in time, with two entries and one
 * keeper.
 */
class PromptPlacementContractTests {

	private static final long LARGE_TOKEN_BYTES = 163_840;

	private static final long SMALL_TOKEN_BYTES = 18_432;

	private static final int MEMORY_TOKENS = 54_287;

	private static final int SHARED_TOKENS = 512;

	private static final int TOKENS_PER_TURN = 654;

	private static final int BYTES_PER_TOKEN = 4;

	// Turns after which what engines are compared by no longer depends on how they were
	// warmed up.
	private static final int SETTLING_TURNS = 40;

	private static final Duration TIMEOUT = Duration.ofSeconds(4);

	private static final String OUTPUT = "one\ntwo\nthree\nfour\n";

	private static final Pattern RETRY_AFTER = Pattern.compile("(?i)retry-after: (\\d+\\.\\d+)");

	@TempDir
	Path folder;

	private final TestFleetNodes fleet;

	private final Map<String, Engine> engines = new LinkedHashMap<>();

	private final List<HttpAddress> entries = new ArrayList<>();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private int version = 1;

	PromptPlacementContractTests() throws IOException {
		this.fleet = new TestFleetNodes();
	}

	@BeforeEach
	void start() throws Exception {
		this.fleet.start(this.folder, 1, 0);
		this.entries.add(this.fleet.callers());
		this.fleet.startEntry(0);
		this.entries.add(this.fleet.callers());
	}

	@AfterEach
	void stop() throws IOException {
		this.engines.values().forEach(Engine::release);
		this.threads.shutdownNow();
		this.fleet.close();
		for (Engine engine : this.engines.values()) {
			engine.upstream.close();
		}
	}

	// ---- Placement

	// Guards against prompts that are read again because the entry of the next turn does
	// not know which engine keeps them.
	@ParameterizedTest
	@ValueSource(strings = { "turns", "dialog" })
	void theTurnsOfAConversationReachOneEngineThroughDifferentEntries(String route) throws Exception {
		startEngines(4, 8, LARGE_TOKEN_BYTES);
		for (int i = 0; i < SETTLING_TURNS; i++) {
			assertServed(new Conversation("other-" + i, route).next(this.entries.get(i % 2)));
		}
		Conversation conversation = new Conversation("c1", route);
		for (int i = 0; i < 14; i++) {
			assertServed(conversation.next(this.entries.get(i % 2)));
		}
		assertThat(enginesOf("c1")).as("engines by turn").hasSize(14).containsOnly(enginesOf("c1").get(0));
	}

	// Guards against conversations that end with the engine that kept their prompt.
	@ParameterizedTest
	@EnumSource
	void aConversationGoesOnWithoutItsEngine(Loss loss) throws Exception {
		startEngines(3, 8, LARGE_TOKEN_BYTES);
		Conversation conversation = new Conversation("c1", "turns");
		for (int i = 0; i < 3; i++) {
			assertServed(conversation.next(this.entries.get(i % 2)));
		}
		String lost = enginesOf("c1").get(2);
		loss.apply(this, this.engines.get(lost));
		for (int i = 3; i < 8; i++) {
			assertServed(conversation.next(this.entries.get(i % 2)));
		}
		List<Received> served = servedTurns("c1");
		assertThat(served).hasSize(8);
		// Each engine gets the input and output of all turns before.
		Received last = served.stream().filter((r) -> r.header("Request-Id").equals("c1-8")).findFirst().orElseThrow();
		assertThat(last.body()).isEqualTo(conversation.wholePrompt());
		assertThat(enginesOf("c1").subList(3, 8)).doesNotContain(lost);
	}

	// Guards against prompts that go from engine to engine although none can hold them.
	@Test
	void aPromptLargerThanTheMemoryIsRefusedAtOnce() throws Exception {
		startEngines(2, 8, LARGE_TOKEN_BYTES);
		for (String route : List.of("turns", "dialog")) {
			String id = "large-" + route;
			long startedAt = System.nanoTime();
			String response = exchange(this.entries.get(0), request("/" + route + "/1", id,
					"Prompt-Prefix: a1:512,b1:" + (MEMORY_TOKENS - 511) + "\r\n", "x".repeat(MEMORY_TOKENS + 900)));
			assertThat(millisSince(startedAt)).isLessThan(1000);
			assertThat(response).startsWith("HTTP/1.1 503")
				.contains("request_too_large")
				.contains("not_run")
				.contains(Integer.toString(MEMORY_TOKENS))
				.contains(Integer.toString(MEMORY_TOKENS + 1));
			assertThat(received(id)).isEmpty();
		}
		assertThat(exchange(this.entries.get(0), request("/turns/1", "largest",
				"Prompt-Prefix: a1:512,b1:" + (MEMORY_TOKENS - 512) + "\r\n", "x".repeat(MEMORY_TOKENS))))
			.startsWith("HTTP/1.1 200");
	}

	// Guards against a request that is lost because its list claims more tokens than its
	// body can hold.
	@Test
	void aSizeLargerThanTheBodyAllowsCostsNoRequest() throws Exception {
		startEngines(2, 8, LARGE_TOKEN_BYTES);
		assertThat(
				exchange(this.entries.get(0), request("/turns/1", "r1", "Prompt-Prefix: a1:512,b1:999999999\r\n", "x")))
			.startsWith("HTTP/1.1 200");
	}

	// Guards against requests that are refused because of malformed headers that only
	// help to place them.
	@Test
	void malformedPromptHeadersCostNoRequest() throws Exception {
		startEngines(2, 8, LARGE_TOKEN_BYTES);
		List<String> headers = List.of("Prompt-Prefix: a1:x\r\n", "Prompt-Prefix: a1:-5,b2:1\r\n",
				"Prompt-Prefix: ,,\r\n", "Prompt-Prefix: a1:1,a1:1,a1:1\r\n", "Prompt-Prefix: a1:0\r\n",
				"Prompt-Prefix: " + "a1:1,".repeat(700) + "a1:1\r\n",
				"Prompt-Prefix: a1:5\r\nProgram-Time-Remaining: -1\r\nSession: \r\n",
				"Prompt-Prefix: a1:5\r\nProgram-Time-Remaining: soon\r\nProgram: p\r\nSession: " + "s".repeat(300)
						+ "\r\n");
		for (int i = 0; i < headers.size(); i++) {
			for (String route : List.of("turns", "dialog")) {
				assertThat(exchange(this.entries.get(i % 2),
						request("/" + route + "/1", route + "-" + i, headers.get(i), "x")))
					.as(headers.get(i))
					.startsWith("HTTP/1.1 200");
			}
		}
	}

	// Guards against fields in the stored turns that nothing needs, and against changes
	// to the placement of pools that read prompts quickly. The first half shows that a
	// name
	// would be found.
	@Test
	void poolsOfSmallModelsStoreNoUpstreamAndSpreadTheirTurns() throws Exception {
		startEngines(4, 8, LARGE_TOKEN_BYTES);
		assertServed(new Conversation("heavy", "turns").next(this.entries.get(0)));
		await(() -> isOnDisk("session-heavy"));
		assertThat(isOnDisk(enginesOf("heavy").get(0))).isTrue();
		configure(SMALL_TOKEN_BYTES, TIMEOUT, TestFleetNodes.KEY);
		Conversation conversation = new Conversation("small", "turns");
		for (int i = 0; i < 12; i++) {
			assertServed(conversation.next(this.entries.get(i % 2)));
		}
		assertThat(isOnDisk("small-12")).isTrue();
		assertThat(isOnDisk("session-small")).isFalse();
		assertThat(new HashSet<>(enginesOf("small"))).hasSizeGreaterThan(1);
		assertThat(exchange(this.entries.get(0),
				request("/turns/1", "large", "Prompt-Prefix: a1:512,b1:" + MEMORY_TOKENS + "\r\n", "x")))
			.startsWith("HTTP/1.1 200");
	}

	// ---- Waiting

	// Guards against turns of begun programs that are lost, or sent to a full engine,
	// while all engines are full for a short time.
	@Test
	void aTurnOfABegunProgramWaitsUntilThereIsRoom() throws Exception {
		Engine engine = startFullEngine(TIMEOUT);
		Future<String> waiting = submit(begunTurn("waits"));
		ScriptedUpstream.sleep(500);
		assertThat(received("waits")).isEmpty();
		assertThat(waiting.isDone()).isFalse();
		engine.release();
		assertServed(waiting.get(20, TimeUnit.SECONDS));
		assertThat(received("waits")).hasSize(1);
	}

	// Guards against work for callers that have left.
	@Test
	void aWaitingTurnWhoseCallerLeavesReachesNoEngine() throws Exception {
		Engine engine = startFullEngine(TIMEOUT);
		HttpAddress entry = this.entries.get(0);
		try (Socket socket = new Socket(entry.host(), entry.port())) {
			socket.getOutputStream().write(ScriptedUpstream.bytes(begunTurn("left")));
			ScriptedUpstream.sleep(400);
			assertThat(received("left")).isEmpty();
		}
		ScriptedUpstream.sleep(200);
		engine.release();
		assertServed(submit(begunTurn("next")).get(20, TimeUnit.SECONDS));
		ScriptedUpstream.sleep(1500);
		assertThat(received("left")).isEmpty();
	}

	// Guards against waiting turns that keep the time limit they arrived with. They would
	// wait for five seconds.
	@Test
	void aShorterTimeLimitEndsAWaitingTurn() throws Exception {
		startFullEngine(Duration.ofSeconds(20));
		long startedAt = System.nanoTime();
		Future<String> waiting = submit(begunTurn("limited"));
		ScriptedUpstream.sleep(2000);
		putConfiguration(LARGE_TOKEN_BYTES, Duration.ofMillis(2500), TestFleetNodes.KEY);
		String response = waiting.get(20, TimeUnit.SECONDS);
		assertThat(response).startsWith("HTTP/1.1 503").contains("not_run");
		assertThat(millisSince(startedAt)).isLessThan(3500);
		assertThat(received("limited")).isEmpty();
	}

	// Guards against turns that run with a key that was withdrawn while they waited.
	@Test
	void aWaitingTurnWhoseKeyIsWithdrawnDoesNotRun() throws Exception {
		Engine engine = startFullEngine(Duration.ofSeconds(20));
		Future<String> waiting = submit(begunTurn("withdrawn"));
		ScriptedUpstream.sleep(300);
		configure(LARGE_TOKEN_BYTES, Duration.ofSeconds(20), "key-other");
		engine.release();
		assertThat(waiting.get(20, TimeUnit.SECONDS)).contains("not_run").matches("(?s)HTTP/1\\.1 (401|503) .*");
		ScriptedUpstream.sleep(500);
		assertThat(received("withdrawn")).isEmpty();
	}

	// Guards against programs that begin although the pool cannot end them in time, and
	// against the loss of programs that have begun.
	@Test
	void firstTurnsAreRefusedWhileThePoolIsFullAndBegunProgramsAreNot() throws Exception {
		Engine engine = startFullEngine(TIMEOUT);
		Set<String> delays = new HashSet<>();
		for (int i = 0; i < 20; i++) {
			String first = request("/turns/1", "first-" + i, promptHeaders("p" + i, "p" + i), "x")
				.replace("Time-Remaining: 4000", "Time-Remaining: 400");
			String response = exchange(this.entries.get(0), first);
			assertThat(response).startsWith("HTTP/1.1 503").contains("pool_busy").contains("not_run");
			Matcher matcher = RETRY_AFTER.matcher(response);
			assertThat(matcher.find()).as(response).isTrue();
			assertThat(Double.parseDouble(matcher.group(1))).isBetween(0.001, 4.0);
			delays.add(matcher.group(1));
			assertThat(received("first-" + i)).isEmpty();
		}
		assertThat(delays).hasSizeGreaterThan(5);
		List<Future<String>> begun = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			begun.add(submit(begunTurn("begun-" + i)));
		}
		ScriptedUpstream.sleep(200);
		engine.release();
		for (Future<String> turn : begun) {
			assertServed(turn.get(20, TimeUnit.SECONDS));
		}
	}

	// ---- Configuration

	private void startEngines(int count, int slots, long tokenBytes) throws Exception {
		for (int i = 1; i <= count; i++) {
			Engine engine = new Engine("engine-" + i);
			this.engines.put(engine.id, engine);
			ObjectNode registration = TestFleetNodes.object("""
					{"service":"pool","zone":"dc","version":"1","state":"ready","cold_remaining_ms":0,"seq":1,
					"born":1}""");
			registration.put("address", engine.upstream.address()).put("slots", slots);
			this.fleet.store().put("servers", engine.id, registration);
		}
		for (HttpAddress entry : this.entries) {
			String tag = "warm-" + entry.port() + "-";
			TestFleetNodes.awaitResponse(entry, request("/turns/1", tag + "0", "", "x"),
					(r) -> r.startsWith("HTTP/1.1 200"));
			await(() -> {
				exchange(entry, request("/read/1", tag + "1", "", ""));
				return this.engines.values().stream().allMatch((e) -> e.hasReceived(tag));
			});
		}
		configure(tokenBytes, TIMEOUT, TestFleetNodes.KEY);
	}

	// Starts an engine with one slot and fills it beyond the load at which turns wait.
	private Engine startFullEngine(Duration timeout) throws Exception {
		startEngines(1, 1, LARGE_TOKEN_BYTES);
		configure(LARGE_TOKEN_BYTES, Duration.ofSeconds(20), TestFleetNodes.KEY);
		for (int i = 0; i < 2; i++) {
			String id = "hold-" + i;
			submit(begunTurn(id));
			await(() -> !received(id).isEmpty());
		}
		configure(LARGE_TOKEN_BYTES, timeout, TestFleetNodes.KEY);
		return this.engines.get("engine-1");
	}

	private void configure(long tokenBytes, Duration timeout, String key) throws Exception {
		String marker = putConfiguration(tokenBytes, timeout, key);
		for (HttpAddress entry : this.entries) {
			TestFleetNodes.awaitResponse(entry,
					request("/read/1", "marker", "", "").replace("Token " + TestFleetNodes.KEY, "Token " + marker),
					(r) -> r.startsWith("HTTP/1.1 200"));
		}
	}

	// Returns a key that only this version of the configuration has.
	private String putConfiguration(long tokenBytes, Duration timeout, String key) throws IOException {
		String marker = "key-v" + ++this.version;
		this.fleet.configure(this.version, TestFleetNodes.object("""
				{"routes":[
				{"name":"turns","host":"check.example","path_prefix":"/turns/","kind":"streaming","timeout_ms":TIMEOUT,
				"service":"pool","max_attempts":3,"retains_context":true,"retention_s":60,"sticky_sessions":true},
				{"name":"dialog","host":"check.example","path_prefix":"/dialog/","kind":"streaming",
				"timeout_ms":TIMEOUT,"service":"pool","max_attempts":3,"resumable":true},
				{"name":"read","host":"check.example","path_prefix":"/read/","kind":"safe","timeout_ms":4000,
				"service":"pool","max_attempts":2}],
				"services":[{"name":"pool","connection_limit":100,"engine":{"slots":8,"tokens_per_event":12,
				"kv_cache_tokens":MEMORY,"kv_token_bytes":BYTES}}],
				"limits":{"max_header_bytes":8192,"max_body_bytes":100000,"header_timeout_ms":600,
				"idle_timeout_ms":3000},
				"tenants":[{"name":"a","api_keys":["KEY"]},{"name":"marker","api_keys":["MARKER"]}]}"""
			.replace("TIMEOUT", Long.toString(timeout.toMillis()))
			.replace("MEMORY", Integer.toString(MEMORY_TOKENS))
			.replace("BYTES", Long.toString(tokenBytes))
			.replace("KEY", key)
			.replace("MARKER", marker)));
		return marker;
	}

	// ---- Calls

	private static String request(String path, String id, String headers, String body) {
		return TestFleetNodes.request(path.startsWith("/read/") ? "GET" : "POST", path, id, headers, body);
	}

	// A line of turns of its own within a program has begun with the program.
	private static String begunTurn(String id) {
		return request("/turns/1", id, promptHeaders("program", "session-" + id), "x").replace("Time-Remaining: 4000",
				"Time-Remaining: 20000");
	}

	private static String promptHeaders(String program, String session) {
		return "Program: " + program + "\r\nSession: " + session + "\r\nPrompt-Prefix: a1:" + SHARED_TOKENS + ",b1:"
				+ TOKENS_PER_TURN + "\r\n";
	}

	private Future<String> submit(String request) {
		return this.threads.submit((Callable<String>) () -> TestFleetNodes.exchange(this.entries.get(0), request));
	}

	private static String exchange(HttpAddress entry, String request) {
		try {
			return TestFleetNodes.exchange(entry, request);
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static void assertServed(String response) {
		assertThat(response).startsWith("HTTP/1.1 200").endsWith("\r\n0\r\n\r\n");
		assertThat(Pattern.compile("data: (\\w+\n)").matcher(response).results().map((m) -> m.group(1)).toList())
			.as(response)
			.containsExactly("one\n", "two\n", "three\n", "four\n");
	}

	// ---- Observations

	private List<Received> received(String id) {
		return this.engines.values()
			.stream()
			.flatMap((e) -> e.upstream.received().stream())
			.filter((r) -> id.equals(r.header("Request-Id")))
			.toList();
	}

	// The engines that served the turns of a conversation, in their order.
	private List<String> enginesOf(String conversation) {
		List<String> names = new ArrayList<>();
		for (int turn = 1; turn <= 20; turn++) {
			String id = conversation + "-" + turn;
			this.engines.values().stream().filter((e) -> e.served.containsKey(id)).forEach((e) -> names.add(e.id));
		}
		return names;
	}

	private List<Received> servedTurns(String conversation) {
		return this.engines.values()
			.stream()
			.flatMap((e) -> e.served.values().stream())
			.filter((r) -> r.header("Request-Id").startsWith(conversation + "-"))
			.toList();
	}

	private boolean isOnDisk(String text) {
		try (Stream<Path> files = Files.walk(this.folder)) {
			for (Path file : files.filter(Files::isRegularFile).toList()) {
				if (new String(Files.readAllBytes(file), StandardCharsets.ISO_8859_1).contains(text)) {
					return true;
				}
			}
			return false;
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static long millisSince(long startedAt) {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
	}

	private static void await(Supplier<Boolean> condition) {
		long startedAt = System.nanoTime();
		while (!condition.get()) {
			assertThat(millisSince(startedAt)).isLessThan(30_000);
			ScriptedUpstream.sleep(50);
		}
	}

	/**
	 * How an engine is lost.
	 */
	enum Loss {

		/** Its entry is deleted and it accepts no connections. */
		GONE {

			@Override
			void apply(PromptPlacementContractTests test, Engine engine) throws IOException {
				test.fleet.store().remove("servers", engine.id);
				engine.upstream.close();
				// Entries use an engine for 1.6 s after its registration is gone.
				ScriptedUpstream.sleep(2500);
			}

		},

		/** It accepts no connections, but is still registered. */
		UNREACHABLE {

			@Override
			void apply(PromptPlacementContractTests test, Engine engine) throws IOException {
				engine.upstream.close();
				// The entries close their idle connections meanwhile.
				ScriptedUpstream.sleep(6000);
			}

		},

		/** It refuses all requests. */
		FULL {

			@Override
			void apply(PromptPlacementContractTests test, Engine engine) {
				engine.refusing = true;
			}

		};

		abstract void apply(PromptPlacementContractTests test, Engine engine) throws IOException;

	}

	/**
	 * A line of turns whose prompt grows. Where the system stores no turns the whole
	 * prompt is sent.
	 */
	private static final class Conversation {

		private final String name;

		private final String route;

		private final StringBuilder prompt = new StringBuilder();

		private String lastInput = "";

		private int turns;

		Conversation(String name, String route) {
			this.name = name;
			this.route = route;
		}

		String next(HttpAddress entry) {
			if (this.turns > 0) {
				this.prompt.append(this.lastInput).append(OUTPUT);
			}
			boolean stored = this.route.equals("turns");
			String previous = (stored && (this.turns > 0)) ? "Previous-Turn: " + this.name + "-" + this.turns + "\r\n"
					: "";
			this.turns++;
			int tokens = TOKENS_PER_TURN + ((this.turns == 1) ? SHARED_TOKENS : 0);
			String mark = "input " + this.turns + " ";
			this.lastInput = mark + "x".repeat((tokens * BYTES_PER_TOKEN) - OUTPUT.length() - mark.length());
			String headers = "Program: " + this.name + "\r\nSession: session-" + this.name + "\r\n" + previous
					+ "Prompt-Prefix: a1:" + SHARED_TOKENS + ",c" + Integer.toHexString(this.name.hashCode()) + ":"
					+ (this.turns * TOKENS_PER_TURN) + "\r\n";
			return exchange(entry, request("/" + this.route + "/1", this.name + "-" + this.turns, headers,
					stored ? this.lastInput : wholePrompt()));
		}

		String wholePrompt() {
			return this.prompt + this.lastInput;
		}

	}

	/**
	 * An engine that takes time to read what it does not keep of a prompt, and holds
	 * requests whose id begins with {@code hold}.
	 */
	private static final class Engine {

		private static final double READ_TOKENS_PER_MILLI = 62;

		private static final Pattern PART = Pattern.compile("(\\w+):(\\d+)");

		private final String id;

		private final Map<String, Received> served = new ConcurrentHashMap<>();

		private final Map<String, Long> kept = new ConcurrentHashMap<>();

		private final CountDownLatch released = new CountDownLatch(1);

		private final ScriptedUpstream upstream;

		private volatile boolean refusing;

		Engine(String id) throws IOException {
			this.id = id;
			this.upstream = new ScriptedUpstream(this::respond);
		}

		void release() {
			this.released.countDown();
		}

		boolean hasReceived(String prefix) {
			return this.upstream.received().stream().anyMatch((r) -> r.header("Request-Id").startsWith(prefix));
		}

		private boolean respond(Received request, OutputStream out, Socket socket) throws IOException {
			String requestId = request.header("Request-Id");
			if (this.refusing) {
				out.write(ScriptedUpstream.bytes("HTTP/1.1 503 Busy\r\nRequest-Id: " + requestId
						+ "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
				return true;
			}
			if (request.start().contains("/read/")) {
				out.write(ScriptedUpstream.plain(request, "done"));
				return true;
			}
			if (requestId.startsWith("hold")) {
				awaitRelease();
			}
			this.served.put(requestId, request);
			ScriptedUpstream.sleep(readMillis(request.headers().getOrDefault("Prompt-Prefix", "")));
			out.write(ScriptedUpstream.bytes(ScriptedUpstream.streamHead(request)));
			int number = 0;
			for (String line : OUTPUT.strip().split("\n")) {
				out.write(
						ScriptedUpstream.bytes(ScriptedUpstream.chunk("id: " + ++number + "\ndata: " + line + "\n\n")));
				out.flush();
				ScriptedUpstream.sleep(10);
			}
			out.write(ScriptedUpstream.bytes("0\r\n\r\n"));
			return true;
		}

		private long readMillis(String prompt) {
			Matcher matcher = PART.matcher(prompt);
			long unread = 0;
			while (matcher.find()) {
				long tokens = Math.min(MEMORY_TOKENS, Long.parseLong(matcher.group(2)));
				Long before = this.kept.put(matcher.group(1), tokens);
				unread += Math.max(0, tokens - ((before != null) ? before : 0));
			}
			return 1 + (long) (unread / READ_TOKENS_PER_MILLI);
		}

		private void awaitRelease() {
			try {
				this.released.await(60, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

}
