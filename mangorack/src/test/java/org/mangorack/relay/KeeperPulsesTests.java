package org.mangorack.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Pulse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeeperPulses}, on a clock that the tests advance.
 */
class KeeperPulsesTests {

	private static final List<Member> MEMBERS = List.of(member("d0", "a"), member("d1", "b"), member("d2", "c"));

	private long now = 1;

	private final KeeperPulses pulses = new KeeperPulses(() -> this.now, "b");

	@Test
	void theNearestKeeperIsAlwaysAskedAndTheOthersInTurn() {
		Set<String> all = new HashSet<>();
		for (int i = 0; i < 3; i++) {
			Set<String> sources = this.pulses.listSources(MEMBERS);
			assertThat(sources).contains("d1").hasSizeLessThanOrEqualTo(2);
			all.addAll(sources);
		}
		assertThat(all).containsExactlyInAnyOrder("d0", "d1", "d2");
	}

	@Test
	void aKeeperThatThePlatformDoesNotAnswerIsNotTheNearest() {
		this.pulses.heard("d1", pulse(9000).build());
		int asked = 0;
		for (int i = 0; i < 6; i++) {
			asked += this.pulses.listSources(MEMBERS).contains("d1") ? 1 : 0;
		}
		assertThat(asked).isEqualTo(2);
	}

	@Test
	void aPulseWithoutListsLeavesThoseOfBefore() {
		this.pulses.heard("d1", listed(7, "e1").build());
		this.pulses.heard("d1", pulse(100).build());
		assertThat(this.pulses.addresses()).containsExactly("address of e1");
		assertThat(this.pulses.known("d1").entries().version()).isEqualTo(7);
		assertThat(this.pulses.loadElsewhere()).hasSize(1);
	}

	@Test
	void anUnchangedListIsNotRepeated() {
		this.pulses.heard("d1", listed(7, "e1").build());
		this.pulses.heard("d1", pulse(100).setWithLists(true).setEntries(7).build());
		assertThat(this.pulses.addresses()).containsExactly("address of e1");
	}

	@Test
	void changesAreAppliedToTheListOfTheirKeeper() {
		this.pulses.heard("d0", listed(7, "e1").setEntriesStart(5).build());
		this.pulses.heard("d1", listed(7, "e2").setEntriesStart(6).build());
		this.pulses.heard("d0", listed(8, "e3").setEntriesStart(5).setEntriesSince(7).addEntryGone("e1").build());
		assertThat(this.pulses.addresses()).containsExactly("address of e2", "address of e3");
	}

	@Test
	void changesThatStartFromAnUnknownListConfirmNone() {
		this.pulses.heard("d0", listed(7, "e1").setEntriesStart(5).build());
		advance(KeeperPulses.LIST_LIFE.toMillis() - 1);
		this.pulses.heard("d0", listed(9, "e2").setEntriesStart(5).setEntriesSince(8).build());
		assertThat(this.pulses.known("d0").entries().version()).isEqualTo(7);
		assertThat(this.pulses.addresses()).containsExactly("address of e1");
		advance(1);
		assertThat(this.pulses.isListed()).isFalse();
	}

	@Test
	void anOldListNoLongerCountsOnceThereIsANewOne() {
		this.pulses.heard("d0", listed(7, "e1").build());
		advance(2000);
		this.pulses.heard("d0", pulse(100).build());
		this.pulses.heard("d1", listed(9, "e2").build());
		assertThat(this.pulses.addresses()).containsExactly("address of e2");
	}

	@Test
	void onlyTheNewestLoadCounts() {
		this.pulses.heard("d0", listed(7, "e1").build());
		this.pulses.heard("d1", listed(7, "e1").build());
		assertThat(this.pulses.loadElsewhere()).hasSize(2);
		advance(200);
		this.pulses.heard("d1", listed(7, "e1").build());
		assertThat(this.pulses.loadElsewhere()).hasSize(1);
	}

	@Test
	void theLastListIsKeptWhileNoKeeperAnswers() {
		this.pulses.heard("d0", listed(7, "e1").build());
		advance(60_000);
		assertThat(this.pulses.addresses()).containsExactly("address of e1");
		assertThat(this.pulses.isInContact()).isFalse();
	}

	@Test
	void aListIsPassedOnOnlyWhileItIsCurrent() {
		assertThat(this.pulses.isListed()).isFalse();
		this.pulses.heard("d0", pulse(100).build());
		assertThat(this.pulses.isListed()).isFalse();
		this.pulses.heard("d0", listed(7, "e1").build());
		advance(KeeperPulses.LIST_LIFE.toMillis() - 1);
		this.pulses.heard("d0", pulse(100).build());
		assertThat(this.pulses.isListed()).isTrue();
		advance(1);
		assertThat(this.pulses.isListed()).isFalse();
	}

	@Test
	void oneKeeperInContactIsEnough() {
		this.pulses.heard("d0", pulse(9000).build());
		assertThat(this.pulses.isInContact()).isFalse();
		this.pulses.heard("d1", pulse(100).build());
		assertThat(this.pulses.isInContact()).isTrue();
	}

	private void advance(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static Pulse.Builder pulse(long contactAgeMillis) {
		return Pulse.newBuilder().setContactAgeMs(contactAgeMillis);
	}

	private static Pulse.Builder listed(long version, String entry) {
		return pulse(100).setWithLists(true)
			.setEntries(version)
			.addEntry(Entry.newBuilder().setInstance(entry).setCallerAddress("address of " + entry))
			.addLoad(Load.newBuilder().setUpstream("u").setCalls(3));
	}

	private static Member member(String disk, String zone) {
		return Member.newBuilder().setDisk(disk).setZone(zone).build();
	}

}
