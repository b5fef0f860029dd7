package org.mangorack.bench.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.mangorack.bench.FreePorts;
import org.mangorack.bench.fleet.RequestLedger.Disturbance;
import org.mangorack.http.HttpAddress;

/**
 * A machine with one role of the deploy file: its address, its disk, and its process,
 * which is started, signalled and killed from outside.
 */
final class FleetProcess {

	private static final Duration KILL_TIMEOUT = Duration.ofSeconds(10);

	/** How long after a disturbance of its machine a process may end by itself. */
	private static final Duration EXIT_SLACK = Duration.ofSeconds(1);

	private static final int RESTART_DELAY_MS = 500;

	private final FleetProcesses fleet;

	private final Role role;

	private final int number;

	private final String host;

	private final Map<Port, Integer> ports = new EnumMap<>(Port.class);

	private volatile Process process;

	private volatile Process ending;

	private volatile boolean startedBefore;

	private volatile boolean removed;

	private volatile boolean disturbed;

	private volatile long undisturbedSince;

	private Disturbance recorded;

	FleetProcess(FleetProcesses fleet, Role role, int number, String host) throws IOException {
		this.fleet = fleet;
		this.role = role;
		this.number = number;
		this.host = host;
		for (Port port : Port.values()) {
			this.ports.put(port, FreePorts.next(host));
		}
	}

	// ---- Properties

	String name() {
		return this.role.name().toLowerCase(Locale.ROOT) + "-" + this.number;
	}

	Role role() {
		return this.role;
	}

	int number() {
		return this.number;
	}

	HttpAddress address(Port port) {
		return new HttpAddress(this.host, this.ports.get(port));
	}

	Path data() {
		return this.fleet.folder().resolve(name());
	}

	Path log() {
		return this.fleet.folder().resolve(name() + ".log");
	}

	Path settings() {
		return this.fleet.folder().resolve(name() + ".json");
	}

	boolean isStartedBefore() {
		return this.startedBefore;
	}

	boolean isRemoved() {
		return this.removed;
	}

	synchronized boolean isRunning() {
		return (this.process != null) && this.process.isAlive();
	}

	/**
	 * Tells whether the process has run without disturbance for some time.
	 * @param time the time
	 * @return {@code true} if it has
	 */
	synchronized boolean isUndisturbedFor(Duration time) {
		return isRunning() && !this.disturbed && (System.nanoTime() - this.undisturbedSince >= time.toNanos());
	}

	/**
	 * Returns when the process was started or its last disturbance ended.
	 * @return the time by {@link System#nanoTime()}
	 */
	long backAt() {
		return this.undisturbedSince;
	}

	/**
	 * Marks the begin or end of a disturbance that leaves the process running.
	 * @param value whether the process is disturbed
	 */
	synchronized void setDisturbed(boolean value) {
		if (value) {
			recordBegin("disturbance of");
		}
		else if (isRunning()) {
			recordEnd();
		}
		this.disturbed = value;
		this.undisturbedSince = System.nanoTime();
	}

	private void recordBegin(String kind) {
		if (this.recorded == null) {
			this.recorded = this.fleet.ledger().begin(kind, name(), this.role == Role.KEEPER);
		}
	}

	private void recordEnd() {
		if (this.recorded != null) {
			this.fleet.ledger().end(this.recorded);
			this.recorded = null;
		}
	}

	// ---- Lifecycle

	/**
	 * Starts the process, unless it runs or the machine was removed.
	 * @throws IOException if the process cannot be started
	 */
	synchronized void start() throws IOException {
		if (this.removed || isRunning()) {
			return;
		}
		Files.createDirectories(data());
		this.fleet.writeSettings(this);
		Process started = new ProcessBuilder(this.fleet.command(this)).directory(this.fleet.root().toFile())
			.redirectErrorStream(true)
			.start();
		this.process = started;
		if (this.removed) {
			destroy();
		}
		this.startedBefore = true;
		this.disturbed = false;
		this.undisturbedSince = System.nanoTime();
		recordEnd();
		FleetProcesses.startDaemon("log-" + name(), () -> copyLog(started));
		started.onExit().thenAccept(this::reportExit);
	}

	private void reportExit(Process ended) {
		if (ended == this.ending) {
			return;
		}
		boolean tolerated = this.disturbed || (System.nanoTime() - this.undisturbedSince < EXIT_SLACK.toNanos());
		this.fleet.ledger().exited(this, ended.exitValue(), tolerated);
		ScriptedUpstream.sleep(RESTART_DELAY_MS);
		try {
			start();
		}
		catch (IOException ex) {
			this.fleet.ledger().note("could not start " + name() + " again: " + ex);
		}
	}

