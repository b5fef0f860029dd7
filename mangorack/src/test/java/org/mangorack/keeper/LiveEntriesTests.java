package org.mangorack.keeper;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Load;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LiveEntries}, on a clock that the tests advance.
 */
class LiveEntriesTests {

	private long now = 1;

	private final LiveEntries entries = new LiveEntries(() -> this.now);

	@Test
	void anEntryIsListedWhileItsBeatsCome() {
		this.entries.heard(beat("e1", true));
		long version = this.entries.version();
		this.entries.heard(beat("e1", true));
		assertThat(this.entries.version()).isEqualTo(version);
		assertThat(this.entries.entries()).extracting(Entry::getInstance).containsExactly("e1");
		advance(LiveEntries.SILENCE_LIMIT.toMillis() + 1);
		this.entries.expire();
		assertThat(this.entries.entries()).isEmpty();
		assertThat(this.entries.version()).isGreaterThan(version);
	}

	@Test
	void aStoppingEntryIsNotListedButItsCallsCount() {
		this.entries.heard(beat("e1", true));
		long version = this.entries.version();
		this.entries.heard(beat("e1", false));
		assertThat(this.entries.entries()).isEmpty();
		assertThat(this.entries.version()).isGreaterThan(version);
		assertThat(this.entries.loadBeside("e2")).extracting(Load::getCalls).containsExactly(3);
		version = this.entries.version();
		this.entries.heard(beat("e1", false));
		assertThat(this.entries.version()).isEqualTo(version);
	}

	@Test
	void theEndOfAStoppedEntryIsNoNewList() {
		this.entries.heard(beat("e1", false));
		long version = this.entries.version();
		advance(LiveEntries.SILENCE_LIMIT.toMillis() + 1);
		this.entries.expire();
		assertThat(this.entries.count()).isZero();
		assertThat(this.entries.version()).isEqualTo(version);
	}

	@Test
	void anEntryDoesNotHearOfItsOwnCalls() {
		this.entries.heard(beat("e1", true));
		assertThat(this.entries.loadBeside("e1")).allMatch((l) -> l.getCalls() == 0);
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
