import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangorack.bench.standin.FleetStoreStandIn;

/**
 * A small deployment on loopback addresses: keepers and entries as separate processes,
 * started with the commands of the deploy file, the project's own stand-in of the store,
 * and small stand-ins of servers and clients.
 */
final class Rig implements Closeable {

	static final ObjectMapper JSON = new ObjectMapper();

	static final String HOST = "check.example";

	static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

	private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([a-z_.]+)(\\|json)?\\}\\}");

	final Path folder;

	final FleetStoreStandIn store = new FleetStoreStandIn(0);

	final List<Node> nodes = new ArrayList<>();

	private final PrintWriter record;

	private final long startedAt = System.nanoTime();

	private final List<Server> servers = new ArrayList<>();

	/** How many disks may be lost at once. */
	int tolerance = 1;

	/** The address of the store in the settings, if it is not the store itself. */
	String storeAddress;

	Rig(Path recordFile) throws IOException {
		this.folder = Files.createTempDirectory("review-3-");
		this.record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
		this.store.start();
		this.storeAddress = this.store.address();
		Runtime.getRuntime().addShutdownHook(new Thread(this::destroyAll));
	}

	// ---- Record

	/** Writes a line with the time since the start. */
	synchronized void note(String format, Object... args) {
		String line = String.format(Locale.ROOT, "%8.3f  %s", (System.nanoTime() - this.startedAt) / 1e9,
				escaped(String.format(Locale.ROOT, format, args)));
		this.record.println(line);
		System.out.println(line);
	}

	// Shows each byte beyond ASCII as a backslash, x and its two digits.
	private static String escaped(String text) {
		StringBuilder escaped = new StringBuilder();
		text.chars().forEach((c) -> escaped.append((c < 0x7f) ? Character.toString(c) : String.format("\\x%02X", c)));
		return escaped.toString();
	}

	// ---- Processes

	Node keeper(int number) throws IOException {
		return add("keeper", number, "keepers-" + number);
	}

	Node entry(int number) throws IOException {
		return add("entry", number, "entry-" + number);
	}

	private Node add(String role, int number, String name) throws IOException {
		Node node = new Node(role, number, name);
		this.nodes.add(node);
		return node;
	}

	List<Node> keepers() {
		return this.nodes.stream().filter((n) -> n.role.equals("keeper")).toList();
	}

	List<Node> entries() {
		return this.nodes.stream().filter((n) -> n.role.equals("entry")).toList();
	}

	/** Waits until the group has a number of members and all entries are ready. */
	boolean awaitReady(int members, int seconds) throws InterruptedException {
		long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (System.nanoTime() < until) {
			JsonNode group = group();
			boolean whole = (group.path("members").size() >= members) && group.path("next").isEmpty();
			if (whole && entries().stream().allMatch(Node::isReady)) {
				note("ready: epoch %s, %d members", group.path("epoch"), group.path("members").size());
				return true;
			}
			TimeUnit.MILLISECONDS.sleep(100);
		}
		return false;
	}

	JsonNode group() {
		for (String kind : List.of("keeper-groups", "keepergroups", "groups")) {
			JsonNode found = this.store.specification(kind, "main");
			if (!found.isMissingNode()) {
				return found;
			}
		}
		return this.store.specification(org.mangorack.platform.ObjectKind.KEEPER_GROUP.plural(), "main");
	}

	private void destroyAll() {
		this.nodes.forEach(Node::kill);
	}

	@Override
	public void close() throws IOException {
		destroyAll();
		for (Server server : this.servers) {
			server.close();
		}
		this.store.close();
		this.record.close();
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((f) -> f.toFile().delete());
		}
	}

	static int freePort() throws IOException {
		for (int i = 0; i < 100; i++) {
			int port = ThreadLocalRandom.current().nextInt(20000, 32000);
			try (ServerSocket probe = new ServerSocket()) {
				probe.bind(new InetSocketAddress(LOOPBACK, port));
				return port;
			}
			catch (IOException ex) {
				// Taken.
			}
		}
		throw new IOException("no free port");
	}

	/** A process of the project. */
	final class Node {

		final String role;

		final int number;

		final String name;

		final int callers = freePort();

		final int ready = freePort();

		final int directory = freePort();

		final int control = freePort();

		final int metrics = freePort();

		final Path data;

		/** Replaces the addresses of the keepers that this process is told, if set. */
		List<String> seeds;

		private final Path settings;

		private final Path log;

		private boolean startedBefore;

		private Process process;

		private Node(String role, int number, String name) throws IOException {
			this.role = role;
			this.number = number;
			this.name = name;
			this.data = Files.createDirectories(Rig.this.folder.resolve(name + "-data"));
			this.settings = Rig.this.folder.resolve(name + ".json");
			this.log = Rig.this.folder.resolve(name + ".out");
		}

		String address() {
			return "127.0.0.1:" + this.callers;
		}

		/** Starts on a machine that was added to the running system. */
		void startAsNew() throws IOException {
			this.startedBefore = true;
			start();
		}

		/** Starts again on the same machine with an empty disk. */
		void startWithoutDisk() throws IOException {
			try (Stream<Path> files = Files.walk(this.data)) {
				files.sorted(Comparator.reverseOrder()).filter((f) -> !f.equals(this.data)).forEach((f) -> f.toFile().delete());
			}
			start();
		}

		void start() throws IOException {
			String deploy = Files.readString(Path.of("deploy/system.toml"));
			Matcher run = Pattern.compile("run = \"(.*)\"").matcher(deploy.substring(deploy.indexOf("[roles." + this.role + "]")));
			if (!run.find()) {
				throw new IOException("no command of " + this.role);
			}
			Map<String, Object> values = new HashMap<>();
			values.put("node_name", this.name);
			values.put("zone", "zone-" + (char) ('a' + (this.number % 4)));
			values.put("listen_addresses.frontend_address", address());
			values.put("listen_addresses.ready", "127.0.0.1:" + this.ready);
			values.put("listen_addresses.directory", "127.0.0.1:" + this.directory);
			values.put("listen_addresses.control", "127.0.0.1:" + this.control);
			values.put("platform.address", Rig.this.storeAddress);
			values.put("seed_nodes", (this.seeds != null) ? this.seeds
					: keepers().stream().limit(3).map((k) -> "127.0.0.1:" + k.control).toList());
			values.put("fault_tolerance.machines", Rig.this.tolerance);
			values.put("bounds.revocation_ms", 5000);
			values.put("bounds.configuration_apply_ms", 2000);
			values.put("bounds.grace_s", 8);
			values.put("data_directory", this.data.toString());
			values.put("first_start", !this.startedBefore);
			String template = Files.readString(Path.of("deploy/" + this.role + ".json"));
			template = template.replace("{{ip_address}}:9102", "127.0.0.1:" + this.metrics);
			StringBuilder text = new StringBuilder();
			Matcher matcher = PLACEHOLDER.matcher(template);
			while (matcher.find()) {
				Object value = values.get(matcher.group(1));
				matcher.appendReplacement(text, Matcher.quoteReplacement(
						(matcher.group(2) != null) ? JSON.writeValueAsString(value) : String.valueOf(value)));
			}
			Files.writeString(this.settings, matcher.appendTail(text));
			List<String> words = new ArrayList<>(List.of(run.group(1).split(" ")));
			words.replaceAll((w) -> w.equals("/etc/mangorack/node.json") ? this.settings.toString() : w);
			this.process = new ProcessBuilder(words).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()))
				.start();
			this.startedBefore = true;
		}

		long pid() {
			return this.process.pid();
		}

		boolean isAlive() {
			return (this.process != null) && this.process.isAlive();
		}

		void kill() {
			if (this.process != null) {
				this.process.destroyForcibly();
				try {
					this.process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}

		void terminate() {
			this.process.destroy();
		}

		void signal(String signal) throws IOException, InterruptedException {
			new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
		}

		boolean isReady() {
			try {
				return Answer.of(Rig.get("127.0.0.1:" + this.ready, "/readiness")).status == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

		List<String> log() throws IOException {
			return Files.exists(this.log) ? Files.readAllLines(this.log) : List.of();
		}

	}

	// ---- Configuration

	/** Writes a version of the configuration with the routes turns, safe and unsafe. */
	ObjectNode configuration(int version) throws IOException {
		return (ObjectNode) JSON.readTree("""
				{"version":%d,
				"routes":[
				{"name":"turns","host":"check.example","path_prefix":"/turns/","kind":"streaming","timeout_ms":3000,
				"target_latency_ms":250,"priority":0,"service":"engines","max_attempts":2,"retains_context":true,
				"retention_s":60.0,"public":false,"sticky_sessions":true,"resumable":false,"target_gap_ms":150},
				{"name":"safe","host":"check.example","path_prefix":"/safe/","kind":"safe","timeout_ms":1500,
				"target_latency_ms":250,"priority":2,"service":"plain","max_attempts":2,"public":false},
				{"name":"unsafe","host":"check.example","path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":6000,
				"target_latency_ms":800,"priority":2,"service":"plain","max_attempts":2,"public":false}],
				"services":[
				{"name":"engines","health_path":"/health","connection_limit":140,"protocol":"h1","tls":false,
				"engine":{"slots":8,"kv_cache_tokens":97418,"kv_token_bytes":18432,"tokens_per_event":10,
				"models":[{"name":"m"}]}},
				{"name":"plain","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false}],
				"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
				"idle_timeout_ms":15000},
				"tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1},
				{"name":"tenant-b","api_keys":["key-b"],"priority":1}]}""".formatted(version));
	}

	void configure(ObjectNode document) {
		this.store.put("config", "main", document);
	}

	void register(String id, String service, Server server, String state) {
		ObjectNode entry = JSON.createObjectNode();
		entry.put("service", service).put("address", server.address()).put("zone", "zone-a").put("version", "1");
		entry.put("slots", 8).put("state", state).put("cold_remaining_ms", 0).put("seq", 1).put("born", 1700000000000L);
		this.store.put("servers", id, entry);
	}

	// ---- Stand-ins of servers

	Server server(Handler handler) throws IOException {
		Server server = new Server(handler);
		this.servers.add(server);
		return server;
	}

	/** Answers one request on a connection. */
	interface Handler {

		/** Returns whether the connection is kept. */
		boolean handle(Request request, OutputStream out, Socket socket) throws IOException, InterruptedException;

	}

	/** A server that takes one request at a time on a connection. */
	static final class Server implements Closeable {

		private final ServerSocket socket;

		private final Handler handler;

		private Server(Handler handler) throws IOException {
			this.handler = handler;
			this.socket = new ServerSocket(0, 256, LOOPBACK);
			daemon(this::accept);
		}

		String address() {
			return "127.0.0.1:" + this.socket.getLocalPort();
		}

		private void accept() {
			while (!this.socket.isClosed()) {
				try {
					Socket connection = this.socket.accept();
					connection.setTcpNoDelay(true);
					daemon(() -> serve(connection));
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		private void serve(Socket connection) {
			try (connection) {
				InputStream in = connection.getInputStream();
				while (true) {
					Request request = Request.read(in);
					if ((request == null) || !this.handler.handle(request, connection.getOutputStream(), connection)) {
						return;
					}
				}
			}
			catch (IOException | InterruptedException ex) {
				// The peer left.
			}
		}

		@Override
		public void close() throws IOException {
			this.socket.close();
		}

	}

	static void daemon(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
	}

	// ---- HTTP

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

	static InputStream get(String address, String target) throws IOException {
		Socket socket = connect(address);
		socket.setSoTimeout(2000);
		socket.getOutputStream()
			.write(bytes("GET " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
		return socket.getInputStream();
	}

	static Socket connect(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		Socket socket = new Socket();
		socket.setTcpNoDelay(true);
		socket.connect(new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				1000);
		return socket;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int b = in.read(); b != '\n'; b = in.read()) {
			if (b < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("connection closed within a line");
			}
			if (b != '\r') {
				line.write(b);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	private static Map<String, String> headers(InputStream in) throws IOException {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		for (String line = line(in); !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon), line.substring(colon + 1).strip());
		}
		return headers;
	}

	private static byte[] body(InputStream in, Map<String, String> headers, boolean untilClose) throws IOException {
		if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("connection closed within a chunked body of " + all.size() + " bytes");
				}
				byte[] chunk = exactly(in, Integer.parseInt(size.split(";")[0].strip(), 16));
				all.writeBytes(chunk);
				line(in);
				if (chunk.length == 0) {
					return all.toByteArray();
				}
			}
		}
		if (headers.containsKey("Content-Length")) {
			return exactly(in, Integer.parseInt(headers.get("Content-Length")));
		}
		return untilClose ? in.readAllBytes() : new byte[0];
	}

	private static byte[] exactly(InputStream in, int length) throws IOException {
		byte[] bytes = in.readNBytes(length);
		if (bytes.length < length) {
			throw new EOFException("connection closed after " + bytes.length + " of " + length + " bytes");
		}
		return bytes;
	}

	/** A request as a server received it. */
	static final class Request {

		final String method;

		final String target;

		final Map<String, String> headers;

		final byte[] body;

		private Request(String method, String target, Map<String, String> headers, byte[] body) {
			this.method = method;
			this.target = target;
			this.headers = headers;
			this.body = body;
		}

		static Request read(InputStream in) throws IOException {
			String line = line(in);
			if (line == null) {
				return null;
			}
			int first = line.indexOf(' ');
			int last = line.lastIndexOf(' ');
			Map<String, String> headers = headers(in);
			return new Request(line.substring(0, first), line.substring(first + 1, last), headers,
					Rig.body(in, headers, false));
		}

		String id() {
			return this.headers.getOrDefault("Request-Id", "");
		}

	}

	/** A whole answer as a client received it. */
	static final class Answer {

		final int status;

		final Map<String, String> headers;

		final byte[] body;

		private Answer(int status, Map<String, String> headers, byte[] body) {
			this.status = status;
			this.headers = headers;
			this.body = body;
		}

		static Answer of(InputStream in) throws IOException {
			String line = line(in);
			if (line == null) {
				throw new EOFException("connection closed without an answer");
			}
			Map<String, String> headers = headers(in);
			return new Answer(Integer.parseInt(line.split(" ")[1]), headers, Rig.body(in, headers, true));
		}

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

	}

	/** Sends a request on a connection of its own and returns the whole answer. */
	static Answer call(String address, String method, String target, Map<String, String> headers, byte[] body, int timeout)
			throws IOException {
		try (Socket socket = connect(address)) {
			socket.setSoTimeout(timeout);
			socket.getOutputStream().write(request(method, target, headers, body));
			return Answer.of(socket.getInputStream());
		}
	}

	static byte[] request(String method, String target, Map<String, String> headers, byte[] body) {
		StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\n");
		headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
		if (body != null) {
			head.append("Content-Length: ").append(body.length).append("\r\n");
		}
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		all.writeBytes(bytes(head + "\r\n"));
		if (body != null) {
			all.writeBytes(body);
		}
		return all.toByteArray();
	}

	static String id() {
		return String.format("%016x", ThreadLocalRandom.current().nextLong());
	}

	static <T> List<T> synced() {
		return Collections.synchronizedList(new ArrayList<>());
	}

}
