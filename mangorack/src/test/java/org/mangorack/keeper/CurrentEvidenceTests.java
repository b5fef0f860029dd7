package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ContactTracker;
import org.mangorack.platform.KindCache;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that replies and copies of keepers count only for what they show at present, over
 * real connections.
 */
class CurrentEvidenceTests {

	private static final long LIMIT_SECONDS = 20;

	private static final Duration RETENTION = Duration.ofSeconds(600);

	// No keeper listens there.
	private static final int DEAD_PORT = 9;

	@TempDir
	Path folder;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	private TestGroup group;

	@AfterEach
	void stop() throws IOException {
		if (this.group != null) {
			this.group.close();
		}
		this.loops.shutdownGracefully();
	}

	// Guards against 404 from a keeper's "missing" that is older than a copy to it.
	@Test
	void whatAMemberLackedBeforeAChangeDoesNotCountAfterIt() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		this.group.kill("k2");
		this.group.kill("k3");
		this.group.awaitConnected();
		KeeperClient storing = newClient(this.group.view(), Set.of());
		awaitConnected(storing, 2);
		assertThat(store(storing, "t1")).isTrue();
		this.group.start("k3");
		this.group.retirements().request("k1");
		this.group.step("k1");
		GroupView before = this.group.view();
		KeeperClient reading = newClient(before, Set.of("k0", "k1"));
		awaitConnected(reading, 1);
		this.group.advance(GroupMembership.SUCCESSOR_TIMEOUT.plusMillis(1));
		this.group.step("k1");
		assertThat(this.group.view().isChanging()).isTrue();
		CompletableFuture<String> outcome = fetch(reading, "t1");
		TimeUnit.MILLISECONDS.sleep(100);
		this.group.step("k1");
		GroupView after = this.group.view();
		assertThat(after.members()).hasSize(3);
		onLoop(() -> reading.adopt(after));
		this.group.start("k2");
		assertThat(outcome.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isNotEqualTo("absent");
		// All that hold it are there, so that it is found by whoever reaches them.
		assertThat(fetch(storing, "t1").get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("found");
	}

	// Guards against a member that counts as complete while its copies are not on disk.
	@Test
	void aDiskJoinsOnlyWithTurnsThatAreSynced() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		KeeperClient storing = newClient(this.group.view(), Set.of());
		awaitConnected(storing, 4);
		assertThat(store(storing, "t1")).isTrue();
		this.group.loseDisk("k0");
		TestKeeper joining = this.group.keeper("k0");
		joining.delaySyncs(Duration.ofSeconds(15));
		for (int i = 0; i < 4; i++) {
			this.group.step("k0");
			boolean member = this.group.view().isMember(joining.member().getDisk());
			String missing = joining.loop().submit(() -> joining.service().turns().newestMissing("t1")).get();
			assertThat(member && !missing.isEmpty()).as("member without a synced copy after step %d", i).isFalse();
		}
	}