	// A pipe keeps the log whole while the size of the files of the process is limited.
	private void copyLog(Process source) {
		try (InputStream in = source.getInputStream();
				OutputStream out = Files.newOutputStream(log(), StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
			in.transferTo(out);
		}
		catch (IOException ex) {
			// The process has ended.
		}
	}

	/**
	 * Ends the process as a crash does; the disk stays.
	 * @throws InterruptedException if the thread is interrupted
	 */
	synchronized void kill() throws InterruptedException {
		if (!this.removed) {
			recordBegin("kill of");
		}
		end();
	}

	private void end() throws InterruptedException {
		if (this.process != null) {
			this.ending = this.process;
			this.process.destroyForcibly();
			this.process.waitFor(KILL_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		}
	}

	/**
	 * Ends the process for good, without waiting for other steps.
	 */
	void destroy() {
		this.removed = true;
		Process last = this.process;
		if (last != null) {
			this.ending = last;
			last.destroyForcibly();
		}
	}

	/**
	 * Kills the process and empties the disk.
	 * @throws IOException if the disk cannot be emptied
	 * @throws InterruptedException if the thread is interrupted
	 */
	synchronized void loseDisk() throws IOException, InterruptedException {
		kill();
		emptyDisk();
	}

	private void emptyDisk() throws IOException {
		try (Stream<Path> files = Files.walk(data())) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
		catch (NoSuchFileException ex) {
			// The disk was empty.
		}
	}

	/**
	 * Removes the machine together with its disk, for good. That is planned work.
	 * @throws IOException if the disk cannot be emptied
	 * @throws InterruptedException if the thread is interrupted
	 */
	synchronized void remove() throws IOException, InterruptedException {
		end();
		emptyDisk();
		recordEnd();
		this.removed = true;
	}

	/**
	 * Asks the process to stop and waits for its end.
	 * @param atMost after which time it is killed
	 * @throws Exception if the process cannot be signalled
	 */
	void stop(Duration atMost) throws Exception {
		Process stopping;
		synchronized (this) {
			stopping = this.process;
			this.ending = stopping;
			if (this.role == Role.KEEPER) {
				recordBegin("stop of");
			}
			signal("TERM");
		}
		if ((stopping != null) && !stopping.waitFor(atMost.toMillis(), TimeUnit.MILLISECONDS)) {
			stopping.destroyForcibly();
			stopping.waitFor(KILL_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
		}
	}

	/**
	 * Sends a signal to the process, if it runs.
	 * @param signal the name of the signal
	 * @throws Exception if the signal cannot be sent
	 */
	synchronized void signal(String signal) throws Exception {
		if (isRunning()) {
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
		}
	}

	/**
	 * Limits the size of each file that the process writes, as a disk that is full does.
	 * @param bytes the size in bytes, or {@code unlimited}
	 * @throws Exception if the limit cannot be set
	 */
	synchronized void limitFileSize(String bytes) throws Exception {
		if (isRunning()) {
			new ProcessBuilder("prlimit", "--pid", Long.toString(this.process.pid()), "--fsize=" + bytes + ":unlimited")
				.start()
				.waitFor();
		}
	}

	/**
	 * Returns the size of the largest file on the disk.
	 * @return the size in bytes
	 * @throws IOException if the disk cannot be read
	 */
	long largestFile() throws IOException {
		try (Stream<Path> files = Files.walk(data())) {
			return files.map(Path::toFile).mapToLong((f) -> f.isFile() ? f.length() : 0).max().orElse(0);
		}
	}

	/**
	 * Passes the id of the disk to a consumer, if there is one.
	 * @param consumer the consumer
	 */
	void ifDisk(Consumer<String> consumer) {
		try {
			consumer.accept(Files.readString(data().resolve("disk-id")).strip());
		}
		catch (IOException ex) {
			// The keeper has not named its disk yet.
		}
	}

	@Override
	public String toString() {
		return name();
	}

	static List<FleetProcess> of(Role role, List<FleetProcess> processes) {
		return processes.stream().filter((p) -> (p.role == role) && !p.isRemoved()).toList();
	}

	/**
	 * A role of the deploy file.
	 */
	enum Role {

		ENTRY, KEEPER;

		String key() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

	/**
	 * A port of a machine, by its name in the templates of the deploy file.
	 */
	enum Port {

		CALLERS("frontend_address"), READINESS("ready"), CONTROL("control"), DIRECTORY("directory");

		private final String key;

		Port(String key) {
			this.key = key;
		}

		String key() {
			return this.key;
		}

	}

}
