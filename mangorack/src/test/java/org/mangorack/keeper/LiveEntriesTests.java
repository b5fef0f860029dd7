package org.mangorack.keeper;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.observe.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LiveEntries}, with a manually advanced clock.
 */
class LiveEntriesTests {

	private long now = 1;

	private final LiveEntries entries = new LiveEntries(() -> this.now, new Metrics());

	@Test
	void anEntryIsListedWhileItSendsHeartbeats() {
		this.entries.recordHeartbeat(beat("e1", true));
		long version = this.entries.version();
		this.entries.recordHeartbeat(beat("e1", true));
		assertThat(this.entries.version()).isEqualTo(version);
		assertThat(this.entries.entries()).extracting(Entry::getInstance).containsExactly("e1");
		advance(LiveEntries.HEARTBEAT_TIMEOUT.toMillis() + 1);
		this.entries.expire();
		assertThat(this.entries.entries()).isEmpty();
		assertThat(this.entries.version()).isGreaterThan(version);
	}

	@Test
	void aStoppingEntryIsNotListedButItsCallsAreCounted() {
		this.entries.recordHeartbeat(beat("e1", true));
		long version = this.entries.version();
		this.entries.recordHeartbeat(beat("e1", false));
		assertThat(this.entries.entries()).isEmpty();
		assertThat(this.entries.version()).isGreaterThan(version);
		assertThat(this.entries.loadOfOtherEntries("e2")).extracting(Load::getCalls).containsExactly(3);
		version = this.entries.version();
		this.entries.recordHeartbeat(beat("e1", false));
		assertThat(this.entries.version()).isEqualTo(version);
	}

	@Test
	void removingAStoppedEntryKeepsTheVersion() {
		this.entries.recordHeartbeat(beat("e1", false));
		long version = this.entries.version();
		advance(LiveEntries.HEARTBEAT_TIMEOUT.toMillis() + 1);
		this.entries.expire();
		assertThat(this.entries.count()).isZero();
		assertThat(this.entries.version()).isEqualTo(version);
	}

	/**
	 * Guards against answers that an entry counts twice, as it counts its own when they
	 * arrive.
	 */
	@Test
	void goodAndBadAnswersAreSummedOverTheOtherEntries() {
		Load.Builder load = Load.newBuilder().setUpstream("u").setGood(2).setBad(1);
		for (String instance : List.of("e1", "e2", "e3")) {
			this.entries.recordHeartbeat(Beat.newBuilder().setInstance(instance).addLoad(load).build());
		}
		Load sum = this.entries.loadOfOtherEntries("e1").get(0);
		assertThat(sum.getGood()).isEqualTo(4);
		assertThat(sum.getBad()).isEqualTo(2);
	}

	@Test
	void anEntryIsNotSentItsOwnCalls() {
		this.entries.recordHeartbeat(beat("e1", true));
		assertThat(this.entries.loadOfOtherEntries("e1")).allMatch((l) -> l.getCalls() == 0);
	}

	@Test
	void aHeartbeatWithTheCurrentVersionGetsNoEntries() {
		this.entries.recordHeartbeat(beat("e1", true));
		Pulse first = pulse(Beat.getDefaultInstance());
		Pulse second = pulse(beatAfter(first));
		assertThat(second.getEntryCount()).isZero();
		assertThat(second.getEntriesSince()).isEqualTo(second.getEntries()).isEqualTo(first.getEntries());
	}

	@Test
	void onlyChangesAfterTheReportedVersionAreSent() {
		this.entries.recordHeartbeat(beat("stays", true));
		this.entries.recordHeartbeat(beat("stops", true));
		this.entries.recordHeartbeat(beat("times out", true));
		Pulse before = pulse(Beat.getDefaultInstance());
		advance(LiveEntries.HEARTBEAT_TIMEOUT.toMillis());
		this.entries.recordHeartbeat(beat("stays", true));
		this.entries.recordHeartbeat(beat("stops", false));
		this.entries.recordHeartbeat(beat("comes", true));
		advance(1);
		this.entries.expire();
		Pulse after = pulse(beatAfter(before));
		assertThat(after.getEntriesSince()).isEqualTo(before.getEntries());
		assertThat(after.getEntryList()).extracting(Entry::getInstance).containsExactly("comes");
		assertThat(after.getEntryGoneList()).containsExactlyInAnyOrder("stops", "times out");
	}

