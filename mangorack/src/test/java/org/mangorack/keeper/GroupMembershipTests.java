package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.proto.Adopt;
import org.mangorack.keeper.proto.Copy;
import org.mangorack.keeper.proto.Inventory;
import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Status;
import org.mangorack.keeper.proto.Store;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GroupMembership} over real connections, in steps that the tests order.
 */
class GroupMembershipTests {

	private static final int PROGRAMS = 24;

	private static final int TURNS_PER_ROUND = 8;

	private static final int LARGE_TURNS = 12;

	private static final ByteString LARGE_INPUT = ByteString.copyFrom(new byte[2_000_000]);

	@TempDir
	Path folder;

	private TestGroup group;

	@AfterEach
	void stop() throws IOException {
		if (this.group != null) {
			this.group.close();
		}
	}

	// Guards against a group that is short of members without any sign of it.
	@Test
	void theTimeInWhichALostDiskIsNotReplacedIsCounted() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		this.group.step("k0");
		assertThat(this.group.membership("k0").timeShortOfMembers()).isZero();
		this.group.loseDisk("k0");
		this.group.kill("k1");
		this.group.step("k0");
		this.group.advance(Duration.ofSeconds(3));
		assertThat(this.group.membership("k0").timeShortOfMembers()).isGreaterThanOrEqualTo(Duration.ofSeconds(3));
		this.group.start("k1");
		assertThat(this.group.stepUntilComplete()).as("group %s", this.group.view()).isTrue();
		this.group.step("k0");
		assertThat(this.group.membership("k0").timeShortOfMembers()).isZero();
	}

	// Guards against an empty disk that answers for the one that was lost at its address.
	@ParameterizedTest
	@EnumSource
	void aRequestMeantForALostDiskIsNotAnsweredByAnother(ContentRequest kind) throws Exception {
		this.group = new TestGroup(this.folder, 1);
		Member lost = this.group.keeper("k0").member();
		this.group.loseDisk("k0");
		try (KeeperPeers peers = new KeeperPeers(this.group.keeper("k1").loop(), MonotonicClock.SYSTEM)) {
			Optional<Reply> reply = peers.call(lost, kind.request(this.group.view()), DiskCopier.TIMEOUT);
			assertThat(reply).isPresent();
			assertThat(reply.get().getStatus()).isEqualTo(Status.WRONG_DISK);
		}
		assertThat(this.group.keeper("k0").turnIds()).isEmpty();
		assertThat(this.group.keeper("k0").service().view().epoch()).isZero();
	}

	// Guards against an entry that counts an empty disk as the member it has replaced.
	@Test
	void aMemberWhoseDiskWasReplacedIsNotCountedAsConnected() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		String lost = this.group.keeper("k0").member().getDisk();
		this.group.loseDisk("k0");
		assertThat(this.group.heartbeatUntilConnected(3)).hasSize(3).doesNotContain(lost);
		assertThat(this.group.connectedDisks()).doesNotContain(lost);
	}

	// Guards against 404 after lost disks were replaced without reading members that
	// start late.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2 })
	void emptyDisksWaitForTheMembersThatHoldTheTurnsOfTheLostOnes(int tolerance) throws Exception {
		this.group = new TestGroup(this.folder, tolerance);
		List<String> lost = names(0, tolerance);
		List<String> away = names(tolerance, 2 * tolerance);
		List<String> late = names(tolerance + 2, (2 * tolerance) + 2);
		for (String name : away) {
			this.group.kill(name);
		}
		storeTurns();
		for (String name : away) {
			this.group.start(name);
		}
		for (String name : late) {
			if (this.group.isRunning(name)) {
				this.group.kill(name);
			}
		}
		for (String name : lost) {
			this.group.loseDisk(name);
		}
		for (int i = 0; i < 4; i++) {
			this.group.step(lost.toArray(String[]::new));
		}
		this.group.awaitConnected();
		assertThat(outcomes()).doesNotContain("absent");
		for (String name : late) {
			this.group.start(name);
		}
		assertThat(this.group.stepUntilComplete()).as("group %s", this.group.view()).isTrue();
		for (String name : late) {
			this.group.kill(name);
		}
		this.group.awaitConnected();
		assertThat(outcomes()).containsOnly("found");
	}

	// Guards against a group that stays short of members until all of them run at once.
	@Test
	void aJoinEndsThoughTheMembersWereNotReadAtTheSameTime() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		storeTurns();
		this.group.kill("k3");
		this.group.loseDisk("k0");
		this.group.step("k0", "k0");
		this.group.kill("k1");
		this.group.start("k3");
		assertThat(this.group.stepUntil(() -> List.of("k0"), () -> this.group.presentMembers().contains("k0")))
			.as("group %s", this.group.view())
			.isTrue();
		this.group.awaitConnected();
		assertThat(outcomes()).containsOnly("found");
	}

	// Guards against a keeper that stays out of the group while its watch is silent.
	@Test
	void aDiskJoinsThoughTheWatchesOfAllKeepersAreSilent() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		storeTurns();
		for (String name : List.of("k1", "k2", "k3")) {
			this.group.watchSilently(name);
		}
		this.group.kill("k0");
		this.group.add("k4");
		this.group.watchSilently("k4");
		stepFromOwnKnowledge(12, "k4");
		this.group.awaitConnected();
		assertThat(this.group.presentMembers()).as("group %s", this.group.view()).contains("k4");
		this.group.loseDisk("k1");
		this.group.watchSilently("k1");
		stepFromOwnKnowledge(12, "k1", "k2", "k3", "k4");
		assertThat(this.group.isComplete()).as("group %s", this.group.view()).isTrue();
		this.group.awaitConnected();
		assertThat(outcomes()).containsOnly("found");
	}

	// Guards against single losses, one after the other, that leave the group in a change
	// for good.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3 })
	void singleLossesNeverBlockTheGroupThoughAllWatchesAreSilent(long seed) throws Exception {
		this.group = new TestGroup(this.folder, 1);
		storeTurns();
		for (String name : this.group.running()) {
			this.group.watchSilently(name);
		}
		Random random = new Random(seed);
		for (int loss = 0; loss < 6; loss++) {
			String name = this.group.running().get(random.nextInt(4));
			if (random.nextBoolean()) {
				this.group.loseDisk(name);
				this.group.watchSilently(name);
			}
			else {
				this.group.kill(name);
				this.group.add("new" + loss);
				this.group.watchSilently("new" + loss);
			}
			for (int i = 0; (i < 20) && !this.group.isComplete(); i++) {
				stepFromOwnKnowledge(1, this.group.running().toArray(String[]::new));
			}
			assertThat(this.group.isComplete()).as("loss %d: group %s", loss, this.group.view()).isTrue();
		}
		this.group.awaitConnected();
		assertThat(outcomes()).containsOnly("found");
	}

	// Guards against a change that nobody calls off, as the watches of the members are
	// silent.
	@Test
	void aMemberLearnsOfAChangeFromTheKeeperThatMadeIt() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		this.group.watchSilently("k2");
		this.group.kill("k0");
		this.group.add("k4");
		this.group.step("k4");
		this.group.advance(GroupMembership.UNRESPONSIVE_TIMEOUT.multipliedBy(2));
		this.group.step("k4");
		assertThat(this.group.view().isChanging()).isTrue();
		this.group.kill("k4");
		this.group.step("k3");
		stepFromOwnKnowledge(12, "k2");
		assertThat(this.group.view().isChanging()).as("group %s", this.group.view()).isFalse();
	}

	// Guards against a group that is short of a disk while another one joins.
	@Test
	void disksThatWereLostTogetherJoinInOneChange() throws Exception {
		this.group = new TestGroup(this.folder, 2);
		storeTurns();
		this.group.loseDisk("k0");
		this.group.loseDisk("k1");
		this.group.step("k0", "k1");
		assertThat(this.group.view().next()).extracting(Member::getDisk)
			.contains(this.group.keeper("k0").member().getDisk(), this.group.keeper("k1").member().getDisk());
		assertThat(this.group.stepUntil(() -> List.of("k0", "k1"), this.group::isComplete))
			.as("group %s", this.group.view())
			.isTrue();
		this.group.kill("k2");
		this.group.kill("k3");
		this.group.awaitConnected();
		assertThat(outcomes()).containsOnly("found");
	}

	// Guards against a copy that is thrown away because it takes long.
	@Test
	void aChangeIsNotCalledOffAsLongAsItsCopyGoesOn() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		storeTurns();
		this.group.loseDisk("k0");
		this.group.step("k0");
		for (int i = 0; i < 4; i++) {
			this.group.keeper("k0").service().recordCopied(1);
			this.group.step("k1", "k2", "k3");
			this.group.advance(GroupMembership.STALL_TIMEOUT.dividedBy(2));
		}
		assertThat(this.group.view().next()).extracting(Member::getDisk)
			.contains(this.group.keeper("k0").member().getDisk());
		this.group.advance(GroupMembership.STALL_TIMEOUT);
		this.group.step("k1");
		assertThat(this.group.view().isChanging()).isFalse();
	}

	// Guards against a join that is thrown away because another disk fails to join.
	@Test
	void aDiskGoesOnJoiningWithoutAnotherOneThatFails() throws Exception {
		this.group = new TestGroup(this.folder, 2);
		storeTurns();
		String former = this.group.keeper("k1").member().getDisk();
		this.group.loseDisk("k0");
		this.group.loseDisk("k1");
		this.group.step("k0", "k1", "k0");
		this.group.kill("k1");
		this.group.step("k2");
		this.group.advance(GroupMembership.UNRESPONSIVE_TIMEOUT.plusMillis(1));
		this.group.step("k2");
		assertThat(this.group.view().next()).extracting(Member::getDisk)
			.contains(this.group.keeper("k0").member().getDisk(), former);
		assertThat(this.group.stepUntil(() -> List.of("k0"), () -> !this.group.view().isChanging())).isTrue();
		assertThat(this.group.presentMembers()).contains("k0").doesNotContain("k1");
		this.group.start("k1");
		assertThat(this.group.stepUntilComplete()).as("group %s", this.group.view()).isTrue();
		this.group.awaitConnected();
		assertThat(outcomes()).containsOnly("found");
	}

	// Guards against a join that writes the charges of all programs for each member.
	@Test
	void aJoiningDiskStoresEachChargeOnce() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		storeTurns();
		this.group.loseDisk("k0");
		assertThat(this.group.stepUntilComplete()).isTrue();
		this.group.membership("k0").close();
		assertThat(this.group.keeper("k0").killAndCount(LogEntry::hasCharges)).isEqualTo(PROGRAMS);
	}

	// Guards against a copy in replies that exceed the buffers of a keeper.
	@Test
	void aReplyWithLargeTurnsHoldsAsManyAsFitButOneAtLeast() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		List<String> held = new ArrayList<>(storeLargeTurns());
		held.retainAll(this.group.keeper("k1").turnIds());
		assertThat(copy(this.group.view().epoch(), held)).containsExactly(held.get(0));
	}

	// Guards against an earlier version that takes turns without room for expired.
	@Test
	void aJoiningDiskThatNamesNoEpochGetsAllTurnsItAsksFor() throws Exception {
		this.group = new TestGroup(this.folder, 1);
		List<String> held = new ArrayList<>(storeLargeTurns());
		held.retainAll(this.group.keeper("k1").turnIds());
		assertThat(copy(0, held)).containsExactlyElementsOf(held);
	}

	// Guards against a lost disk that is never replaced because single turns are large.
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aChangeOfTheGroupCopiesLargeTurns(boolean leaving) throws Exception {
		this.group = new TestGroup(this.folder, 1);
		List<String> ids = storeLargeTurns();
		if (leaving) {
			this.group.retirements().request("k0");
		}
		else {
			this.group.loseDisk("k0");
		}
		assertThat(this.group.stepUntil(() -> {
			this.group.advance(GroupMembership.SUCCESSOR_TIMEOUT.dividedBy(2));
			return this.group.running();
		}, () -> leaving ? this.group.retirements().isCompleted("k0") : this.group.isComplete()))
			.as("group %s", this.group.view())
			.isTrue();
		this.group.kill("k1");
		this.group.awaitConnected();
		for (String id : ids) {
			assertThat(this.group.fetch(id, "p" + id)).as("turn %s", id).isEqualTo("found");
		}
	}

	// Guards against a machine that is taken away while its lost disk is still a member.
	@ParameterizedTest
	@CsvSource({ "1, false", "1, true", "2, false", "2, true" })
	void aRetirementIsCompletedOnlyWhenTheLostDiskIsNoMember(int tolerance, boolean spare) throws Exception {
		this.group = new TestGroup(this.folder, tolerance);
		List<String> away = names(1, 1 + tolerance);
		for (String name : away) {
			this.group.kill(name);
		}
		storeTurns();
		for (String name : away) {
			this.group.start(name);
		}
		if (spare) {
			this.group.add("spare");
		}
		this.group.loseDisk("k0");
		this.group.retirements().request("k0");
		assertThat(this.group.stepUntil(() -> {
			this.group.advance(GroupMembership.SUCCESSOR_TIMEOUT.dividedBy(2));
			return this.group.running();
		}, () -> this.group.retirements().isCompleted("k0"))).as("group %s", this.group.view()).isTrue();
		assertThat(this.group.view().all()).extracting(Member::getName).doesNotContain("k0");
		this.group.kill("k0");
		for (String name : names(2, 2 + tolerance)) {
			this.group.kill(name);
		}
		this.group.awaitConnected();
		assertThat(outcomes()).containsOnly("found");
	}

	// Guards against 404 for confirmed turns over starts, lost disks and changes of the
	// group that are interrupted, in random order.
	@ParameterizedTest
	@CsvSource({ "1, 1", "1, 2", "1, 3", "1, 4", "1, 5", "2, 1", "2, 2", "2, 3", "2, 4", "2, 5" })
	void confirmedTurnsAreNeverCalledMissing(int tolerance, long seed) throws Exception {
		this.group = new TestGroup(this.folder, tolerance);
		Random random = new Random(seed);
		List<String> names = names(0, (2 * tolerance) + 3);
		this.group.add(names.get(names.size() - 1));
		List<String> stored = new ArrayList<>();
		for (int round = 0; round < 4; round++) {
			killSome(tolerance, random);
			for (int i = 0; i < TURNS_PER_ROUND; i++) {
				String id = round + "-" + i;
				assertThat(this.group.storeTurn("t" + id, "p" + id)).as("turn t%s", id).isTrue();
				stored.add(id);
			}
			start(names);
			for (String lost : randomMembers(1 + random.nextInt(tolerance), random)) {
				this.group.loseDisk(lost);
			}
			killSome(random.nextInt(tolerance + 2), random);
			stepAtRandom(4 + random.nextInt(12), random);
			assertNoneAbsent(stored);
			start(names);
			assertThat(this.group.stepUntilComplete()).as("group %s", this.group.view()).isTrue();
			this.group.awaitConnected();
			for (String id : stored) {
				assertThat(this.group.fetch("t" + id, "p" + id)).as("turn t%s", id).isEqualTo("found");
			}
		}
	}

	// ---- Helpers

	private static List<String> names(int from, int to) {
		List<String> names = new ArrayList<>();
		for (int i = from; i < to; i++) {
			names.add("k" + i);
		}
		return names;
	}

	// Lets time pass before each step, so that unresponsive keepers are replaced.
	private void stepFromOwnKnowledge(int rounds, String... names) throws Exception {
		for (int i = 0; i < rounds; i++) {
			this.group.advance(Duration.ofSeconds(1));
			this.group.stepFromOwnKnowledge(names);
		}
	}

	private void storeTurns() throws Exception {
		this.group.awaitConnected();
		for (int i = 0; i < PROGRAMS; i++) {
			assertThat(this.group.storeTurn("t" + i, "p" + i)).as("turn t%d", i).isTrue();
		}
	}

	// Asks a member for turns, and before them for one that it does not hold.
	private List<String> copy(long epoch, List<String> ids) throws Exception {
		Request.Builder request = Request.newBuilder()
			.setEpoch(epoch)
			.setCopy(Copy.newBuilder().addTurn("expired").addAllTurn(ids));
		try (KeeperPeers peers = new KeeperPeers(this.group.keeper("k0").loop(), MonotonicClock.SYSTEM)) {
			return peers.call(this.group.keeper("k1").member(), request, DiskCopier.TIMEOUT)
				.orElseThrow()
				.getBatch()
				.getTurnList()
				.stream()
				.map(Turn::getId)
				.toList();
		}
	}

	private List<String> storeLargeTurns() throws Exception {
		this.group.awaitConnected();
		List<String> ids = new ArrayList<>();
		for (int i = 0; i < LARGE_TURNS; i++) {
			ids.add("large" + i);
			assertThat(this.group.storeTurn(ids.get(i), "p" + ids.get(i), LARGE_INPUT)).as("turn %d", i).isTrue();
		}
		return ids;
	}

	private List<String> outcomes() throws Exception {
		List<String> outcomes = new ArrayList<>();
		for (int i = 0; i < PROGRAMS; i++) {
			outcomes.add(this.group.fetch("t" + i, "p" + i));
			if (outcomes.get(i).equals("undetermined")) {
				return outcomes;
			}
		}
		return outcomes;
	}

	private void killSome(int count, Random random) throws Exception {
		for (String name : randomMembers(count, random)) {
			this.group.kill(name);
		}
		this.group.awaitConnected();
	}

	// Selects members whose disk is present.
	private List<String> randomMembers(int count, Random random) throws Exception {
		List<String> present = new ArrayList<>(this.group.presentMembers());
		Collections.sort(present);
		Collections.shuffle(present, random);
		return present.subList(0, count);
	}

	private void stepAtRandom(int steps, Random random) throws Exception {
		for (int i = 0; i < steps; i++) {
			List<String> running = this.group.running();
			this.group.step(running.get(random.nextInt(running.size())));
			if (random.nextInt(6) == 0) {
				this.group.advance(GroupMembership.UNRESPONSIVE_TIMEOUT.plusMillis(1));
			}
		}
	}

	private void start(List<String> names) throws IOException {
		for (String name : names) {
			if (!this.group.isRunning(name)) {
				this.group.start(name);
			}
		}
	}

	private void assertNoneAbsent(List<String> stored) throws Exception {
		this.group.awaitConnected();
		for (String id : stored) {
			String outcome = this.group.fetch("t" + id, "p" + id);
			assertThat(outcome).as("turn t%s", id).isNotEqualTo("absent");
			if (outcome.equals("undetermined")) {
				return;
			}
		}
	}

	/**
	 * The requests that read or change the content of a disk besides those of calls of
	 * entries.
	 */
	enum ContentRequest {

		/** Makes a view known. */
		ADOPT {
			@Override
			Request.Builder request(GroupView view) {
				return Request.newBuilder().setAdopt(Adopt.newBuilder().setView(view.toProto()));
			}
		},

		/** Lists the content. */
		INVENTORY {
			@Override
			Request.Builder request(GroupView view) {
				return Request.newBuilder().setInventory(Inventory.getDefaultInstance());
			}
		},

		/** Reads turns. */
		COPY {
			@Override
			Request.Builder request(GroupView view) {
				return Request.newBuilder().setCopy(Copy.newBuilder().addTurn("t1"));
			}
		},

		/** Stores turns. */
		STORE {
			@Override
			Request.Builder request(GroupView view) {
				return Request.newBuilder()
					.setStore(Store.newBuilder().addTurn(Turn.newBuilder().setId("t1").setRetentionMs(60_000)));
			}
		};

		abstract Request.Builder request(GroupView view);

	}

}
