package org.mangorack.bench.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Simulates a model engine. It simulates continuous batching, in which the time per token
 * grows with the number of active calls, and caches prompt prefixes in limited memory.
 * Streams can be resumed and cancelled. Each response echoes the end of the last message,
 * so that a caller can verify that the response belongs to its own request.
 */
public final class EngineStandIn extends StandInServer {

	private static final int CHARS_PER_TOKEN = 4;

	private static final int ECHO_CHARS = 80;

	private static final int DEFAULT_TOKENS = 12;

	private static final long LOAD_REPORT_INTERVAL_MILLIS = 500;

	private static final long STREAM_RETENTION_SECONDS = 10;

	private final Timing timing;

	private final PrefixCache cache;

	private final Map<String, EngineStream> streams = new ConcurrentHashMap<>();

	private final Map<String, Integer> callsByProgram = new ConcurrentHashMap<>();

	private final List<ObjectNode> cacheEvents = new ArrayList<>();

	private final List<String> leakedKeys = new ArrayList<>();

	private final ExecutorService generators = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "generator");
		thread.setDaemon(true);
		return thread;
	});

	private final ScheduledExecutorService expiryScheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "forgetting");
		thread.setDaemon(true);
		return thread;
	});

	private final AtomicInteger activeCalls = new AtomicInteger();

	private long promptTokens;

	private long cachedTokens;

	private long highestFence;

	private int eventNumber;

	private int reportedLoad;

	private long reportedAt;

	private volatile long silentAfterEvents = -1;

	private volatile boolean hanging;

	private volatile boolean refusingReleases;

	/**
	 * Creates an engine, which must be started with {@link #start()}.
	 * @param port the port to listen on; 0 picks a free one
	 * @param timing the simulated processing times
	 * @param cacheTokens the capacity of the prefix cache in tokens
	 */
	public EngineStandIn(int port, Timing timing, long cacheTokens) {
		super(port);
		this.timing = timing;
		this.cache = new PrefixCache(cacheTokens);
	}

	// ---- Fault injection and statistics

	/**
	 * Makes the next stream stall after a number of events, with its connection left
	 * open.
	 * @param events the number of events sent before the stall, or -1 to disable it
	 */
	public void setSilentAfterEvents(long events) {
		this.silentAfterEvents = events;
	}

	/**
	 * Makes the engine accept completion requests without responding to them.
	 * @param value {@code true} to hang
	 */
	public void setHanging(boolean value) {
		this.hanging = value;
	}

	/**
	 * Makes the engine reject requests to release the cached tokens of a program.
	 * @param value {@code true} to respond with status 503
	 */
	public void setRefusingReleases(boolean value) {
		this.refusingReleases = value;
	}

	/**
	 * Returns the number of completion requests of each program.
	 * @return the number of calls by program
	 */
	public Map<String, Integer> callsByProgram() {
		return this.callsByProgram;
	}

	/**
	 * Returns the number of cached tokens of each program.
	 * @return the cached tokens by program
	 */
	public synchronized Map<String, Long> heldByProgram() {
		return this.cache.tokensByProgram();
	}

	/**
	 * Returns the number of prompt tokens that were not found in the cache.
	 * @return the number of tokens
	 */
	public synchronized long computedTokens() {
		return this.promptTokens - this.cachedTokens;
	}

	/**
	 * Returns the names of request headers that contained the key of a caller, which must
	 * not be forwarded.
	 * @return the header names; empty if no key was leaked
	 */
	public synchronized List<String> leakedKeys() {
		return new ArrayList<>(this.leakedKeys);
	}

	// ---- Requests

	@Override
	protected Reply answer(Request request) throws IOException {
		recordLeakedKeys(request);
		Reply reply = dispatch(request);
		Map<String, String> headers = new LinkedHashMap<>(reply.headers());
		headers.put("X-Request-Id", request.headers().getOrDefault("X-Request-Id", ""));
		return reply.withHeaders(headers);
	}

	private Reply dispatch(Request request) throws IOException {
		String path = request.path();
		if (path.equals("/v1/chat/completions")) {
			return chat(request);
		}
		if (path.startsWith("/v1/streams/")) {
			return stream(request, path.substring("/v1/streams/".length()));
		}
		return switch (path) {
			case "/admin/release" -> release(request.json().path("program").asText());
			case "/admin/load" -> load();
			case "/admin/events" -> events();
			case "/admin/order" -> order(request.json());
			case "/control" -> control(request);
			default -> problem(404, "no such path");
		};
	}

	private Reply chat(Request request) throws IOException {
		if (this.hanging) {
			sleep(TimeUnit.MINUTES.toMillis(2));
		}
		JsonNode body = request.json();
		if (!body.path("messages").isArray()) {
			return problem(400, "no messages");
		}
		String program = request.headers().getOrDefault("X-Program", "");
		this.callsByProgram.merge(program, 1, Integer::sum);
		Prompt prompt = prompt(program, body.path("messages"));
		String id = UUID.randomUUID().toString();
		EngineStream stream = new EngineStream();
		this.streams.put(id, stream);
		this.generators.execute(() -> generate(id, stream, body, prompt));
		if (body.path("stream").asBoolean()) {
			boolean usage = body.path("stream_options").path("include_usage").asBoolean();
			return Reply.stream("text/event-stream", Map.of("X-Stream-Id", id),
					(out) -> writeEvents(stream, 0, usage, consumeSilentAfterEvents(), out));
		}
		return completion(id, stream, body);
	}

	private Reply stream(Request request, String id) throws IOException {
		EngineStream stream = this.streams.get(id);
		if (stream == null) {
			return problem(404, "no stream " + id);
		}
		if (request.method().equals("DELETE")) {
			stream.cancel();
			return Reply.json(200, MAPPER.createObjectNode().put("cancelled", id));
		}
		int offset = Integer.parseInt(request.parameter("offset", "0"));
		return Reply.stream("text/event-stream", Map.of("X-Stream-Id", id),
				(out) -> writeEvents(stream, offset, true, -1, out));
	}

	private synchronized Reply release(String program) throws IOException {
		if (this.refusingReleases) {
			return problem(503, "busy");
		}
		this.cache.release(program);
		return Reply.json(200, MAPPER.createObjectNode().put("released", program));
	}

	private synchronized Reply load() throws IOException {
		long now = System.nanoTime() / 1_000_000;
		if (now - this.reportedAt > LOAD_REPORT_INTERVAL_MILLIS) {
			this.reportedAt = now;
			this.reportedLoad = this.activeCalls.get();
		}
		return Reply.json(200, MAPPER.createObjectNode().put("underWay", this.reportedLoad));
	}

	private synchronized Reply events() throws IOException {
		ArrayNode list = MAPPER.createArrayNode();
		this.cacheEvents.forEach(list::add);
		this.cacheEvents.clear();
		ObjectNode json = MAPPER.createObjectNode();
		json.set("events", list);
		return Reply.json(200, json);
	}

	private synchronized Reply order(JsonNode order) throws IOException {
		long fence = order.path("fence").asLong();
		if (fence < this.highestFence) {
			return problem(409, "fencing number " + fence + " is older than " + this.highestFence);
		}
		this.highestFence = fence;
		return Reply.json(200, MAPPER.createObjectNode().put("fence", fence));
	}

	private Reply control(Request request) throws IOException {
		if (request.method().equals("POST")) {
			JsonNode json = request.json();
			if (json.has("hanging")) {
				setHanging(json.path("hanging").asBoolean());
			}
			if (json.has("silentAfterEvents")) {
				setSilentAfterEvents(json.path("silentAfterEvents").asLong());
			}
		}
		ObjectNode json = MAPPER.createObjectNode();
		json.set("callsByProgram", MAPPER.valueToTree(this.callsByProgram));
		json.set("heldByProgram", MAPPER.valueToTree(heldByProgram()));
		json.set("leakedKeys", MAPPER.valueToTree(leakedKeys()));
		json.put("underWay", this.activeCalls.get());
		synchronized (this) {
			json.put("promptTokens", this.promptTokens);
			json.put("cachedTokens", this.cachedTokens);
		}
		return Reply.json(200, json);
	}

	// ---- Generation

	private synchronized Prompt prompt(String program, JsonNode messages) {
		List<String> prefixDigests = new ArrayList<>();
		List<Integer> tokens = new ArrayList<>();
		String digest = "";
		int total = 0;
		for (JsonNode message : messages) {
			digest = sha256(digest + message);
			prefixDigests.add(digest);
			int n = (message.path("content").asText().length() / CHARS_PER_TOKEN) + 1;
			tokens.add(n);
			total += n;
		}
		long cached = this.cache.lookUpAndCache(program, prefixDigests, tokens);
		this.promptTokens += total;
		this.cachedTokens += cached;
		publishCacheEvent(program, digest);
		return new Prompt(total, cached);
	}

	// Publishes a cache event. Every seventh event is dropped to simulate loss.
	private void publishCacheEvent(String program, String digest) {
		this.eventNumber++;
		if (this.eventNumber % 7 != 0) {
			this.cacheEvents.add(MAPPER.createObjectNode()
				.put("number", this.eventNumber)
				.put("program", program)
				.put("digest", digest));
		}
	}

	private void generate(String id, EngineStream stream, JsonNode body, Prompt prompt) {
		this.activeCalls.incrementAndGet();
		try {
			sleepNanos((prompt.tokens() - prompt.cached()) * this.timing.prefillNanosPerToken());
			String echoText = echoText(body);
			int maxTokens = body.path("max_tokens").asInt(Integer.MAX_VALUE);
			int tokens = Math.min(maxTokens, body.path("x_tokens").asInt(DEFAULT_TOKENS));
			for (int i = 0; (i < tokens) && !stream.isCancelled(); i++) {
				sleepNanos(this.timing.tokenNanos() + (this.activeCalls.get() * this.timing.tokenNanosPerCall()));
				stream.add(chunk(id, body, (i == 0) ? echoText : " t" + i, null));
			}
			stream.add(chunk(id, body, null, "stop"));
			ObjectNode usage = chunk(id, body, null, null);
			usage.putArray("choices");
			usage.putObject("usage")
				.put("prompt_tokens", prompt.tokens())
				.put("completion_tokens", tokens)
				.put("total_tokens", prompt.tokens() + tokens)
				.putObject("prompt_tokens_details")
				.put("cached_tokens", prompt.cached());
			stream.add(usage);
			stream.complete();
		}
		catch (InterruptedException ex) {
			stream.cancel();
		}
		finally {
			this.activeCalls.decrementAndGet();
		}
		scheduleExpiry(id);
	}

	private void scheduleExpiry(String id) {
		this.expiryScheduler.schedule(() -> this.streams.remove(id), STREAM_RETENTION_SECONDS, TimeUnit.SECONDS);
	}

	private static String echoText(JsonNode body) {
		JsonNode messages = body.path("messages");
		String last = messages.path(messages.size() - 1).path("content").asText();
		return "echo:" + last.substring(Math.max(0, last.length() - ECHO_CHARS));
	}

	private static ObjectNode chunk(String id, JsonNode body, String content, String finishReason) {
		ObjectNode event = MAPPER.createObjectNode();
		event.put("id", "chatcmpl-" + id);
		event.put("object", "chat.completion.chunk");
		event.put("created", System.currentTimeMillis() / 1000);
		event.put("model", body.path("model").asText());
		ObjectNode choice = event.putArray("choices").addObject();
		choice.put("index", 0);
		ObjectNode delta = choice.putObject("delta");
		if (content != null) {
			delta.put("content", content);
		}
		choice.put("finish_reason", finishReason);
		return event;
	}

	private void writeEvents(EngineStream stream, int offset, boolean usage, long silentAfter, OutputStream out)
			throws IOException {
		try {
			int index = offset;
			for (ObjectNode e = stream.await(index); e != null; e = stream.await(index)) {
				if ((silentAfter >= 0) && (index >= silentAfter)) {
					sleep(TimeUnit.MINUTES.toMillis(1));
				}
				index++;
				if (usage || !e.has("usage")) {
					out.write(("data: " + e + "\n\n").getBytes(StandardCharsets.UTF_8));
					out.flush();
				}
			}
			if (!stream.isCancelled()) {
				out.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
			}
		}
		catch (InterruptedException ex) {
			throw new IOException("engine is shutting down", ex);
		}
	}

	private Reply completion(String id, EngineStream stream, JsonNode body) throws IOException {
		StringBuilder content = new StringBuilder();
		JsonNode usage = null;
		try {
			int index = 0;
			for (ObjectNode e = stream.await(index); e != null; e = stream.await(index)) {
				content.append(e.path("choices").path(0).path("delta").path("content").asText(""));
				usage = e.has("usage") ? e.get("usage") : usage;
				index++;
			}
		}
		catch (InterruptedException ex) {
			throw new IOException("engine is shutting down", ex);
		}
		ObjectNode answer = MAPPER.createObjectNode();
		answer.put("id", "chatcmpl-" + id);
		answer.put("object", "chat.completion");
		answer.put("created", System.currentTimeMillis() / 1000);
		answer.put("model", body.path("model").asText());
		ObjectNode choice = answer.putArray("choices").addObject();
		choice.put("index", 0);
		choice.putObject("message").put("role", "assistant").put("content", content.toString());
		choice.put("finish_reason", "stop");
		answer.set("usage", usage);
		return Reply.json(200, answer);
	}

	// ---- Helpers

	private long consumeSilentAfterEvents() {
		long events = this.silentAfterEvents;
		this.silentAfterEvents = -1;
		return events;
	}

	private synchronized void recordLeakedKeys(Request request) {
		request.headers().forEach((name, value) -> {
			if (value.contains("mr_")) {
				this.leakedKeys.add(name);
			}
		});
	}

	private static void sleepNanos(long nanos) throws InterruptedException {
		if (nanos > 0) {
			TimeUnit.NANOSECONDS.sleep(nanos);
		}
	}

	private static void sleep(long millis) throws IOException {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IOException("engine is shutting down", ex);
		}
	}

	private static String sha256(String text) {
		try {
			return HexFormat.of()
				.formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

	private static Reply problem(int status, String message) throws IOException {
		return Reply.json(status, MAPPER.createObjectNode().put("error", message));
	}

	/**
	 * The simulated processing times.
	 *
	 * @param prefillNanosPerToken the time per uncached prompt token
	 * @param tokenNanos the base time per generated token
	 * @param tokenNanosPerCall the additional time per generated token for each active
	 * call
	 */
	public record Timing(long prefillNanosPerToken, long tokenNanos, long tokenNanosPerCall) {

		/** Short processing times for tests. */
		public static final Timing FAST = new Timing(1_000, 300_000, 10_000);

	}

	/**
	 * The token counts of a prompt.
	 *
	 * @param tokens the total number of tokens
	 * @param cached the number of tokens found in the cache
	 */
	private record Prompt(int tokens, long cached) {
	}

}