	// Guards against a member that leaves before its turns are on the disks of others.
	@Test
	void aMemberLeavesOnlyAfterItsTurnsAreSyncedElsewhere() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		this.group.kill("k2");
		this.group.kill("k3");
		this.group.awaitConnected();
		KeeperClient storing = newClient(this.group.view(), Set.of());
		awaitConnected(storing, 2);
		assertThat(store(storing, "t1")).isTrue();
		this.group.start("k2");
		this.group.start("k3");
		this.group.keeper("k2").delaySyncs(Duration.ofSeconds(15));
		this.group.keeper("k3").delaySyncs(Duration.ofSeconds(15));
		this.group.retirements().request("k0");
		this.group.step("k0");
		this.group.advance(GroupMembership.SUCCESSOR_TIMEOUT.plusMillis(1));
		for (int i = 0; i < 4; i++) {
			this.group.step("k0");
			int copies = 0;
			for (String name : List.of("k1", "k2", "k3")) {
				TestKeeper keeper = this.group.keeper(name);
				copies += keeper.loop().submit(() -> keeper.service().turns().newestMissing("t1")).get().isEmpty() ? 1
						: 0;
			}
			boolean left = this.group.view().members().size() == 3;
			assertThat(left && (copies < 2)).as("left with %d synced copies after step %d", copies, i).isFalse();
		}
	}

	// Guards against calls that are sent again and again to a keeper whose disk is full.
	@Test
	void aKeeperThatCannotWriteAViewIsNotAskedAgainAtOnce() throws Exception {
		AtomicInteger tries = new AtomicInteger();
		List<TestKeeper> keepers = new ArrayList<>();
		List<Member> members = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			keepers.add(new TestKeeper("k" + i, "d" + i, this.folder.resolve("d" + i), new FixedConfiguration(null))
				.start());
			members.add(keepers.get(i).member());
		}
		keepers.get(0).kill();
		try (RecordLog log = new RecordLog(this.folder.resolve("x"), this.loop::execute)) {
			log.start();
			ViewFile file = new ViewFile(this.folder.resolve("y"), 1, new FullDisk(tries));
			KeeperService full = new KeeperService(this.loops, new TurnStore(log, MonotonicClock.SYSTEM, () -> 1), file,
					"d0", new GroupView(1, members, List.of(), 1), new FixedConfiguration(null),
					new UpstreamList(() -> new KindCache.Snapshot(Map.of(), 0),
							() -> new ContactTracker.Contact(true, Duration.ZERO, false)),
					MonotonicClock.SYSTEM, new Metrics());
			full.start(new HttpAddress("127.0.0.3", 0));
			members.set(0, members.get(0).toBuilder().setHost("127.0.0.3").setPort(full.port()).build());
			GroupView view = new GroupView(2, members, List.of(), 1);
			for (int i = 1; i < 4; i++) {
				keepers.get(i).adopt(view);
			}
			// Three keepers answer a call only if all of them are asked: one is down.
			keepers.get(1).kill();
			KeeperClient client = newClient(view, Set.of());
			awaitConnected(client, 3);
			List<CompletableFuture<String>> outcomes = new ArrayList<>();
			for (int i = 0; i < 5; i++) {
				outcomes.add(fetch(client, "none" + i));
			}
			for (CompletableFuture<String> outcome : outcomes) {
				assertThat(outcome.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("undetermined");
			}
			full.close();
		}
		finally {
			for (TestKeeper keeper : keepers.subList(2, 4)) {
				keeper.close();
			}
		}
		assertThat(tries.get()).as("views that could not be written").isLessThan(100);
	}

	// ---- Helpers

	private KeeperClient newClient(GroupView view, Set<String> cut) throws Exception {
		List<Member> members = view.members()
			.stream()
			.map((m) -> cut.contains(m.getName()) ? m.toBuilder().setPort(DEAD_PORT).build() : m)
			.toList();
		KeeperClient client = new KeeperClient(this.loop, MonotonicClock.SYSTEM, "dc", 1);
		onLoop(() -> client.adopt(new GroupView(view.epoch(), members, view.next(), 1)));
		return client;
	}

	private void awaitConnected(KeeperClient client, int count) throws Exception {
		for (int i = 0; i < 200; i++) {
			CompletableFuture<Integer> connected = new CompletableFuture<>();
			onLoop(() -> connected.complete(client.connectedMembers().size()));
			if (connected.get() == count) {
				return;
			}
			TimeUnit.MILLISECONDS.sleep(20);
		}
		throw new IllegalStateException("not connected to " + count);
	}

	private boolean store(KeeperClient client, String id) throws Exception {
		Turn turn = Turn.newBuilder()
			.setId(id)
			.setInput(ByteString.copyFromUtf8("in"))
			.setRetentionMs(RETENTION.toMillis())
			.build();
		CompletableFuture<Boolean> done = new CompletableFuture<>();
		onLoop(() -> client.settle(new ProgramAttempt("p", id, RETENTION), 10, false, new ChainedTurn(turn, List.of()),
				done::complete));
		return done.get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	private CompletableFuture<String> fetch(KeeperClient client, String id) throws Exception {
		CompletableFuture<String> done = new CompletableFuture<>();
		onLoop(() -> client.fetch("p", id, new ChainListener() {
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
		return done;
	}

	private void onLoop(Runnable task) throws Exception {
		this.loop.submit(task).get(LIMIT_SECONDS, TimeUnit.SECONDS);
	}

	/**
	 * A disk on which no file can be created.
	 *
	 * @param tries counts the tries
	 */
	private record FullDisk(AtomicInteger tries) implements DiskFiles {

		@Override
		public void createFolder(Path path) {
		}

		@Override
		public List<String> list(Path path) {
			return List.of();
		}

		@Override
		public long size(Path file) {
			return 0;
		}

		@Override
		public boolean exists(Path file) {
			return false;
		}

		@Override
		public byte[] read(Path file) throws IOException {
			throw new IOException("no file");
		}

		@Override
		public OpenFile create(Path file) throws IOException {
			this.tries.incrementAndGet();
			throw new IOException("disk full");
		}

		@Override
		public void sync(Path file) {
		}

		@Override
		public void rename(Path from, Path to) {
		}

		@Override
		public void delete(Path file) {
		}

		@Override
		public void syncFolder(Path path) {
		}

		@Override
		public long roomBytes(Path path) {
			return 0;
		}

	}

}
