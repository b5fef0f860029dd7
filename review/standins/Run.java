import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A run of a small deployment: the platform's store, servers, and the roles of the deploy file as processes, each
 * machine on a loopback address of its own. Folders and processes are removed at the end, however it comes.
 */
final class Run {

	static final int HELD = 0;

	static final int BROKEN = 1;

	static final int NOT_RUN = 2;

	static final int TIMEOUT_MILLIS = 3000;

	private static final Pattern SECTION = Pattern.compile("\\{\\{#([a-z_.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL);

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)(\\|json)?\\}\\}");

	final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	final Store store = new Store();

	final Path root;

	final List<Node> nodes = new ArrayList<>();

	private final long startedAt = System.nanoTime();

	private final PrintWriter record;

	private final Path folder;

	private final String network;

	private final String prefix = Long.toHexString(System.nanoTime() & 0xffffff);

	private final AtomicInteger ids = new AtomicInteger();

	private final int storePort;

	/** What is configured for tenants' routes; a case may add to it before it calls configure. */
	final List<Object> routes = new ArrayList<>();

	final List<Object> services = new ArrayList<>();

	Run(Path root, Path caseFolder) throws IOException {
		this.root = root;
		this.record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
		this.folder = Files.createTempDirectory("review");
		Random random = new Random();
		this.network = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
		this.storePort = Http.serve(this.network + 1, 0, this.store).getLocalPort();
		Runtime.getRuntime().addShutdownHook(new Thread(this::end));
	}

	/** A case: returns HELD, BROKEN or NOT_RUN. */
	interface Case {

		int play(Run run) throws Exception;

	}

	static void main(String[] args, Case play) {
		int status = NOT_RUN;
		try {
			Run run = new Run(Path.of("").toAbsolutePath(), Path.of(args[0]).toAbsolutePath());
			run.record("run with" + (run.trouble ? "" : "out") + " the disruption");
			Http.thread(() -> {
				Thread.sleep(117_000);
				run.record("time is over");
				Runtime.getRuntime().halt(run.halted());
			});
			try {
				status = play.play(run);
			}
			catch (Exception ex) {
				run.record("could not run: " + ex);
			}
			run.record("exit " + status);
		}
		catch (IOException ex) {
			System.err.println("could not run: " + ex);
		}
		System.exit(status);
	}

	private int halted() {
		end();
		return NOT_RUN;
	}

	synchronized void record(String line) {
		String text = String.format("%8.3f %s", (System.nanoTime() - this.startedAt) / 1e9, line);
		this.record.println(text);
		System.out.println(text);
	}

	String host(int machine) {
		return this.network + machine;
	}

	String newId() {
		return this.prefix + String.format("%08x", this.ids.incrementAndGet());
	}

	static void sleep(long millis) throws InterruptedException {
		Thread.sleep(millis);
	}

	// ---- Configuration

	/** Routes of a small deployment: turns are kept for 60 s, as on our sites. */
	void configure() {
		this.services.add(Json.of("name", "engines", "connection_limit", 140L, "health_path", "/health", "engine",
				Json.of("tokens_per_event", 10L)));
		this.services.add(Json.of("name", "plain", "connection_limit", 100L, "health_path", "/health"));
		this.routes.add(Json.of("name", "turns", "host", "a.example", "path_prefix", "/turns/", "kind", "streaming",
				"timeout_ms", 3000L, "target_latency_ms", 250L, "target_gap_ms", 150L, "priority", 0L, "service", "engines",
				"max_attempts", 2L, "retains_context", true, "retention_s", 60L, "sticky_sessions", true));
		this.routes.add(Json.of("name", "safe", "host", "a.example", "path_prefix", "/safe/", "kind", "safe", "timeout_ms",
				1500L, "target_latency_ms", 250L, "priority", 2L, "service", "plain", "max_attempts", 2L));
		this.routes.add(Json.of("name", "unsafe", "host", "a.example", "path_prefix", "/unsafe/", "kind", "unsafe",
				"timeout_ms", 3000L, "target_latency_ms", 600L, "priority", 2L, "service", "plain", "max_attempts", 2L));
		this.store.put("config", "main",
				Json.of("version", 7L, "routes", this.routes, "services", this.services, "tenants",
						List.of(Json.of("name", "north", "api_keys", List.of("key-north"), "priority", 0L)), "limits",
						Json.of("max_header_bytes", 16384L, "max_body_bytes", 4194304L, "header_timeout_ms", 3000L,
								"idle_timeout_ms", 15000L)));
	}

	// ---- Machines

	/** A machine with one role. */
	final class Node {

		final String name;

		final String role;

		final String host;

		final int number;

		final Map<String, Integer> ports = new LinkedHashMap<>();

		Process process;

		boolean startedBefore;

		/** The largest size of a file of this process, in the shell's blocks; 0 for no limit of the run's own. */
		int fileBlocks;

		private Node(String role, int number, String host) throws IOException {
			this.role = role;
			this.number = number;
			this.name = role + "-" + number;
			this.host = host;
			List<ServerSocket> free = new ArrayList<>();
			for (String port : List.of("frontend_address", "ready", "control", "directory")) {
				free.add(new ServerSocket(0, 1, InetAddress.getByName(host)));
				this.ports.put(port, free.get(free.size() - 1).getLocalPort());
			}
			for (ServerSocket socket : free) {
				socket.close();
			}
		}

		Path data() {
			return Run.this.folder.resolve(this.name);
		}

		void start() throws IOException {
			Files.createDirectories(data());
			Path settings = Run.this.folder.resolve(this.name + ".json");
			Files.writeString(settings, fill());
			String deploy = Files.readString(Run.this.root.resolve("deploy/system.toml"));
			String section = deploy.substring(deploy.indexOf("[roles." + this.role + "]"));
			Matcher run = Pattern.compile("run = \"(.*)\"").matcher(section);
			run.find();
			List<String> words = new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
			words.replaceAll((w) -> w.equals("/etc/mangorack/node.json") ? settings.toString() : w);
			if (this.fileBlocks > 0) {
				words.addAll(0, List.of("sh", "-c", "ulimit -S -f " + this.fileBlocks + " && exec \"$@\"", "sh"));
			}
			File log = Run.this.folder.resolve(this.name + ".log").toFile();
			this.process = new ProcessBuilder(words).directory(Run.this.root.toFile())
				.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
				.start();
			this.startedBefore = true;
			record("start " + this.name);
		}

		private String fill() throws IOException {
			Map<String, Object> values = new LinkedHashMap<>();
			this.ports.forEach((k, v) -> values.put("listen_addresses." + k, this.host + ":" + v));
			values.put("node_name", this.name);
			values.put("zone", "z" + (char) ('a' + (this.number % 4)));
			values.put("ip_address", this.host);
			values.put("platform.address", Run.this.network + 1 + ":" + Run.this.storePort);
			values.put("seed_nodes",
					Run.this.nodes.stream().filter((n) -> n.role.equals("keeper")).limit(3).map((n) -> (Object) n.address("control"))
						.toList());
			values.put("fault_tolerance.machines", 1L);
			values.put("bounds.revocation_ms", 5000L);
			values.put("bounds.configuration_apply_ms", 2000L);
			values.put("bounds.grace_s", 8L);
			values.put("data_directory", data().toString());
			values.put("first_start", !this.startedBefore);
			String template = Files.readString(Run.this.root.resolve("deploy/" + this.role + ".json"));
			String present = SECTION.matcher(template)
				.replaceAll((s) -> values.containsKey(s.group(1)) ? Matcher.quoteReplacement(s.group(2)) : "");
			Matcher matcher = PLACEHOLDER.matcher(present);
			return matcher.replaceAll((m) -> {
				Object value = values.get(m.group(1));
				return Matcher.quoteReplacement((m.group(2) != null) ? Json.write(value) : String.valueOf(value));
			});
		}

		String address(String port) {
			return this.host + ":" + this.ports.get(port);
		}

		/** Ends the process as a crash does; its disk stays. */
		void kill() throws InterruptedException {
			this.process.destroyForcibly();
			this.process.waitFor(5, TimeUnit.SECONDS);
			record("kill " + this.name);
		}

		/** Empties the disk of a machine whose process has ended. */
		void wipe() throws IOException {
			delete(data());
			record("disk of " + this.name + " is lost");
		}

		void signal(String signal) throws IOException, InterruptedException {
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
			record("signal " + signal + " to " + this.name);
		}

		String diskId() throws IOException {
			return Files.readString(data().resolve("disk-id"), StandardCharsets.UTF_8).strip();
		}

		boolean isReady() {
			Http.Message answer = Http.call(this.host, this.ports.get("ready"), "GET", "/readiness",
					Map.of("Host", this.host), new byte[0], 1000);
			return (answer != null) && (answer.status() == 200);
		}

		String log() throws IOException {
			return Files.readString(Run.this.folder.resolve(this.name + ".log"));
		}

	}

	Node node(String role, int number) throws IOException {
		Node node = new Node(role, number, host((role.equals("keeper") ? 10 : 50) + number));
		this.nodes.add(node);
		return node;
	}

	/** Starts keepers and entries and waits until the group is formed and the entries are ready. */
	void startAll(int keepers, int entries) throws Exception {
		for (int i = 1; i <= keepers; i++) {
			node("keeper", i);
		}
		for (int i = 1; i <= entries; i++) {
			node("entry", i);
		}
		for (Node node : this.nodes) {
			node.start();
		}
		long until = System.nanoTime() + 30_000_000_000L;
		while (System.nanoTime() < until) {
			boolean formed = group() != null;
			if (formed && this.nodes.stream().filter((n) -> n.role.equals("entry")).allMatch(Node::isReady)) {
				sleep(1500);
				record("ready, group " + Json.write(group()));
				return;
			}
			sleep(200);
		}
		throw new IOException("the deployment was not ready in time");
	}

	Map<String, Object> group() {
		Map<String, Object> object = this.store.get("keepergroups", "main");
		return (object != null) ? Json.map(object.get("specification")) : null;
	}

	List<Node> keepers() {
		return this.nodes.stream().filter((n) -> n.role.equals("keeper")).toList();
	}

	Node entry(int number) {
		return this.nodes.stream().filter((n) -> n.name.equals("entry-" + number)).findFirst().orElseThrow();
	}

	// ---- Clients

	/** What became of one attempt. */
	static final class Outcome {

		String id;

		int status;

		boolean whole;

		String detail;

		boolean missing() {
			return (this.status == 404) || (this.status == 410);
		}

		/** Whether the answer was a success with the server's signature and the whole body. */
		boolean served() {
			return this.whole && (this.status / 100 == 2);
		}

	}

	/** Sends a turn of a program, once, and records the answer. */
	Outcome turn(Node entry, String program, String previous, String input) {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Program", program);
		headers.put("Session", program);
		headers.put("Token-Budget", "100000");
		headers.put("Token-Counts", "100,50");
		headers.put("Program-Time-Remaining", "60000");
		if (previous != null) {
			headers.put("Previous-Turn", previous);
		}
		return send(entry, "POST", "/turns/4b", headers, input.getBytes(StandardCharsets.UTF_8));
	}

	/** A program whose first turn was answered whole. */
	record Begun(String program, String turn) {
	}

	/** Begins programs at all entries for some time and returns those whose first turn was answered whole. */
	List<Begun> beginPrograms(int most, long millis) throws InterruptedException {
		long until = System.nanoTime() + (millis * 1_000_000);
		List<Begun> begun = Collections.synchronizedList(new ArrayList<>());
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			int caller = i;
			callers.add(Http.thread(() -> {
				for (int at = caller; (at < most) && (System.nanoTime() < until); at += 3) {
					String program = newId();
					Outcome turn = turn(entry(1 + (at % 2)), program, null, "first input of " + program);
					if (turn.served()) {
						begun.add(new Begun(program, turn.id));
					}
				}
			}));
		}
		for (Thread caller : callers) {
			caller.join();
		}
		record(begun.size() + " programs begun");
		return List.copyOf(begun);
	}

	/** Continues each program twice from its first turn and returns how many turns were called missing. */
	int countMissing(List<Begun> begun) {
		int missing = 0;
		int served = 0;
		for (int i = 0; i < begun.size() * 2; i++) {
			Begun program = begun.get(i % begun.size());
			Outcome next = turn(entry(1 + (i % 2)), program.program(), program.turn(), "second input");
			missing += next.missing() ? 1 : 0;
			served += next.served() ? 1 : 0;
		}
		recordMissing(missing, served);
		return missing;
	}

	void recordMissing(int missing, int served) {
		record(missing + " times a turn answered whole less than retention_s ago was called missing, " + served
				+ " times it was continued");
	}

	Outcome send(Node entry, String method, String target, Map<String, String> more, byte[] body) {
		Outcome outcome = new Outcome();
		outcome.id = newId();
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Host", "a.example");
		headers.put("Request-Id", outcome.id);
		headers.put("Time-Remaining", Integer.toString(TIMEOUT_MILLIS));
		headers.put("Authorization", "Token key-north");
		headers.putAll(more);
		Http.Message answer = Http.call(entry.host, entry.ports.get("frontend_address"), method, target, headers, body,
				TIMEOUT_MILLIS + 500);
		boolean answered = (answer != null) && (answer.first != null);
		outcome.status = answered ? answer.status() : 0;
		outcome.whole = answered && answer.complete
				&& ((outcome.status / 100 != 2) || (answer.header("Response-Signature") != null));
		outcome.detail = answered ? answer.text().replace('\n', '|') : "no answer";
		record("client " + outcome.id + " " + method + " " + target + " program " + more.get("Program") + " previous "
				+ more.get("Previous-Turn") + " at " + entry.name + " -> " + outcome.status
				+ (outcome.whole ? "" : " not whole") + " "
				+ ((outcome.status == 200) ? (answer.body.length + " bytes") : outcome.detail));
		return outcome;
	}

	// ---- End

	private void end() {
		for (Node node : this.nodes) {
			if (node.process != null) {
				node.process.destroyForcibly();
			}
		}
		for (Node node : this.nodes) {
			try {
				if (node.process != null) {
					node.process.waitFor(2, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		try {
			if (System.getenv("KEEP") == null) {
				delete(this.folder);
			}
			else {
				record("logs kept in " + this.folder);
			}
		}
		catch (IOException ex) {
			// A temporary folder that cannot be removed is left to the system.
		}
		this.record.close();
	}

	private static void delete(Path path) throws IOException {
		if (!Files.exists(path)) {
			return;
		}
		try (Stream<Path> files = Files.walk(path)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

}