	@Test
	void anEntryThatReturnedIsNotReportedAsRemoved() {
		this.entries.recordHeartbeat(beat("e1", true));
		Pulse before = pulse(Beat.getDefaultInstance());
		this.entries.recordHeartbeat(beat("e1", false));
		this.entries.recordHeartbeat(beat("e1", true));
		Pulse after = pulse(beatAfter(before));
		assertThat(after.getEntryGoneList()).isEmpty();
		assertThat(after.getEntryList()).extracting(Entry::getInstance).containsExactly("e1");
	}

	@ParameterizedTest
	@CsvSource({ "0, -1, true", "0, 0, false", "0, 1, true", "0, -100, true", "1, 0, true", "1, -1, true" })
	void theFullListIsSentOnlyIfTheReportedVersionIsUnknown(long otherStart, long versionOffset, boolean whole) {
		removeOneMoreThanRemembered();
		Pulse now = pulse(Beat.getDefaultInstance());
		long oldestKnown = now.getEntries() - LiveEntries.MAX_REMOVALS;
		long named = ((versionOffset > 0) ? now.getEntries() : oldestKnown) + versionOffset;
		Pulse answer = pulse(
				Beat.newBuilder().setEntriesStart(now.getEntriesStart() + otherStart).setEntries(named).build());
		assertThat(answer.getEntriesSince()).isEqualTo(whole ? 0 : named);
		assertThat(answer.getEntryCount()).isEqualTo(whole ? 1 : 0);
		assertThat(answer.getEntryGoneCount()).isEqualTo(whole ? 0 : LiveEntries.MAX_REMOVALS);
	}

	@Test
	void theNumberOfRememberedRemovalsIsLimited() {
		removeOneMoreThanRemembered();
		assertThat(this.entries.removedCount()).isEqualTo(LiveEntries.MAX_REMOVALS);
	}

	@Test
	void aVersionOfAnotherStartGetsTheFullList() {
		LiveEntries next = new LiveEntries(() -> this.now, new Metrics());
		this.entries.recordHeartbeat(beat("e1", true));
		next.recordHeartbeat(beat("e2", true));
		assertThat(next.version()).isEqualTo(this.entries.version());
		Pulse.Builder answer = Pulse.newBuilder();
		next.addChanges(beatAfter(pulse(Beat.getDefaultInstance())), answer);
		assertThat(answer.getEntriesSince()).isZero();
		assertThat(answer.getEntryList()).extracting(Entry::getInstance).containsExactly("e2");
	}

	// Removes one entry more than are remembered and keeps one listed. Each removal
	// increments the version.
	private void removeOneMoreThanRemembered() {
		this.entries.recordHeartbeat(beat("stays", true));
		for (int i = 0; i <= LiveEntries.MAX_REMOVALS; i++) {
			this.entries.recordHeartbeat(beat("leaves " + i, true));
		}
		for (int i = 0; i <= LiveEntries.MAX_REMOVALS; i++) {
			this.entries.recordHeartbeat(beat("leaves " + i, false));
		}
	}

	private Pulse pulse(Beat beat) {
		Pulse.Builder pulse = Pulse.newBuilder();
		this.entries.addChanges(beat, pulse);
		return pulse.build();
	}

	private static Beat beatAfter(Pulse pulse) {
		return Beat.newBuilder().setEntriesStart(pulse.getEntriesStart()).setEntries(pulse.getEntries()).build();
	}

	private void advance(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static Beat beat(String instance, boolean accepting) {
		return Beat.newBuilder()
			.setInstance(instance)
			.setCallerAddress("address of " + instance)
			.setAccepting(accepting)
			.addLoad(Load.newBuilder().setUpstream("u").setCalls(3))
			.build();
	}

}
