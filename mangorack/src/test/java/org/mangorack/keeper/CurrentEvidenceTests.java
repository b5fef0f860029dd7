package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.MonotonicClock;

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

}
