package org.mangorack.relay;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Pulse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeeperReplies}, with a simulated clock.
 */
class KeeperRepliesTests {

	private static final List<Member> MEMBERS = List.of(member("d0", "a"), member("d1", "b"), member("d2", "c"));

	private long now = 1;

	private final KeeperReplies replies = new KeeperReplies(() -> this.now, "b");

	@Test
	void listsAreRequestedFromTheNearestKeeperAndTheOthersInTurn() {
		Set<String> all = new HashSet<>();
		for (int i = 0; i < 3; i++) {
			Set<String> sources = this.replies.listSources(MEMBERS);
			assertThat(sources).contains("d1").hasSizeLessThanOrEqualTo(2);
			all.addAll(sources);
		}
		assertThat(all).containsExactlyInAnyOrder("d0", "d1", "d2");
	}

	@Test
	void aKeeperWithoutPlatformContactIsNotPreferred() {
		this.replies.update("d1", pulse(9000).build());
		int asked = 0;
		for (int i = 0; i < 6; i++) {
			asked += this.replies.listSources(MEMBERS).contains("d1") ? 1 : 0;
		}
		assertThat(asked).isEqualTo(2);
	}

	@Test
	void aReplyWithoutListsKeepsThePreviousLists() {
		this.replies.update("d1", listed(7, "e1").build());
		this.replies.update("d1", pulse(100).build());
		assertThat(this.replies.addresses()).containsExactly("address of e1");
		assertThat(this.replies.known("d1").entries().version()).isEqualTo(7);
		assertThat(this.replies.loadOfOtherEntries()).hasSize(1);
	}

	@Test
	void anUnchangedListIsKept() {
		this.replies.update("d1", listed(7, "e1").build());
		this.replies.update("d1", pulse(100).setWithLists(true).setEntries(7).build());
		assertThat(this.replies.addresses()).containsExactly("address of e1");
	}

	@Test
	void changesAreAppliedToTheListOfTheirKeeper() {
		this.replies.update("d0", listed(7, "e1").setEntriesStart(5).build());
		this.replies.update("d1", listed(7, "e2").setEntriesStart(6).build());
		this.replies.update("d0", listed(8, "e3").setEntriesStart(5).setEntriesSince(7).addEntryGone("e1").build());
		assertThat(this.replies.addresses()).containsExactly("address of e2", "address of e3");
	}

	@Test
	void changesToAnUnknownListDoNotConfirmTheList() {
		this.replies.update("d0", listed(7, "e1").setEntriesStart(5).build());
		advance(KeeperReplies.MAX_LIST_AGE.toMillis() - 1);
		this.replies.update("d0", listed(9, "e2").setEntriesStart(5).setEntriesSince(8).build());
		assertThat(this.replies.known("d0").entries().version()).isEqualTo(7);
		assertThat(this.replies.addresses()).containsExactly("address of e1");
		advance(1);
		assertThat(this.replies.hasCurrentList()).isFalse();
	}

	@Test
	void anOutdatedListIsIgnoredOnceANewerOneArrives() {
		this.replies.update("d0", listed(7, "e1").build());
		advance(2000);
		this.replies.update("d0", pulse(100).build());
		this.replies.update("d1", listed(9, "e2").build());
		assertThat(this.replies.addresses()).containsExactly("address of e2");
	}

	@Test
	void onlyTheNewestLoadIsReported() {
		this.replies.update("d0", listed(7, "e1").build());
		this.replies.update("d1", listed(7, "e1").build());
		assertThat(this.replies.loadOfOtherEntries()).hasSize(2);
		advance(200);
		this.replies.update("d1", listed(7, "e1").build());
		assertThat(this.replies.loadOfOtherEntries()).hasSize(1);
	}

	@Test
	void theLastListIsKeptWhileNoKeeperAnswers() {
		this.replies.update("d0", listed(7, "e1").build());
		advance(60_000);
		assertThat(this.replies.addresses()).containsExactly("address of e1");
		assertThat(this.replies.hasPlatformContact()).isFalse();
	}

	@Test
	void aListIsPassedOnOnlyWhileItIsCurrent() {
		assertThat(this.replies.hasCurrentList()).isFalse();
		this.replies.update("d0", pulse(100).build());
		assertThat(this.replies.hasCurrentList()).isFalse();
		this.replies.update("d0", listed(7, "e1").build());
		advance(KeeperReplies.MAX_LIST_AGE.toMillis() - 1);
		this.replies.update("d0", pulse(100).build());
		assertThat(this.replies.hasCurrentList()).isTrue();
		advance(1);
		assertThat(this.replies.hasCurrentList()).isFalse();
	}

	@Test
	void oneKeeperWithPlatformContactIsEnough() {
		this.replies.update("d0", pulse(9000).build());
		assertThat(this.replies.hasPlatformContact()).isFalse();
		this.replies.update("d1", pulse(100).build());
		assertThat(this.replies.hasPlatformContact()).isTrue();
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

	// Guards against addresses of entries that were killed longer ago than callers may be
	// told of them (7 s), while the keepers reply, while all of them are silent, and
	// while
	// only one that does not list the entry replies. Keepers drop an entry 1 s after its
	// last heartbeat.
	@ParameterizedTest
	@ValueSource(strings = { "all", "none", "one" })
	void theDirectoryDoesNotNameAnEntryThatWasKilledLongAgo(String replying) {
		this.replies.update("d0", listed(7, "e1").setEntriesStart(5).build());
		this.replies.update("d1", listed(7, "e1").setEntriesStart(6).build());
		advance(1400);
		for (int i = 0; i < 14; i++) {
			advance(400);
			if (replying.equals("all")) {
				this.replies.update("d0",
						listed(8, "e2").setEntriesStart(5).setEntriesSince(7).addEntryGone("e1").build());
			}
			if (!replying.equals("none")) {
				this.replies.update("d1",
						listed(8, "e2").setEntriesStart(6).setEntriesSince(7).addEntryGone("e1").build());
			}
		}
		boolean named = this.replies.hasCurrentList() && this.replies.addresses().contains("address of e1");
		assertThat(named).isFalse();
	}

	private static Member member(String disk, String zone) {
		return Member.newBuilder().setDisk(disk).setZone(zone).build();
	}

}
