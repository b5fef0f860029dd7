package org.mangorack.bench.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.Counter;

import org.mangorack.bench.FreePorts;
import org.mangorack.bench.standin.FleetStoreStandIn;
import org.mangorack.http.HttpAddress;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.keeper.GroupDocument;
import org.mangorack.keeper.KeeperNode;
import org.mangorack.keeper.KeeperSettings;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.StoredObject;
import org.mangorack.relay.ConfigurationHolder;
import org.mangorack.relay.EntryNode;
import org.mangorack.relay.EntrySettings;
import org.mangorack.wire.ConfigurationWatch;
import org.mangorack.wire.PlatformRetirements;
import org.mangorack.wire.PlatformStore;
import org.mangorack.wire.WireProtocol;

/**
 * A store, keepers and entries that run in this process and use the wire names of the
 * users' platform.
 */
final class TestFleetNodes implements AutoCloseable {

	static final String HOST = "check.example";

	static final String KEY = "key-a";

	static final String OTHER_KEY = "key-b";

	/**
	 * Time within which an entry must apply a configuration.
	 */
	static final Duration CONFIGURATION_APPLY = Duration.ofSeconds(2);

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Duration WATCH_WAIT = Duration.ofMillis(300);

	private static final int READ_TIMEOUT_MS = 20_000;

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);

	// Outgoing connections use 127.0.0.1 as their local address, so none can occupy a
	// port
	// of these two hosts between its selection and the bind.
	private static final String ENTRY_HOST = "127.0.0.3";

	private static final String KEEPER_HOST = "127.0.0.2";

	private final FleetStoreStandIn store = new FleetStoreStandIn(0);

	private final List<KeeperNode> keepers = new ArrayList<>();

	private final List<HttpAddress> keeperAddresses = new ArrayList<>();

	private final Metrics metrics = new Metrics();

	private final Map<String, Metrics> metricsByInstance = new HashMap<>();

	private HttpAddress callers;

	private HttpAddress directory;

	private HttpAddress readiness;

	private final List<AutoCloseable> resources = new ArrayList<>();

	private EntryNode entry;

	private int entries;

	private Duration evacuationBound;

	TestFleetNodes() throws IOException {
		this.store.start();
	}

	// ---- Lifecycle

	/**
	 * Writes the configuration and starts keepers and an entry.
	 * @param folder receives the data of the keepers
	 * @param count the number of keepers
	 * @param tolerance how many disks may be lost
	 * @throws IOException if a port is taken
	 * @throws InterruptedException if the thread is interrupted
	 */
	void start(Path folder, int count, int tolerance) throws IOException, InterruptedException {
		startKeepers(folder, count, tolerance);
		startEntry(tolerance);
	}

	private void startKeepers(Path folder, int count, int tolerance) throws IOException, InterruptedException {
		configure(1, MAPPER.createObjectNode());
		for (int i = 0; i < count; i++) {
			startKeeper("keeper-" + i, Files.createDirectories(folder.resolve("k" + i)), tolerance, true);
		}
	}

	/**
	 * Starts one keeper behind a proxy and an entry with one upstream, and waits until
	 * they serve.
	 * @param folder receives the data of the keeper
	 * @param upstream the upstream, which gets the id u-1
	 * @param proxy the proxy, which is started for the keeper
	 * @throws Exception if the nodes cannot be started
	 */
	void startServing(Path folder, ScriptedUpstream upstream, KeeperReplyProxy proxy) throws Exception {
		startKeepers(folder, 1, 0);
		HttpAddress proxied = proxy.start(this.keeperAddresses.get(0));
		PlatformStore client = newStore();
		Optional<StoredObject> group = client.get(ObjectKind.KEEPER_GROUP, GroupDocument.NAME);
		while (group.isEmpty()) {
			TimeUnit.MILLISECONDS.sleep(50);
			group = client.get(ObjectKind.KEEPER_GROUP, GroupDocument.NAME);
		}
		ObjectNode view = group.get().spec().deepCopy();
		((ObjectNode) view.path("members").path(0)).put("host", proxied.host()).put("port", proxied.port());
		this.store.put(ObjectKind.KEEPER_GROUP.plural(), GroupDocument.NAME, view);
		// The seeds are the keepers themselves, which would lead around the proxy.
		this.keeperAddresses.clear();
		startEntry(0);
		addUpstream("u-1", upstream);
		awaitServing();
	}

	/**
	 * Starts one keeper and an entry with one upstream, and waits until they serve.
	 * @param folder receives the data of the keeper
	 * @param upstream the upstream, which gets the id u-1
	 * @throws IOException if a port is taken
	 * @throws InterruptedException if the thread is interrupted
	 */
	void startServing(Path folder, ScriptedUpstream upstream) throws IOException, InterruptedException {
		start(folder, 1, 0);
		addUpstream("u-1", upstream);
		awaitServing();
	}

	/**
	 * Starts another entry, which receives all further calls. Its seeds are the keepers.
	 * @param tolerance how many disks may be lost
	 * @throws IOException if a port is taken
	 */
	void startEntry(int tolerance) throws IOException {
		createEntry(tolerance, Duration.ofSeconds(8));
		this.entry.start();
	}

	/**
	 * Creates another entry, which is not started and receives all further calls.
	 * @param tolerance how many disks may be lost
	 * @param grace the grace period of its planned stops
	 * @throws IOException if there is no free port
	 */
	void createEntry(int tolerance, Duration grace) throws IOException {
		this.callers = freeAddress(ENTRY_HOST);
		this.directory = freeAddress(ENTRY_HOST);
		this.readiness = freeAddress(ENTRY_HOST);
		String name = "entry-" + ++this.entries;
		this.entry = new EntryNode(
				new EntrySettings(name, "dc", this.callers, this.readiness, this.directory, null, storeAddress(),
						this.keeperAddresses, tolerance, Duration.ofSeconds(4), CONFIGURATION_APPLY, grace,
						EntrySettings.DEFAULT_PROMPT_REUSE_MIN_TOKEN_BYTES, this.evacuationBound, 1, 0, false),
				newStore(), new WireProtocol(), newMetrics(name));
		this.resources.add(this.entry);
	}

	void startKeeper(String name, Path folder, int tolerance, boolean first) throws IOException, InterruptedException {
		HttpAddress address = freeAddress(KEEPER_HOST);
		this.keeperAddresses.add(address);
		startKeeper(name, address, folder, tolerance, first);
	}

	/**
	 * Restarts a stopped keeper with its disk and address.
	 * @param index the index of the keeper, in the order of the first starts
	 * @param folder the folder of its data
	 * @param tolerance how many disks may be lost
	 * @throws IOException if the port is taken
	 * @throws InterruptedException if the thread is interrupted
	 */
	void restartKeeper(int index, Path folder, int tolerance) throws IOException, InterruptedException {
		startKeeper("keeper-" + index, this.keeperAddresses.get(index), folder, tolerance, false);
	}

	private void startKeeper(String name, HttpAddress address, Path folder, int tolerance, boolean first)
			throws IOException, InterruptedException {
		PlatformStore client = newStore();
		ConfigurationWatch watch = new ConfigurationWatch(client,
				new ConfigurationHolder(new WireProtocol(), MonotonicClock.SYSTEM, newMetrics(name)),
				MonotonicClock.SYSTEM);
		KindCache retirements = new KindCache(client, ObjectKind.RETIREMENT, MonotonicClock.SYSTEM, () -> {
		});
		KeeperNode keeper = new KeeperNode(
				new KeeperSettings(name, "dc", address, null, storeAddress(), folder, tolerance, first,
						this.evacuationBound),
				client, watch, new PlatformRetirements(client, retirements), this.metrics);
		this.resources.addAll(List.of(watch, retirements, keeper));
		keeper.start();
		watch.start();
		retirements.start();
		this.keepers.add(keeper);
	}

	/**
	 * Makes keepers that are started from now on watch evacuations.
	 * @param bound the time within which an evacuation must take effect
	 */
	void setEvacuationBound(Duration bound) {
		this.evacuationBound = bound;
	}

	void stopKeepers() {
		this.keepers.forEach(KeeperNode::stop);
		this.keepers.clear();
	}

	// Closes every resource, as one that kept running would connect to the next fleet
	// that
	// reuses its port.
	@Override
	public void close() throws IOException {
		try {
			for (AutoCloseable resource : this.resources) {
				resource.close();
			}
		}
		catch (Exception ex) {
			throw new IOException("failed to close a resource of the fleet", ex);
		}
		this.store.close();
	}

	// ---- Accessors

	FleetStoreStandIn store() {
		return this.store;
	}

	List<KeeperNode> keepers() {
		return this.keepers;
	}

	EntryNode entry() {
		return this.entry;
	}

	HttpAddress keeperAddress(int index) {
		return this.keeperAddresses.get(index);
	}

	HttpAddress callers() {
		return this.callers;
	}

	HttpAddress directory() {
		return this.directory;
	}

	HttpAddress readiness() {
		return this.readiness;
	}

	/**
	 * Returns how many configuration documents each instance received from others,
	 * whether applied or not.
	 * @return the counts, by instance
	 */
	Map<String, Double> documentsReceived() {
		Map<String, Double> received = new TreeMap<>();
		this.metricsByInstance.forEach((instance, own) -> received.put(instance,
				own.registry()
					.find("mangorack.configuration.received")
					.counters()
					.stream()
					.mapToDouble(Counter::count)
					.sum()));
		return received;
	}

	/**
	 * Returns what the newest entry holds for its calls.
	 * @return the value of its metric, in bytes
	 */
	double heldBytes() {
		return newMetrics("entry-" + this.entries).registry().get("mangorack.held.bytes").gauge().value();
	}

	private Metrics newMetrics(String instance) {
		return this.metricsByInstance.computeIfAbsent(instance, (i) -> new Metrics());
	}

	PlatformStore newStore() {
		return new PlatformStore(storeAddress(), new PooledHttpClient(Duration.ofSeconds(1)), (kind) -> WATCH_WAIT,
				MonotonicClock.SYSTEM, this.metrics);
	}

	private HttpAddress storeAddress() {
		return HttpAddress.parse(this.store.address());
	}

	// ---- Configuration

	/**
	 * Writes a configuration with five routes and two workspaces.
	 * @param version the version
	 * @param changes fields that replace those of the default configuration
	 * @throws IOException if the document cannot be read
	 */
	void configure(long version, ObjectNode changes) throws IOException {
		ObjectNode document = defaultConfiguration();
		document.put("version", version);
		document.setAll(changes);
		this.store.put("config", "main", document);
	}

	/**
	 * Writes the default configuration with another time-out of all routes.
	 * @param version the version
	 * @param timeout the time-out
	 * @throws IOException if the document cannot be read
	 */
	void configureTimeout(long version, Duration timeout) throws IOException {
		ObjectNode document = defaultConfiguration();
		document.put("version", version);
		document.get("routes").forEach((route) -> ((ObjectNode) route).put("timeout_ms", timeout.toMillis()));
		this.store.put("config", "main", document);
	}

	private static ObjectNode defaultConfiguration() throws IOException {
		return (ObjectNode) MAPPER.readTree("""
				{"routes":[
				{"name":"turns","host":"check.example","path_prefix":"/turns/","kind":"streaming","timeout_ms":4000,
				"service":"pool","max_attempts":2,"retains_context":true,"retention_s":60,"sticky_sessions":true},
				{"name":"dialog","host":"check.example","path_prefix":"/dialog/","kind":"streaming","timeout_ms":4000,
				"service":"pool","max_attempts":3,"retains_context":false,"retention_s":60,"resumable":true},
				{"name":"read","host":"check.example","path_prefix":"/read/","kind":"safe","timeout_ms":4000,
				"service":"pool","max_attempts":2},
				{"name":"write","host":"check.example","path_prefix":"/write/","kind":"unsafe","timeout_ms":4000,
				"service":"pool","max_attempts":2},
				{"name":"open","host":"check.example","path_prefix":"/open/","kind":"safe","timeout_ms":4000,
				"service":"pool","public":true}],
				"services":[{"name":"pool","connection_limit":100,"engine":{"tokens_per_event":10}}],
				"limits":{"max_header_bytes":4096,"max_body_bytes":10000,"header_timeout_ms":600,
				"idle_timeout_ms":3000},
				"tenants":[{"name":"a","api_keys":["key-a"]},{"name":"b","api_keys":["key-b"]}]}""");
	}

	void addUpstream(String id, ScriptedUpstream upstream) {
		addUpstream(id, upstream, 1);
	}

	/**
	 * Registers an upstream as ready.
	 * @param id its id
	 * @param upstream the upstream
	 * @param born the time of its start; a later time marks a restart
	 */
	void addUpstream(String id, ScriptedUpstream upstream, long born) {
		ObjectNode registration = MAPPER.createObjectNode();
		registration.put("service", "pool").put("address", upstream.address()).put("zone", "dc").put("version", "1");
		registration.put("slots", 8).put("state", "ready").put("cold_remaining_ms", 0).put("seq", 1);
		registration.put("born", born);
		this.store.put("servers", id, registration);
	}

	static ObjectNode object(String json) throws IOException {
		return (ObjectNode) MAPPER.readTree(json);
	}

	// ---- Calls

	/**
	 * Sends bytes on a new connection and reads the response.
	 * @param request the bytes
	 * @return all bytes until the entry closes the connection or the response is complete
	 * @throws IOException if the connection fails
	 */
	String exchange(String request) throws IOException {
		return exchange(this.callers, request);
	}

	/**
	 * Sends bytes to an entry on a new connection and reads the response.
	 * @param entryCallers the address for callers of the entry
	 * @param request the bytes
	 * @return all bytes until the entry closes the connection or the response is complete
	 * @throws IOException if the connection fails
	 */
	static String exchange(HttpAddress entryCallers, String request) throws IOException {
		try (Socket socket = connect(entryCallers)) {
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return readResponse(socket);
		}
	}

	Socket connect() throws IOException {
		return connect(this.callers);
	}

	private static Socket connect(HttpAddress entryCallers) throws IOException {
		Socket socket = new Socket(entryCallers.host(), entryCallers.port());
		socket.setSoTimeout(READ_TIMEOUT_MS);
		return socket;
	}

	/**
	 * Creates a request.
	 * @param method the method
	 * @param path the path
	 * @param id the id of the request
	 * @param headers additional header lines, each with its line terminator
	 * @param body the body
	 * @return the text of the request
	 */
	static String request(String method, String path, String id, String headers, String body) {
		return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id
				+ "\r\nTime-Remaining: 4000\r\nAuthorization: Token " + KEY + "\r\n" + headers + "Content-Length: "
				+ body.length() + "\r\n\r\n" + body;
	}

	static String readResponse(Socket socket) throws IOException {
		StringBuilder text = new StringBuilder();
		InputStream in = socket.getInputStream();
		try {
			for (int b = in.read(); b >= 0; b = in.read()) {
				text.append((char) b);
				if (isComplete(text)) {
					break;
				}
			}
		}
		catch (SocketTimeoutException ex) {
			text.append("(no end within ").append(READ_TIMEOUT_MS).append(" ms)");
		}
		catch (IOException ex) {
			text.append("(reset)");
		}
		return text.toString();
	}

	static boolean isComplete(CharSequence text) {
		String response = text.toString();
		int end = response.indexOf("\r\n\r\n");
		if (end < 0) {
			return false;
		}
		String head = response.substring(0, end).toLowerCase(Locale.ROOT);
		if (head.contains("transfer-encoding: chunked")) {
			return response.endsWith("\r\n0\r\n\r\n");
		}
		int mark = head.indexOf("content-length: ");
		if (mark < 0) {
			return false;
		}
		int length = Integer.parseInt(head.substring(mark + 16).split("\r\n")[0].strip());
		return response.length() >= end + 4 + length;
	}

	/**
	 * Repeats a request until its response matches a condition.
	 * @param entryCallers the address for callers of the entry
	 * @param request the text of the request
	 * @param condition the condition that the response must match
	 * @throws IOException if the entry cannot be reached
	 * @throws InterruptedException if the thread is interrupted
	 */
	static void awaitResponse(HttpAddress entryCallers, String request, Predicate<String> condition)
			throws IOException, InterruptedException {
		long startedAt = System.nanoTime();
		String response = "";
		while (System.nanoTime() - startedAt < RESPONSE_TIMEOUT.toNanos()) {
			response = exchange(entryCallers, request);
			if (condition.test(response)) {
				return;
			}
			TimeUnit.MILLISECONDS.sleep(50);
		}
		throw new IllegalStateException(
				"no matching response within " + RESPONSE_TIMEOUT + "; last response: " + response);
	}

	/**
	 * Sends turns until one is served, which shows that the group of keepers is formed.
	 * @throws IOException if the entry cannot be reached
	 * @throws InterruptedException if the thread is interrupted
	 */
	void awaitServing() throws IOException, InterruptedException {
		long startedAt = System.nanoTime();
		String response = "";
		for (int i = 0; TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - startedAt) < 60; i++) {
			response = exchange(request("POST", "/turns/x", "warm-" + this.entries + "-" + i, "", "x"));
			if (response.startsWith("HTTP/1.1 200")) {
				return;
			}
			TimeUnit.MILLISECONDS.sleep(100);
		}
		throw new IllegalStateException("no turn was served within 60 s; last response: " + response);
	}

	private static HttpAddress freeAddress(String host) throws IOException {
		return new HttpAddress(host, FreePorts.next(host));
	}

}
