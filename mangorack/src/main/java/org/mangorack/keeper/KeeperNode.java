package org.mangorack.keeper;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

import org.mangorack.http.StatusServer;
import org.mangorack.keeper.proto.Member;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.LoopDelay;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;

/**
 * A keeper instance: the log on its disk, the service that entries and other keepers
 * call, and the thread that manages group membership.
 */
public final class KeeperNode implements AutoCloseable {

	private static final String DISK_ID_FILE = "disk-id";

	private final KeeperSettings settings;

	private final ObjectStore store;

	private final ConfigurationRelay configuration;

	private final RetirementBoard retirements;

	private final Metrics metrics;

	private final MonotonicClock clock = MonotonicClock.SYSTEM;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("keeper", true),
			NioIoHandler.newFactory());

	private final List<KindCache> caches = new ArrayList<>();

	private final CountDownLatch stopped = new CountDownLatch(1);

	private RecordLog log;

	private KeeperService service;

	private GroupMembership membership;

	/**
	 * Creates a keeper that is not started yet.
	 * @param settings the settings
	 * @param store the object API of the platform
	 * @param configuration holds the configuration that is distributed to entries
	 * @param retirements the retirement requests of operators
	 * @param metrics the registry for metrics
	 */
	public KeeperNode(KeeperSettings settings, ObjectStore store, ConfigurationRelay configuration,
			RetirementBoard retirements, Metrics metrics) {
		this.settings = settings;
		this.store = store;
		this.configuration = configuration;
		this.retirements = retirements;
		this.metrics = metrics;
	}

	// ---- Life-cycle

	/**
	 * Loads the data from disk and starts to serve requests.
	 * @throws IOException if the disk cannot be read or the port is in use
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void start() throws IOException, InterruptedException {
		Path folder = this.settings.dataFolder();
		String disk = readOrCreateDiskId(folder);
		this.log = new RecordLog(folder.resolve("log"), this.loops.next()::execute);
		TurnStore turns = new TurnStore(this.log, this.clock, System::currentTimeMillis);
		RecordLog.Replay replay = turns.load();
		this.log.start();
		ViewFile viewFile = new ViewFile(folder.resolve("view"), this.settings.tolerance());
		GroupView view = viewFile.read().orElse(GroupView.unknown(this.settings.tolerance()));
		KindCache upstreams = cache(ObjectKind.UPSTREAM);
		this.service = new KeeperService(this.loops, turns, viewFile, disk, view, this.configuration,
				new UpstreamList(upstreams::snapshot, upstreams::contact), this.clock, this.metrics);
		if (this.settings.evacuationBound() != null) {
			KindCache evacuations = cache(ObjectKind.EVACUATION);
			this.service.setEvacuations(new EvacuationList(evacuations::snapshot));
			evacuations.start();
		}
		try {
			this.loops.next().submit(() -> null).get();
		}
		catch (ExecutionException ex) {
			throw new IOException("event loop of the keeper did not start", ex);
		}
		this.service.start(this.settings.listen());
		KindCache groups = cache(ObjectKind.KEEPER_GROUP);
		groups.start();
		upstreams.start();
		KindCache keepers = cache(ObjectKind.KEEPER);
		Member self = Member.newBuilder()
			.setName(this.settings.instance())
			.setDisk(disk)
			.setHost(this.settings.listen().host())
			.setPort(this.settings.listen().port())
			.setZone(this.settings.dataCentre())
			.build();
		this.membership = new GroupMembership(self, this.settings.tolerance(), this.settings.firstStart(), this.store,
				groups, keepers, this.retirements, this.service, this.loops.next(), this.clock);
		this.membership.start();
		startMetrics(turns);
		EventLoop loop = this.loops.next();
		loop.execute(new LoopDelay(loop, this.clock, this.metrics)::start);
		EventLog.log(Event.INSTANCE_STARTED, "instance", this.settings.instance(), "role", "keeper", "disk", disk,
				"address", this.settings.listen(), "turns", turns.turnCount(), "programs", turns.programCount(),
				"epoch", view.epoch(), "logSegments", replay.segments(), "logBytes", replay.bytes(), "logMillis",
				replay.time().toMillis());
	}

	/**
	 * Stops the keeper. The group continues without it.
	 */
	public void stop() {
		EventLog.log(Event.DRAIN_STARTED, "instance", this.settings.instance(), "role", "keeper");
		if (this.membership != null) {
			this.membership.close();
		}
		if (this.service != null) {
			this.service.close();
		}
		try {
			if (this.log != null) {
				this.log.close();
			}
		}
		catch (IOException ex) {
			EventLog.log(Event.LOG_FAILED, ex, "operation", "close");
		}
		EventLog.log(Event.INSTANCE_STOPPED, "instance", this.settings.instance(), "role", "keeper");
		this.stopped.countDown();
	}

	/**
	 * Stops the keeper if it is still running and releases its threads, for processes
	 * that continue after that.
	 */
	@Override
	public void close() {
		if (this.stopped.getCount() > 0) {
			stop();
		}
		this.caches.forEach(KindCache::close);
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	/**
	 * Waits until the keeper is stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStop() throws InterruptedException {
		this.stopped.await();
	}

	// ---- Helpers

	private KindCache cache(ObjectKind kind) {
		KindCache cache = KindCache.withLongRetryDelay(this.store, kind, this.clock);
		this.caches.add(cache);
		return cache;
	}

	private void startMetrics(TurnStore turns) throws IOException {
		if (this.settings.metrics() == null) {
			return;
		}
		this.metrics.gauge("mangorack.keeper.turns", turns::turnCount);
		this.metrics.gauge("mangorack.keeper.turns.bytes", turns::turnBytes);
		this.metrics.gauge("mangorack.keeper.turns.resident.bytes", turns::residentBytes);
		this.metrics.gauge("mangorack.keeper.log.bytes", turns::logBytes);
		this.metrics.gauge("mangorack.keeper.log.failing.seconds", () -> this.log.failingTime().toMillis() / 1000.0);
		this.metrics.gauge("mangorack.keeper.log.pending.bytes", this.log::pendingBytes);
		this.metrics.gauge("mangorack.keeper.log.rejected", this.log::rejectedEntries);
		this.metrics.gauge("mangorack.keeper.log.torn.segments", this.log::tornSegments);
		this.metrics.gauge("mangorack.keeper.log.unread.bytes", this.log::unreadBytes);
		this.metrics.gauge("mangorack.keeper.disk.room.bytes", this.log::roomBytes);
		this.metrics.gauge("mangorack.keeper.programs", turns::programCount);
		this.metrics.gauge("mangorack.keeper.epoch", () -> this.service.view().epoch());
		this.metrics.gauge("mangorack.keeper.group.short.seconds",
				() -> this.membership.timeShortOfMembers().toMillis() / 1000.0);
		new StatusServer(this.loops.next(), (request) -> StatusServer.metrics(this.metrics))
			.start(this.settings.metrics());
	}

	// A missing, empty or truncated disk id means that the disk is new. Log files left on
	// it are then deleted.
	private static String readOrCreateDiskId(Path folder) throws IOException {
		Path file = folder.resolve(DISK_ID_FILE);
		if (Files.exists(file)) {
			String known = Files.readString(file, StandardCharsets.UTF_8).strip();
			if (known.length() == UUID.randomUUID().toString().length()) {
				return known;
			}
		}
		try (Stream<Path> files = Files.isDirectory(folder.resolve("log")) ? Files.list(folder.resolve("log"))
				: Stream.empty()) {
			for (Path old : files.toList()) {
				Files.delete(old);
			}
		}
		String newId = UUID.randomUUID().toString();
		ViewFile.writeSynced(DiskFiles.SYSTEM, file, ByteBuffer.wrap(newId.getBytes(StandardCharsets.UTF_8)));
		return newId;
	}

}
