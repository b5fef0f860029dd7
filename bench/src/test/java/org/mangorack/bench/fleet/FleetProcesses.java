package org.mangorack.bench.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.mangorack.bench.fleet.FaultyUpstream.Work;
import org.mangorack.bench.fleet.FleetProcess.Port;
import org.mangorack.bench.fleet.FleetProcess.Role;
import org.mangorack.bench.fleet.ScriptedUpstream.Received;
import org.mangorack.bench.fleet.UpstreamResponse.Framing;
import org.mangorack.bench.standin.FleetStoreStandIn;
import org.mangorack.keeper.GroupDocument;
import org.mangorack.platform.ObjectKind;

/**
 * Entries and keepers as processes, started by the command lines and with the templates
 * of the deploy file, each on a loopback address of its own. The store and the upstreams
 * run in this process.
 */
final class FleetProcesses implements AutoCloseable {

	/** For how long a disk that is back counts as lost, while it copies what it lacks. */
	static final Duration CATCH_UP = Duration.ofSeconds(6);

	/** After which time processes that are stopped are killed. */
	static final Duration GRACE = Duration.ofSeconds(8);

	/** For how long turns are retained. */
	static final Duration RETENTION = Duration.ofMinutes(10);

	private static final Duration START_TIMEOUT = Duration.ofSeconds(180);

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)(\\|json)?\\}\\}");

	// A part of a template that is rendered only if a value is present.
	private static final Pattern SECTION = Pattern.compile("\\{\\{#([a-z_.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}",
			Pattern.DOTALL);

	private static final Pattern COMMAND = Pattern.compile("run = \"(.*)\"");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int SEEDS = 3;

	private static final int DATA_CENTRES = 6;

	private static final int HOSTS_PER_NETWORK = 200;

	private static final int MAX_UPSTREAMS = 1000;

	private final Path root = FleetRunSettings.root();

	private final Path folder;

	private final FleetRunSettings settings;

	private final RequestLedger ledger;

	private final String network = "127." + ThreadLocalRandom.current().nextInt(20, 250) + ".";

	private final FleetStoreStandIn store = new FleetStoreStandIn(0);

	private final List<FleetProcess> processes = new CopyOnWriteArrayList<>();

	private final List<ScriptedUpstream> upstreams = new ArrayList<>();

	private final Thread killer = new Thread(this::destroyAll);

	private volatile boolean closed;

	private volatile boolean faulty = true;

	private int machines;

	private long version;

	FleetProcesses(FleetRunSettings settings, Path folder, RequestLedger ledger) {
		this.settings = settings;
		this.folder = folder;
		this.ledger = ledger;
	}

	// ---- Lifecycle

	/**
	 * Starts all processes and waits until the group is formed and the entries are ready.
	 * @throws Exception if that takes too long
	 */
	void start() throws Exception {
		Runtime.getRuntime().addShutdownHook(this.killer);
		this.store.start();
		configure();
		for (int i = 0; i < this.settings.upstreams(); i++) {
			addUpstream("engine-" + i, "engines", FleetProcesses::turn);
			addUpstream("service-" + i, "plain", FleetProcesses::call);
		}
		for (int i = 1; i <= this.settings.keepers(); i++) {
			add(Role.KEEPER, i);
		}
		for (int i = 1; i <= this.settings.entries(); i++) {
			add(Role.ENTRY, i);
		}
		for (FleetProcess process : this.processes) {
			process.start();
		}
		awaitReady();
	}

	private void awaitReady() throws InterruptedException {
		long startedAt = System.nanoTime();
		while (!isGroupWhole() || !entries().stream().allMatch(FleetProcesses::isReady)) {
			if (System.nanoTime() - startedAt > START_TIMEOUT.toNanos()) {
				throw new IllegalStateException("not ready within " + START_TIMEOUT + "; members " + members());
			}
			TimeUnit.MILLISECONDS.sleep(200);
		}
	}

	/**
	 * Adds a machine, which is not started yet.
	 * @param role its role
	 * @param number its number
	 * @return the machine
	 * @throws IOException if it finds no ports
	 */
	synchronized FleetProcess add(Role role, int number) throws IOException {
		String host = this.network + (1 + (this.machines / HOSTS_PER_NETWORK)) + "."
				+ (1 + (this.machines % HOSTS_PER_NETWORK));
		this.machines++;
		FleetProcess process = new FleetProcess(this, role, number, host);
		this.processes.add(process);
		return process;
	}

	@Override
	public void close() throws IOException {
		destroyAll();
		Runtime.getRuntime().removeShutdownHook(this.killer);
		for (ScriptedUpstream upstream : this.upstreams) {
			upstream.close();
		}
		this.store.close();
	}

	/**
	 * Tells whether the processes have been ended for good.
	 * @return {@code true} if they have
	 */
	boolean isClosed() {
		return this.closed;
	}

	private void destroyAll() {
		this.closed = true;
		this.processes.forEach(FleetProcess::destroy);
	}

	static boolean isReady(FleetProcess entry) {
		try {
			return TestFleetNodes
				.exchange(entry.address(Port.READINESS),
						"GET /readiness HTTP/1.1\r\nHost: " + TestFleetNodes.HOST + "\r\nContent-Length: 0\r\n\r\n")
				.startsWith("HTTP/1.1 200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	static void startDaemon(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
	}

	// ---- Processes

	Path root() {
		return this.root;
	}

	Path folder() {
		return this.folder;
	}

	FleetStoreStandIn store() {
		return this.store;
	}

	RequestLedger ledger() {
		return this.ledger;
	}

	List<FleetProcess> processes() {
		return this.processes;
	}

	List<FleetProcess> entries() {
		return FleetProcess.of(Role.ENTRY, this.processes);
	}

	List<FleetProcess> keepers() {
		return FleetProcess.of(Role.KEEPER, this.processes);
	}

	/**
	 * Returns the keepers whose disks are members of the group.
	 * @return the members
	 */
	List<FleetProcess> members() {
		Set<String> disks = new HashSet<>();
		group().path("members").forEach((m) -> disks.add(m.path("disk").asText()));
		List<FleetProcess> members = new ArrayList<>();
		for (FleetProcess keeper : keepers()) {
			keeper.ifDisk((disk) -> {
				if (disks.contains(disk)) {
					members.add(keeper);
				}
			});
		}
		return members;
	}

	/**
	 * Tells whether the group has as many members as it should, all with their disks, and
	 * none joins.
	 * @return {@code true} if the group is whole
	 */
	boolean isGroupWhole() {
		int expected = Math.min(this.settings.keepers(), (2 * this.settings.tolerance()) + 2);
		return (members().size() >= expected) && group().path("next").isEmpty();
	}

	private JsonNode group() {
		return this.store.specification(ObjectKind.KEEPER_GROUP.plural(), GroupDocument.NAME);
	}

	/**
	 * Returns the command line of a process.
	 * @param process the process
	 * @return the words
	 * @throws IOException if the deploy file cannot be read
	 */
	List<String> command(FleetProcess process) throws IOException {
		String deploy = Files.readString(this.root.resolve("deploy/system.toml"));
		Matcher run = COMMAND.matcher(deploy.substring(deploy.indexOf("[roles." + process.role().key() + "]")));
		if (!run.find()) {
			throw new IOException("the deploy file has no command of " + process.role());
		}
		List<String> words = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
		words.replaceAll((w) -> w.equals("/etc/mangorack/node.json") ? process.settings().toString() : w);
		return words;
	}

	/**
	 * Writes the settings of a process from the template of its role.
	 * @param process the process
	 * @throws IOException if they cannot be written
	 */
	void writeSettings(FleetProcess process) throws IOException {
		Map<String, Object> values = settingsOf(process);
		String template = Files.readString(this.root.resolve("deploy/" + process.role().key() + ".json"));
		StringBuilder text = new StringBuilder();
		String present = SECTION.matcher(template)
			.replaceAll((s) -> values.containsKey(s.group(1)) ? Matcher.quoteReplacement(s.group(2)) : "");
		Matcher matcher = PLACEHOLDER.matcher(present);
		while (matcher.find()) {
			Object value = values.get(matcher.group(1));
			String rendered = (matcher.group(2) != null) ? MAPPER.writeValueAsString(value) : String.valueOf(value);
			matcher.appendReplacement(text, Matcher.quoteReplacement(rendered));
		}
		Files.writeString(process.settings(), matcher.appendTail(text));
	}

	private Map<String, Object> settingsOf(FleetProcess process) {
		Map<String, Object> values = new HashMap<>();
		for (Port port : Port.values()) {
			values.put("listen_addresses." + port.key(), process.address(port).toString());
		}
		values.put("node_name", process.name());
		values.put("zone", "dc-" + (process.number() % DATA_CENTRES));
		values.put("ip_address", process.address(Port.CONTROL).host());
		values.put("platform.address", this.store.address());
		values.put("seed_nodes",
				keepers().stream().limit(SEEDS).map((k) -> k.address(Port.CONTROL).toString()).toList());
		values.put("fault_tolerance.machines", this.settings.tolerance());
		values.put("bounds.revocation_ms", 5000);
		values.put("bounds.configuration_apply_ms", 4000);
		values.put("bounds.grace_s", GRACE.toSeconds());
		values.put("data_directory", process.data().toString());
		values.put("first_start", !process.isStartedBefore());
		return values;
	}

	// ---- Configuration

	/**
	 * Writes the next version of the configuration, with a route that no other version
	 * has.
	 * @throws IOException if the document cannot be read
	 */
	synchronized void configure() throws IOException {
		this.version += 3;
		ObjectNode document = TestFleetNodes.object("""
				{"services":[
				{"name":"engines","connection_limit":590,"engine":{"tokens_per_event":10}},
				{"name":"plain","connection_limit":560}],
				"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
				"idle_timeout_ms":15000},
				"tenants":[{"name":"a","api_keys":["key-a"]},{"name":"b","api_keys":["key-b"]}],
				"routes":[
				{"name":"turns","host":"check.example","path_prefix":"/turns/","kind":"streaming","timeout_ms":3017,
				"target_latency_ms":251,"target_gap_ms":120,"service":"engines","max_attempts":2,
				"retains_context":true,"sticky_sessions":true},
				{"name":"safe","host":"check.example","path_prefix":"/safe/","kind":"safe","timeout_ms":1504,
				"target_latency_ms":251,"service":"plain","max_attempts":2},
				{"name":"unsafe","host":"check.example","path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":6007,
				"target_latency_ms":801,"service":"plain","max_attempts":2}]}""");
		ArrayNode routes = (ArrayNode) document.get("routes");
		((ObjectNode) routes.get(0)).put("retention_s", RETENTION.toSeconds());
		ObjectNode added = routes.get(1).deepCopy();
		routes.add(added.put("name", "safe-" + this.version).put("path_prefix", "/safe-" + this.version + "/"));
		document.put("version", this.version);
		this.store.put("config", "main", document);
	}

	private void addUpstream(String id, String pool, Function<Received, Work> work) throws IOException {
		ScriptedUpstream upstream = new ScriptedUpstream(new FaultyUpstream(this.ledger, work, this.settings,
				() -> this.faulty, this.settings.seed() * MAX_UPSTREAMS + this.upstreams.size()));
		this.upstreams.add(upstream);
		ObjectNode registration = MAPPER.createObjectNode();
		registration.put("service", pool).put("address", upstream.address());
		registration.put("zone", "dc-" + (this.upstreams.size() % DATA_CENTRES)).put("version", "1");
		registration.put("slots", 6).put("state", "ready").put("cold_remaining_ms", 0).put("seq", 1);
		registration.put("born", 1);
		this.store.put("servers", id, registration);
	}

	// ---- Upstreams

	/**
	 * Replaces the script of all upstreams.
	 * @param script the script
	 */
	void setScript(ScriptedUpstream.Script script) {
		this.upstreams.forEach((upstream) -> upstream.setScript(script));
	}

	/**
	 * Lets all upstreams respond without faults from now on.
	 */
	void endUpstreamFaults() {
		this.faulty = false;
	}

	private static Work turn(Received request) {
		String id = request.header("Request-Id");
		int events = 2 + Math.floorMod(id.hashCode(), 6);
		List<String> parts = new ArrayList<>();
		List<Integer> pauses = new ArrayList<>();
		for (int i = 1; i <= events; i++) {
			String event = id + " " + i + "/" + events + " " + RequestLedger.digest(request.body());
			parts.add("id: " + i + "\ndata: " + event + "\n\n");
			pauses.add(Math.floorMod(id.hashCode() * 31 + i, 100));
		}
		return new Work(Framing.CHUNKED, parts, 0, pauses);
	}

	private static Work call(Received request) {
		String id = request.header("Request-Id");
		String body = id + " 1/1 " + RequestLedger.digest(request.start().split(" ")[0] + request.body());
		return new Work(Framing.LENGTH, List.of(body), 20 + Math.floorMod(id.hashCode(), 180), List.of());
	}

}
