import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The machines of a small deployment on loopback addresses. Each has an address of its own
 * and runs a role with the command and the settings template of the deploy file.
 */
final class Fleet implements AutoCloseable {

	static final int CALLERS = 8368;

	static final int READY = 8369;

	static final int DIRECTORY = 8360;

	static final int CONTROL = 8367;

	private final Path root;

	private final Path folder;

	private final Record record;

	private final String network = "127." + ThreadLocalRandom.current().nextInt(10, 250) + "."
			+ ThreadLocalRandom.current().nextInt(1, 250) + ".";

	private int lastHost = 10;

	private final Map<String, Machine> machines = new LinkedHashMap<>();

	private final List<String> seeds = new ArrayList<>();

	Fleet(Path root, Record record) throws IOException {
		this.root = root;
		this.record = record;
		this.folder = Files.createTempDirectory("review");
		// Also if the case itself is ended.
		Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
	}

	/** A machine, whose process can be killed and started again. */
	final class Machine {

		final String name;

		final String role;

		final String host;

		final String zone;

		final Path data;

		String platform;

		boolean firstStart = true;

		Process process;

		private Machine(String name, String role, String host, String zone, String platform) {
			this.name = name;
			this.role = role;
			this.host = host;
			this.zone = zone;
			this.platform = platform;
			this.data = Fleet.this.folder.resolve(name);
		}

		String callers() {
			return this.host + ":" + CALLERS;
		}

		void start() throws IOException {
			Path settings = Fleet.this.folder.resolve(this.name + ".json");
			Files.writeString(settings, settings());
			List<String> command = new ArrayList<>();
			for (String word : runLine().split(" ")) {
				command.add(word.equals("/etc/mangorack/node.json") ? settings.toString() : word);
			}
			if (this.role.equals("keeper")) {
				Files.createDirectories(this.data);
			}
			File log = Fleet.this.folder.resolve(this.name + ".log").toFile();
			this.process = new ProcessBuilder(command).directory(Fleet.this.root.toFile())
				.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(log))
				.start();
			Fleet.this.record.log("start %s (%s) at %s", this.name, this.role, this.host);
		}

		/** Ends the process at once, as a loss of the process does. */
		void kill() throws InterruptedException {
			this.process.destroyForcibly().waitFor();
			Fleet.this.record.log("kill %s", this.name);
		}

		/** Empties the disk of a machine whose process does not run. */
		void wipe() throws IOException {
			delete(this.data);
			this.firstStart = false;
			Fleet.this.record.log("wipe the disk of %s", this.name);
		}

		void signal(String signal) throws IOException, InterruptedException {
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
			Fleet.this.record.log("signal %s to %s", signal, this.name);
		}

		boolean isReady() {
			return Http.call(this.host + ":" + READY, "GET", "/readiness", "Host: x\r\n", new byte[0], 500)
				.status() == 200;
		}

		String log() throws IOException {
			return Files.readString(Fleet.this.folder.resolve(this.name + ".log"));
		}

		private String runLine() throws IOException {
			boolean found = false;
			for (String line : Files.readAllLines(Fleet.this.root.resolve("deploy/system.toml"))) {
				found |= line.equals("[roles." + this.role + "]");
				if (found && line.startsWith("run = ")) {
					return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
				}
			}
			throw new IOException("no command of the role " + this.role);
		}

		private String settings() throws IOException {
			String text = Files.readString(Fleet.this.root.resolve("deploy/" + this.role + ".json"));
			Map<String, Object> values = new LinkedHashMap<>();
			values.put("node_name", this.name);
			values.put("zone", this.zone);
			values.put("listen_addresses.frontend_address", this.host + ":" + CALLERS);
			values.put("listen_addresses.ready", this.host + ":" + READY);
			values.put("listen_addresses.directory", this.host + ":" + DIRECTORY);
			values.put("listen_addresses.control", this.host + ":" + CONTROL);
			values.put("platform.address", this.platform);
			values.put("seed_nodes", Fleet.this.seeds);
			values.put("fault_tolerance.machines", 1);
			values.put("bounds.revocation_ms", 5000);
			values.put("bounds.configuration_apply_ms", 2000);
			values.put("bounds.grace_s", 8);
			values.put("bounds.evacuation_ms", null);
			values.put("bounds.cold_overshoot", null);
			values.put("bounds.cold_slack", null);
			values.put("data_directory", this.data.toString());
			values.put("first_start", this.firstStart);
			for (Map.Entry<String, Object> value : values.entrySet()) {
				text = text.replace("{{" + value.getKey() + "|json}}", Json.write(value.getValue()));
			}
			return text.replace("{{ip_address}}", this.host);
		}

	}

	Machine add(String name, String role, String zone, String platform) {
		Machine machine = new Machine(name, role, this.network + (++this.lastHost), zone, platform);
		this.machines.put(name, machine);
		if (role.equals("keeper") && (this.seeds.size() < 3)) {
			this.seeds.add(machine.host + ":" + CONTROL);
		}
		return machine;
	}

	String newHost() {
		return this.network + (++this.lastHost);
	}

	Path folder() {
		return this.folder;
	}

	void awaitReady(double seconds) throws InterruptedException, IOException {
		double until = this.record.seconds() + seconds;
		for (Machine m : this.machines.values()) {
			while (m.role.equals("entry") && !m.isReady()) {
				if (this.record.seconds() > until) {
					throw new IOException(m.name + " did not become ready");
				}
				TimeUnit.MILLISECONDS.sleep(100);
			}
		}
	}

	private void endAll() {
		for (Machine m : this.machines.values()) {
			if (m.process != null) {
				m.process.destroyForcibly();
			}
		}
	}

	@Override
	public void close() throws IOException {
		endAll();
		for (Machine m : this.machines.values()) {
			try {
				if (m.process != null) {
					m.process.waitFor(5, TimeUnit.SECONDS);
				}
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		String keep = System.getenv("KEEP_LOGS");
		if (keep != null) {
			try (Stream<Path> logs = Files.list(this.folder)) {
				for (Path p : logs.filter((f) -> f.toString().endsWith(".log")).toList()) {
					Files.createDirectories(Path.of(keep));
					Files.copy(p, Path.of(keep).resolve(p.getFileName()),
							java.nio.file.StandardCopyOption.REPLACE_EXISTING);
				}
			}
		}
		delete(this.folder);
	}

	private static void delete(Path folder) throws IOException {
		if (!Files.exists(folder)) {
			return;
		}
		try (Stream<Path> files = Files.walk(folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.deleteIfExists(file);
			}
		}
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
