package org.mangorack.keeper;

import java.io.IOException;
import java.net.BindException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Predicate;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ContactTracker;
import org.mangorack.platform.KindCache;

/**
 * An in-process keeper that can be stopped and restarted with the same data folder.
 */
final class TestKeeper implements AutoCloseable {

	// Differs from the address that clients connect from: a client that repeatedly
	// connects to a closed port of its own address may end up connected to itself.
	private static final String HOST = "127.0.0.2";

	private static final int MAX_BIND_ATTEMPTS = 100;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final String name;

	private final String disk;

	private final Path folder;

	private final ConfigurationRelay configuration;

	private final int tolerance;

	private RecordLog log;

	private KeeperService service;

	private int port;

	private volatile Duration syncDelay = Duration.ZERO;

	private volatile Duration elapsed = Duration.ZERO;

	private boolean running;

	TestKeeper(String name, String disk, Path folder, ConfigurationRelay configuration) {
		this(name, disk, folder, configuration, 1);
	}

	TestKeeper(String name, String disk, Path folder, ConfigurationRelay configuration, int tolerance) {
		this.name = name;
		this.disk = disk;
		this.folder = folder;
		this.configuration = configuration;
		this.tolerance = tolerance;
	}

	TestKeeper start() throws IOException {
		this.log = new RecordLog(this.folder.resolve("log"),
				(task) -> this.loops.next().schedule(task, this.syncDelay.toMillis(), TimeUnit.MILLISECONDS));
		TurnStore turns = new TurnStore(this.log, () -> System.nanoTime() + this.elapsed.toNanos(),
				System::currentTimeMillis);
		turns.load();
		this.log.start();
		ViewFile file = new ViewFile(this.folder.resolve("view"), this.tolerance);
		GroupView view = file.read().orElse(GroupView.unknown(this.tolerance));
		this.service = new KeeperService(this.loops, turns, file, this.disk, view, this.configuration,
				new UpstreamList(() -> new KindCache.Snapshot(Map.of(), 0),
						() -> new ContactTracker.Contact(true, Duration.ZERO, false)),
				MonotonicClock.SYSTEM, new Metrics());
		bind();
		this.port = this.service.port();
		this.running = true;
		return this;
	}

	// Retries because the event loop of a closed keeper releases its port with a delay.
	private void bind() throws IOException {
		for (int tries = 1;; tries++) {
			try {
				this.service.start(new HttpAddress(HOST, this.port));
				return;
			}
			catch (BindException ex) {
				if (tries == MAX_BIND_ATTEMPTS) {
					throw ex;
				}
				LockSupport.parkNanos(50_000_000);
			}
		}
	}

	/**
	 * Delays the completion of each sync to disk.
	 * @param delay the delay
	 */
	void delaySyncs(Duration delay) {
		this.syncDelay = delay;
	}

	/**
	 * Stops the keeper and counts entries in its log.
	 * @param counted selects the entries
	 * @return the number of entries, including duplicates
	 * @throws IOException if the log cannot be read
	 */
	int killAndCount(Predicate<LogEntry> counted) throws IOException {
		kill();
		AtomicInteger count = new AtomicInteger();
		try (RecordLog read = new RecordLog(this.folder.resolve("log"), Runnable::run)) {
			read.replay((segment, entry) -> count.addAndGet(counted.test(entry) ? 1 : 0));
		}
		return count.get();
	}

	/**
	 * Lets time pass for the retention of turns, and removes those that have expired if
	 * the keeper is running.
	 * @param time the time to pass
	 */
	void advance(Duration time) {
		this.elapsed = this.elapsed.plus(time);
		if (this.running) {
			this.loops.next().submit(() -> this.service.turns().expire()).syncUninterruptibly();
		}
	}

	boolean isRunning() {
		return this.running;
	}

	/**
	 * Returns the turns of a chain that this keeper holds.
	 * @param id the id of the newest turn
	 * @return their ids, newest first
	 */
	List<String> chain(String id) {
		return this.loops.next()
			.submit(() -> this.service.turns().chain(id).getTurnList().stream().map(Turn::getId).toList())
			.syncUninterruptibly()
			.getNow();
	}

	void listenOn(int number) {
		this.port = number;
	}

	Member member() {
		return Member.newBuilder()
			.setName(this.name)
			.setDisk(this.disk)
			.setHost(HOST)
			.setPort(this.port)
			.setZone("dc")
			.build();
	}

	KeeperService service() {
		return this.service;
	}

	EventLoop loop() {
		return this.loops.next();
	}

	List<String> turnIds() {
		return this.loops.next().submit(() -> this.service.turns().turnIds()).syncUninterruptibly().getNow();
	}

	void adopt(GroupView view) throws InterruptedException {
		try {
			this.loops.next().submit(() -> {
				this.service.adopt(view);
				return null;
			}).get();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Stops the keeper as if the process was killed: connections are closed and the data
	 * folder remains.
	 * @throws IOException if the log cannot be closed
	 */
	void kill() throws IOException {
		this.running = false;
		this.service.close();
		this.log.close();
	}

	@Override
	public void close() throws IOException {
		kill();
		this.loops.shutdownGracefully();
	}

}
