package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.FakeStore;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * A group of in-process keepers whose membership logic runs only when a test calls it,
 * and a client. The group tolerates the loss of some disks and has as many members as
 * that requires, all of which run at first.
 */
final class TestGroup implements AutoCloseable {

	private static final long TIMEOUT_SECONDS = 20;

	private static final long STEP_PAUSE_MS = 20;

	private static final Duration RETENTION = Duration.ofSeconds(600);

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	private final FakeStore store = new FakeStore();

	private final Retirements retirements = new Retirements();

	private final AtomicLong elapsedNanos = new AtomicLong();

	private final MonotonicClock clock = () -> System.nanoTime() + this.elapsedNanos.get();

	private final Path folder;

	private final int tolerance;

	private final Map<String, TestKeeper> keepers = new HashMap<>();

	private final Map<String, GroupMembership> memberships = new HashMap<>();

	private final Map<String, KindCache> watches = new HashMap<>();

	private final KeeperClient client;

	private int disks;

	TestGroup(Path folder, int tolerance) throws Exception {
		this(folder, tolerance, (2 * tolerance) + 2);
	}

	/**
	 * Starts a group that may have fewer members than it should.
	 * @param folder receives the data of the keepers
	 * @param tolerance how many disks may be lost at once
	 * @param size the number of members, all of which run at first
	 * @throws Exception if a keeper cannot be started
	 */
	TestGroup(Path folder, int tolerance, int size) throws Exception {
		this.folder = folder;
		this.tolerance = tolerance;
		this.client = new KeeperClient(this.loop, MonotonicClock.SYSTEM, "dc", tolerance);
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < size; i++) {
			members.add(add("k" + i).member());
		}
		GroupView view = new GroupView(1, members, List.of(), tolerance);
		this.store.create(ObjectKind.KEEPER_GROUP, GroupDocument.NAME, GroupDocument.write(view));
		for (TestKeeper keeper : this.keepers.values()) {
			keeper.adopt(view);
		}
		awaitConnected();
	}

	// ---- Keepers

	/**
	 * Starts a keeper with an empty disk that is not a member.
	 * @param name the name of its instance
	 * @return the keeper
	 * @throws IOException if it cannot be started
	 */
	TestKeeper add(String name) throws IOException {
		String disk = name + "-" + this.disks++;
		TestKeeper keeper = new TestKeeper(name, disk, this.folder.resolve(disk), new FixedConfiguration(null),
				this.tolerance);
		TestKeeper former = this.keepers.put(name, keeper);
		if (former != null) {
			keeper.listenOn(former.member().getPort());
		}
		keeper.start();
		join(name);
		return keeper;
	}

	void start(String name) throws IOException {
		this.keepers.get(name).start();
		join(name);
	}

	void kill(String name) throws IOException {
		this.memberships.remove(name).close();
		this.keepers.get(name).kill();
	}

	/**
	 * Replaces a keeper by one with an empty disk at the same address.
	 * @param name the name of the instance
	 * @throws IOException if the keeper cannot be started
	 */
	void loseDisk(String name) throws IOException {
		if (isRunning(name)) {
			this.memberships.remove(name).close();
		}
		this.keepers.get(name).close();
		add(name);
	}

	boolean isRunning(String name) {
		return this.keepers.get(name).isRunning();
	}

	TestKeeper keeper(String name) {
		return this.keepers.get(name);
	}

	GroupMembership membership(String name) {
		return this.memberships.get(name);
	}

	Retirements retirements() {
		return this.retirements;
	}

	FakeStore store() {
		return this.store;
	}

	void advance(Duration time) {
		this.elapsedNanos.addAndGet(time.toNanos());
	}

	private void join(String name) {
		TestKeeper keeper = this.keepers.get(name);
		KindCache unused = new KindCache(this.store, ObjectKind.KEEPER, this.clock, () -> {
		});
		KindCache watch = new KindCache(this.store, ObjectKind.KEEPER_GROUP, this.clock, () -> {
		});
		this.watches.put(name, watch);
		this.memberships.put(name, new GroupMembership(keeper.member(), this.tolerance, false, this.store, watch,
				unused, this.retirements, keeper.service(), keeper.loop(), this.clock));
	}

	/**
	 * Lets a keeper list the group, after which its watch reports nothing any more.
	 * @param name the name of its instance
	 * @throws InterruptedException if the thread is interrupted
	 */
	void watchSilently(String name) throws InterruptedException {
		this.store.silenceWatches();
		KindCache watch = this.watches.get(name);
		watch.start();
		if (!watch.awaitListed(Duration.ofSeconds(TIMEOUT_SECONDS))) {
			throw new IllegalStateException("the group was not listed");
		}
	}

	// ---- Group

	GroupView view() throws StoreException {
		return GroupDocument.read(object().spec(), this.tolerance);
	}

	private StoredObject object() throws StoreException {
		return this.store.get(ObjectKind.KEEPER_GROUP, GroupDocument.NAME).orElseThrow();
	}

	/**
	 * Lets some keepers continue the change of the group once each.
	 * @param names the names of their instances
	 * @throws Exception if a step fails for another reason than a concurrent change
	 */
	void step(String... names) throws Exception {
		for (String name : names) {
			try {
				this.memberships.get(name).step(object());
			}
			catch (StoreException ex) {
				if (ex.reason() != StoreException.Reason.CONFLICT) {
					throw ex;
				}
			}
		}
	}

	/**
	 * Lets some keepers take one step each from what they know of the group themselves.
	 * @param names the names of their instances
	 * @throws Exception if a step fails for another reason than a concurrent change
	 */
	void stepFromOwnKnowledge(String... names) throws Exception {
		for (String name : names) {
			try {
				this.memberships.get(name).step();
			}
			catch (StoreException ex) {
				if (ex.reason() != StoreException.Reason.CONFLICT) {
					throw ex;
				}
			}
		}
	}

	/**
	 * Lets keepers take steps until a condition is met. Connections that were lost are
	 * made again meanwhile.
	 * @param names supplies the names of the instances
	 * @param condition the condition
	 * @return whether the condition was met in time
	 * @throws Exception if a step fails
	 */
	boolean stepUntil(Supplier<List<String>> names, Callable<Boolean> condition) throws Exception {
		long startedAt = System.nanoTime();
		while (!condition.call()) {
			if (System.nanoTime() - startedAt > TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)) {
				return false;
			}
			step(names.get().toArray(String[]::new));
			TimeUnit.MILLISECONDS.sleep(STEP_PAUSE_MS);
		}
		return true;
	}

	/**
	 * Lets all running keepers take steps until the present disks of all members belong
	 * to running keepers and no change is in progress.
	 * @return whether the group became complete in time
	 * @throws Exception if a step fails
	 */
	boolean stepUntilComplete() throws Exception {
		return stepUntil(this::running, this::isComplete);
	}

	boolean isComplete() throws StoreException {
		GroupView view = view();
		return !view.isChanging() && view.members().stream().allMatch(this::isPresent);
	}

	private boolean isPresent(Member member) {
		TestKeeper keeper = this.keepers.get(member.getName());
		return keeper.isRunning() && keeper.member().getDisk().equals(member.getDisk());
	}

	List<String> presentMembers() throws StoreException {
		return view().members().stream().filter(this::isPresent).map(Member::getName).toList();
	}

	List<String> running() {
		return this.memberships.keySet().stream().sorted().toList();
	}

	// ---- Client

	/**
	 * Waits until the client is connected to all running keepers of the current view.
	 * @throws Exception if the view cannot be read or the wait times out
	 */
	void awaitConnected() throws Exception {
		GroupView view = view();
		onLoop(() -> this.client.adopt(view));
		Set<String> running = new HashSet<>();
		view.all().stream().filter(this::isPresent).forEach((m) -> running.add(m.getDisk()));
		long startedAt = System.nanoTime();
		Set<String> connected = connectedDisks();
		while (!connected.containsAll(running)) {
			if (System.nanoTime() - startedAt > TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)) {
				throw new IllegalStateException("connected to " + connected + " instead of " + running);
			}
			TimeUnit.MILLISECONDS.sleep(10);
			connected = connectedDisks();
		}
	}

	/**
	 * Sends heartbeats until a number of members counts as connected.
	 * @param count the number of members
	 * @return the disks of all members that were reported to reply
	 * @throws Exception if the wait times out
	 */
	Set<String> heartbeatUntilConnected(int count) throws Exception {
		Set<String> replied = ConcurrentHashMap.newKeySet();
		long startedAt = System.nanoTime();
		while ((connectedDisks().size() != count) || (replied.size() < count)) {
			if (System.nanoTime() - startedAt > TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)) {
				throw new IllegalStateException("connected to " + connectedDisks() + ", replies of " + replied);
			}
			onLoop(() -> this.client.sendHeartbeats((disk) -> Beat.newBuilder().setInstance("e").build(),
					(member, pulse, source) -> replied.add(member.getDisk())));
			TimeUnit.MILLISECONDS.sleep(10);
		}
		return replied;
	}

	Set<String> connectedDisks() throws Exception {
		Set<String> disks = ConcurrentHashMap.newKeySet();
		onLoop(() -> this.client.connectedMembers().forEach((m) -> disks.add(m.getDisk())));
		return disks;
	}

	KeeperClient client() {
		return this.client;
	}

	boolean storeTurn(String id, String program) throws Exception {
		return storeTurn(id, program, ByteString.copyFromUtf8("in " + id));
	}

	boolean storeTurn(String id, String program, ByteString input) throws Exception {
		Turn turn = Turn.newBuilder().setId(id).setInput(input).setRetentionMs(RETENTION.toMillis()).build();
		CompletableFuture<Boolean> done = new CompletableFuture<>();
		onLoop(() -> this.client.settle(new ProgramAttempt(program, id, RETENTION), 10, true,
				new ChainedTurn(turn, List.of()), done::complete));
		return done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * Looks for a turn.
	 * @param id the id of the turn
	 * @param program the program
	 * @return {@code found}, {@code undetermined} or the disks that lack the turn
	 * @throws Exception if the call does not end
	 */
	String fetch(String id, String program) throws Exception {
		CompletableFuture<String> done = new CompletableFuture<>();
		onLoop(() -> this.client.fetch(program, id, new ChainListener() {
			@Override
			public void found(List<Turn> chain) {
				done.complete("found");
			}

			@Override
			public void absent(Set<String> disks, GroupView absentIn) {
				done.complete("absent");
			}

			@Override
			public void undetermined(String cause) {
				done.complete("undetermined");
			}
		}));
		return done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	private void onLoop(Runnable task) throws Exception {
		this.loop.submit(task).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
	}

	@Override
	public void close() throws IOException {
		this.memberships.values().forEach(GroupMembership::close);
		this.watches.values().forEach(KindCache::close);
		for (TestKeeper keeper : this.keepers.values()) {
			keeper.close();
		}
		this.loops.shutdownGracefully();
	}

	/**
	 * Retirement requests and what was reported last about each.
	 */
	static final class Retirements implements RetirementBoard {

		private final Set<String> requested = new HashSet<>();

		private final Map<String, Boolean> reported = new HashMap<>();

		void request(String instance) {
			this.requested.add(instance);
		}

		boolean isCompleted(String instance) {
			return this.reported.getOrDefault(instance, false);
		}

		@Override
		public Set<String> requested() {
			return Set.copyOf(this.requested);
		}

		@Override
		public void report(String instance, boolean done) {
			this.reported.put(instance, done);
		}

	}

}
