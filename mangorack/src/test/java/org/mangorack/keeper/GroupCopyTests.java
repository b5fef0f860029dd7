package org.mangorack.keeper;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.mangorack.keeper.proto.Charge;
import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.FakeStore;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.StoredObject;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the copying of a disk that joins a group of {@link ScriptedKeepers}.
 */
class GroupCopyTests {

	private static final int MAX_STEPS = 4;

	@TempDir
	Path folder;

	private final FakeStore store = new FakeStore();

	private final ScriptedKeepers members = new ScriptedKeepers();

	private TestKeeper joiner;

	private GroupMembership membership;

	@BeforeEach
	void start() throws Exception {
		this.joiner = new TestKeeper("k0", "k0-new", this.folder, new FixedConfiguration(null)).start();
		List<Member> all = new ArrayList<>();
		all.add(this.joiner.member().toBuilder().setDisk("k0-lost").setPort(1).build());
		for (String name : List.of("k1", "k2", "k3")) {
			all.add(this.members.add(name));
		}
		this.store.create(ObjectKind.KEEPER_GROUP, GroupDocument.NAME,
				GroupDocument.write(new GroupView(1, all, List.of(), 1)));
		KindCache unused = new KindCache(this.store, ObjectKind.KEEPER, MonotonicClock.SYSTEM, () -> {
		});
		this.membership = new GroupMembership(this.joiner.member(), 1, false, this.store, unused, unused,
				new TestGroup.Retirements(), this.joiner.service(), this.joiner.loop(), MonotonicClock.SYSTEM);
	}

	@AfterEach
	void stop() throws Exception {
		this.membership.close();
		this.joiner.close();
		this.members.close();
	}

	// Guards against a copy that awaits a round trip and a sync for each batch.
	@Test
	void aJoiningDiskHasSeveralRequestsInFlight() throws Exception {
		list(5000);
		this.members.holdRepliesUntilInFlight(6);
		step(2);
		assertThat(this.members.mostInFlight()).isGreaterThanOrEqualTo(6);
		assertThat(this.joiner.turnIds()).hasSize(5000);
	}

	// Guards against many small requests for many small turns.
	@Test
	void aJoiningDiskAsksForManySmallTurnsAtOnce() throws Exception {
		list(4000);
		assertThat(stepUntilJoined()).isTrue();
		assertThat(this.joiner.turnIds()).hasSize(4000);
		assertThat(this.members.copyRequests()).isLessThanOrEqualTo(20);
	}

	// Guards against a join that lists and copies anew because one member fell silent.
	@Test
	void aMemberThatFallsSilentCostsOnlyItsOwnRequests() throws Exception {
		list(500);
		this.members.silence("k1");
		assertThat(stepUntilJoined()).isTrue();
		assertThat(this.joiner.turnIds()).hasSize(500);
		assertThat(this.members.listings()).isEqualTo(Map.of("k1", 1, "k2", 1, "k3", 1));
		assertThat(this.members.sentTurns()).hasSize(500).allSatisfy((id, count) -> assertThat(count).isEqualTo(1));
	}

	// Guards against a turn that is taken for expired because its reply was full.
	@Test
	void theTurnsThatAReplyHasNoRoomForAreAskedForAgain() throws Exception {
		list(60);
		this.members.limitReplies(1);
		assertThat(stepUntilJoined()).isTrue();
		assertThat(this.joiner.turnIds()).hasSize(60);
	}

	// Guards against a join that waits for a turn that has expired since it was listed.
	@Test
	void aTurnThatNoMemberHoldsAnyMoreDoesNotHoldUpAJoin() throws Exception {
		list(20);
		for (int i = 20; i < 40; i++) {
			this.members.listExpired(turn(i));
		}
		assertThat(stepUntilJoined()).isTrue();
		assertThat(this.joiner.turnIds()).hasSize(20);
	}

	// Guards against a join that writes the charges of all programs once per attempt.
	@Test
	void chargesAreNotWrittenAgainWhenAJoinIsBegunAnew() throws Exception {
		list(20);
		for (int i = 0; i < 20; i++) {
			this.members.list(charges("p" + i));
		}
		List.of("k1", "k2", "k3").forEach(this.members::silence);
		step(2);
		beginAnew();
		this.members.endSilence();
		assertThat(stepUntilJoined()).isTrue();
		this.membership.close();
		assertThat(this.joiner.killAndCount(LogEntry::hasCharges)).isEqualTo(20);
	}

	private void beginAnew() throws Exception {
		StoredObject object = this.store.get(ObjectKind.KEEPER_GROUP, GroupDocument.NAME).orElseThrow();
		GroupView view = GroupDocument.read(object.spec(), 1);
		long epoch = view.epoch() + 1;
		this.store.update(ObjectKind.KEEPER_GROUP, GroupDocument.NAME, object.version(),
				GroupDocument.write(new GroupView(epoch, view.members(), view.next(), 1),
						GroupDocument.readJoiners(object.spec(), view).restartedAt(epoch)));
	}

	private static ProgramCharges charges(String program) {
		return ProgramCharges.newBuilder()
			.setProgram(program)
			.addCharge(Charge.newBuilder().setAttempt("a").setTokens(10).setSettled(true))
			.setRetentionMs(600_000)
			.build();
	}

	private void list(int turns) {
		for (int i = 0; i < turns; i++) {
			this.members.list(turn(i));
		}
	}

	private static Turn turn(int number) {
		return Turn.newBuilder()
			.setId("t" + number)
			.setInput(ByteString.copyFromUtf8("in " + number))
			.setRetentionMs(600_000)
			.build();
	}

	private void step(int steps) throws Exception {
		for (int i = 0; i < steps; i++) {
			this.membership.step(this.store.get(ObjectKind.KEEPER_GROUP, GroupDocument.NAME).orElseThrow());
		}
	}

	private boolean stepUntilJoined() throws Exception {
		for (int i = 0; i < MAX_STEPS; i++) {
			step(1);
			GroupView view = GroupDocument
				.read(this.store.get(ObjectKind.KEEPER_GROUP, GroupDocument.NAME).orElseThrow().spec(), 1);
			if (!view.isChanging() && view.isMember("k0-new")) {
				return true;
			}
		}
		return false;
	}

}
