package org.mangorack.keeper;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.proto.Member;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.FakeStore;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the first start of a keeper group, in which keepers may start at any time.
 */
class GroupFormationTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private final FakeStore store = new FakeStore();

	private final KindCache groups = KindCache.withLongRetryDelay(this.store, ObjectKind.KEEPER_GROUP,
			MonotonicClock.SYSTEM);

	private final KindCache keepers = KindCache.withLongRetryDelay(this.store, ObjectKind.KEEPER,
			MonotonicClock.SYSTEM);

	private Duration elapsed = Duration.ZERO;

	@TempDir
	Path folder;

	@BeforeEach
	void start() {
		this.groups.start();
	}

	@AfterEach
	void stop() {
		this.groups.close();
		this.keepers.close();
	}

	// Guards against turns that the loss of a tolerated number of disks takes away.
	@ParameterizedTest
	@ValueSource(ints = { 1, 2, 3 })
	void theGroupIsNotFormedWithFewerDisksThanCopiesArePromised(int tolerance) throws Exception {
		try (TestKeeper keeper = startKeeper(tolerance); GroupMembership membership = membership(keeper, tolerance)) {
			for (int i = 1; i < tolerance; i++) {
				register(i);
			}
			formUntil(membership, () -> this.keepers.objects().size() == tolerance);
			membership.form();
			assertThat(group()).isEmpty();
			register(tolerance);
			formUntil(membership, () -> group().isPresent());
			GroupView view = GroupDocument.read(group().orElseThrow().spec(), tolerance);
			assertThat(view.members()).hasSize(tolerance + 1);
		}
	}

	@Test
	void aSingleKeeperFormsAGroupThatToleratesNoLoss() throws Exception {
		try (TestKeeper keeper = startKeeper(0); GroupMembership membership = membership(keeper, 0)) {
			formUntil(membership, () -> group().isPresent());
			assertThat(GroupDocument.read(group().orElseThrow().spec(), 0).members()).hasSize(1);
		}
	}

	// Guards against a system that never serves, as the disk that was to form the group
	// was
	// lost before.
	@ParameterizedTest
	@EnumSource
	void theGroupIsFormedThoughTheFirstStartWasDisturbed(Disturbance disturbance) throws Exception {
		List<Registering> keepers = new ArrayList<>();
		try {
			for (int i = 0; i < 4; i++) {
				keepers.add(new Registering("k" + i, "d" + i, true));
			}
			for (Registering keeper : keepers) {
				formUntil(keeper.membership, () -> isRegistered(keeper.keeper));
			}
			for (Registering keeper : keepers) {
				formUntil(keeper.membership, () -> keeper.registrations.objects().size() == keepers.size());
			}
			disturbance.apply(this, keepers);
			this.elapsed = GroupMembership.FORMATION_DELAY.multipliedBy(2);
			long startedAt = System.nanoTime();
			while (group().isEmpty()) {
				assertThat(System.nanoTime() - startedAt).isLessThan(LIMIT.toNanos());
				for (Registering keeper : keepers) {
					formOnce(keeper.membership);
				}
			}
			GroupView view = GroupDocument.read(group().orElseThrow().spec(), 1);
			assertThat(view.members()).hasSizeGreaterThanOrEqualTo(3);
			assertThat(view.members().stream().map(Member::getName)).doesNotHaveDuplicates();
		}
		finally {
			for (Registering keeper : keepers) {
				keeper.close();
			}
		}
	}

	// Guards against a second group, without the turns that the first one confirmed.
	@Test
	void aKeeperThatKnewAGroupFormsNoOther() throws Exception {
		try (TestKeeper keeper = startKeeper(0); GroupMembership membership = membership(keeper, 0)) {
			formUntil(membership, () -> group().isPresent());
			keeper.adopt(GroupDocument.read(group().orElseThrow().spec(), 0));
			this.store.delete(ObjectKind.KEEPER_GROUP, GroupDocument.NAME, null);
			for (int i = 0; i < 5; i++) {
				formOnce(membership);
			}
			assertThat(group()).isEmpty();
		}
	}

	// Guards against turns that are confirmed while the group is still too small.
	@ParameterizedTest
	@CsvSource({ "1, 1", "2, 1", "2, 2" })
	void aTurnThatASmallGroupConfirmsSurvivesTheLossOfDisks(int tolerance, int members) throws Exception {
		try (TestGroup group = new TestGroup(this.folder, tolerance, members)) {
			assertThat(group.storeTurn("early", "p")).isFalse();
			for (int i = members; i <= tolerance; i++) {
				group.add("k" + i);
			}
			assertThat(group.stepUntil(group::running,
					() -> !group.view().isChanging() && (group.view().members().size() == tolerance + 1)))
				.as("group %s", group.view())
				.isTrue();
			group.awaitConnected();
			assertThat(group.storeTurn("late", "p")).isTrue();
			for (int i = 0; i < tolerance; i++) {
				group.loseDisk("k" + i);
			}
			assertThat(group.stepUntilComplete()).as("group %s", group.view()).isTrue();
			group.awaitConnected();
			assertThat(group.fetch("late", "p")).isEqualTo("found");
		}
	}

	// ---- Helpers

	private TestKeeper startKeeper(int tolerance) throws Exception {
		return new TestKeeper("k0", "d0", this.folder, new FixedConfiguration(null), tolerance).start();
	}

	// The delay for which the keeper waits for others has passed at the first call.
	private GroupMembership membership(TestKeeper keeper, int tolerance) {
		GroupMembership membership = new GroupMembership(keeper.member(), tolerance, true, this.store, this.groups,
				this.keepers, new TestGroup.Retirements(), keeper.service(), keeper.loop(),
				() -> System.nanoTime() + this.elapsed.toNanos());
		this.elapsed = GroupMembership.FORMATION_DELAY.plusMillis(1);
		return membership;
	}

	private void register(int number) throws StoreException {
		Member member = Member.newBuilder()
			.setName("k" + number)
			.setDisk("d" + number)
			.setHost("127.0.0.1")
			.setPort(1)
			.build();
		this.store.create(ObjectKind.KEEPER, member.getDisk(), GroupDocument.write(member));
	}

	private boolean isRegistered(TestKeeper keeper) throws StoreException {
		return this.store.get(ObjectKind.KEEPER, keeper.member().getDisk()).isPresent();
	}

	private static void formOnce(GroupMembership membership) throws Exception {
		try {
			membership.form();
		}
		catch (StoreException ex) {
			assertThat(ex.reason()).isEqualTo(StoreException.Reason.CONFLICT);
		}
		TimeUnit.MILLISECONDS.sleep(10);
	}

	private Optional<StoredObject> group() throws StoreException {
		return this.store.get(ObjectKind.KEEPER_GROUP, GroupDocument.NAME);
	}

	private static void formUntil(GroupMembership membership, Condition condition) throws Exception {
		long startedAt = System.nanoTime();
		while (!condition.isMet()) {
			assertThat(System.nanoTime() - startedAt).isLessThan(LIMIT.toNanos());
			membership.form();
			TimeUnit.MILLISECONDS.sleep(10);
		}
	}

	/**
	 * A condition that is waited for.
	 */
	@FunctionalInterface
	private interface Condition {

		boolean isMet() throws StoreException;

	}

	/**
	 * What happens between the registration of all disks and the formation of the group.
	 */
	enum Disturbance {

		/** The first keeper loses its disk and is back. */
		DISK_LOST {
			@Override
			void apply(GroupFormationTests test, List<Registering> keepers) throws Exception {
				keepers.remove(0).close();
				keepers.add(test.new Registering("k0", "lost-d0", false));
			}
		},

		/** The first keeper is removed. */
		REMOVED {
			@Override
			void apply(GroupFormationTests test, List<Registering> keepers) throws Exception {
				keepers.remove(0).close();
			}
		},

		/** All keepers are killed and started again, with their disks. */
		ALL_RESTARTED {
			@Override
			void apply(GroupFormationTests test, List<Registering> keepers) throws Exception {
				for (Registering keeper : List.copyOf(keepers)) {
					keepers.remove(keeper);
					keeper.close();
					Member member = keeper.keeper.member();
					keepers.add(test.new Registering(member.getName(), member.getDisk(), false));
				}
			}
		};

		abstract void apply(GroupFormationTests test, List<Registering> keepers) throws Exception;

	}

	/**
	 * A keeper that takes part in the formation of the group.
	 */
	private final class Registering {

		private final TestKeeper keeper;

		private final KindCache registrations = KindCache.withLongRetryDelay(GroupFormationTests.this.store,
				ObjectKind.KEEPER, MonotonicClock.SYSTEM);

		private final GroupMembership membership;

		private Registering(String name, String disk, boolean firstStart) throws IOException {
			this.keeper = new TestKeeper(name, disk, GroupFormationTests.this.folder.resolve(disk),
					new FixedConfiguration(null), 1)
				.start();
			this.membership = new GroupMembership(this.keeper.member(), 1, firstStart, GroupFormationTests.this.store,
					GroupFormationTests.this.groups, this.registrations, new TestGroup.Retirements(),
					this.keeper.service(), this.keeper.loop(),
					() -> System.nanoTime() + GroupFormationTests.this.elapsed.toNanos());
		}

		private void close() throws IOException {
			this.membership.close();
			this.registrations.close();
			this.keeper.close();
		}

	}

}
