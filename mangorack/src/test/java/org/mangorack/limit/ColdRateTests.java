package org.mangorack.limit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.limit.ColdRate.Sends;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ColdRate}: entries with a virtual clock, which send as often as they
 * may, and a keeper that lists them.
 */
class ColdRateTests {

	private static final String UPSTREAM = "u-1";

	private static final double PER_SECOND = 29;

	private static final double OVERSHOOT = 1.5;

	private static final double SLACK = 5;

	private static final int BOUND = (int) ((PER_SECOND * OVERSHOOT) + SLACK);

	private static final long STEP_MS = 10;

	private static final long HEARTBEAT_MS = 400;

	private static final long LISTED_MS = 1000;

	private static final long MAX_DELAY_MS = 90;

	private final Random random = new Random(7);

	private final List<TestEntry> entries = new ArrayList<>();

	private final Map<String, Long> lastHeartbeats = new TreeMap<>();

	private final List<Long> arrivals = new ArrayList<>();

	private long nowMs = 1;

	// Guards against more requests than a cold upstream stands, from few entries or from
	// more than there are permits, and against one that is left without any.
	@ParameterizedTest
	@CsvSource({ "1", "3", "30", "48", "49", "74", "300" })
	void allEntriesTogetherKeepTheRateAndUseIt(int count) {
		start(count);
		run(6000);
		this.arrivals.clear();
		run(60_000);
		assertThat(mostInASecond()).isLessThanOrEqualTo(BOUND);
		assertThat(this.arrivals.size() / 60.0).isBetween(PER_SECOND * 0.75, PER_SECOND * 1.05);
	}

	// Guards against permits of killed entries that are dealt to others in the same
	// second.
	@ParameterizedTest
	@ValueSource(ints = { 1, 37, 73 })
	void killedEntriesLeaveTheRateKept(int killed) {
		start(74);
		run(6000);
		this.entries.subList(0, killed).clear();
		run(8000);
		assertThat(mostInASecond()).isLessThanOrEqualTo(BOUND);
	}

	// Guards against entries without contact that go on sending their share, which the
	// others have taken over.
	@ParameterizedTest
	@ValueSource(ints = { 1, 37, 74 })
	void entriesWhoseLinksAreCutLeaveTheRateKept(int cut) {
		start(74);
		run(6000);
		this.entries.subList(0, cut).forEach((e) -> e.cut = true);
		run(8000);
		assertThat(mostInASecond()).isLessThanOrEqualTo(BOUND);
		this.entries.forEach((e) -> e.cut = false);
		run(8000);
		assertThat(mostInASecond()).isLessThanOrEqualTo(BOUND);
	}

	// Guards against entries that start with a list of few others and take too much.
	@ParameterizedTest
	@ValueSource(ints = { 1, 10, 73 })
	void entriesThatJoinLeaveTheRateKept(int joining) {
		start(74 - joining);
		run(6000);
		for (int i = 0; i < joining; i++) {
			start(1);
			run(30);
		}
		run(6000);
		assertThat(mostInASecond()).isLessThanOrEqualTo(BOUND);
	}

	// Guards against a restarted entry that uses the permits of its former process again.
	@Test
	void entriesThatRestartLeaveTheRateKept() {
		start(74);
		run(6000);
		for (int i = 0; i < 74; i++) {
			this.entries.set(i, new TestEntry(this.entries.get(i).name));
			run(20);
		}
		run(6000);
		assertThat(mostInASecond()).isLessThanOrEqualTo(BOUND);
	}

	// Guards against a restart of an upstream that is kept waiting for what an earlier
	// start
	// got.
	@Test
	void aRestartOfTheUpstreamStartsAnew() {
		start(1);
		run(6000);
		TestEntry entry = this.entries.get(0);
		while (entry.rate.permits(UPSTREAM, PER_SECOND, entry.sends)) {
			entry.sends.add(now());
		}
		assertThat(entry.rate.permits(UPSTREAM, PER_SECOND, new Sends())).isTrue();
	}

	// Guards against an entry that sends while it stops, when it is no longer listed.
	@Test
	void anEntryThatWithdrewSendsNothing() {
		start(2);
		run(6000);
		TestEntry entry = this.entries.get(0);
		entry.rate.withdraw();
		assertThat(entry.rate.permits(UPSTREAM, PER_SECOND, new Sends())).isFalse();
	}

	// Guards against upstreams that all get their requests from the same few entries.
	@Test
	void theUpstreamsArePermittedToDifferentEntries() {
		start(200);
		run(6000);
		Set<String> permitted = new TreeSet<>();
		for (int i = 0; i < 20; i++) {
			for (TestEntry entry : this.entries) {
				if (entry.rate.permits("upstream-" + i, PER_SECOND, new Sends())) {
					permitted.add(entry.name);
				}
			}
		}
		assertThat(permitted).hasSizeGreaterThan(190);
	}

	private void start(int count) {
		for (int i = 0; i < count; i++) {
			this.entries.add(new TestEntry("entry-" + this.entries.size()));
		}
	}

	private long now() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMs);
	}

	private void run(long millis) {
		long end = this.nowMs + millis;
		while (this.nowMs < end) {
			this.nowMs += STEP_MS;
			this.lastHeartbeats.values().removeIf((at) -> this.nowMs - at > LISTED_MS);
			this.entries.forEach(TestEntry::step);
		}
	}

	private int mostInASecond() {
		Collections.sort(this.arrivals);
		int most = 0;
		int first = 0;
		for (int last = 0; last < this.arrivals.size(); last++) {
			while (this.arrivals.get(last) - this.arrivals.get(first) >= 1000) {
				first++;
			}
			most = Math.max(most, last - first + 1);
		}
		return most;
	}

	/**
	 * An entry that sends as often as it may.
	 */
	private final class TestEntry {

		private final String name;

		private final ColdRate rate;

		private final Sends sends = new Sends();

		private long nextHeartbeat = ColdRateTests.this.nowMs + ColdRateTests.this.random.nextLong(HEARTBEAT_MS);

		private boolean cut;

		private TestEntry(String name) {
			this.name = name;
			this.rate = new ColdRate(ColdRateTests.this::now, name, OVERSHOOT, SLACK);
		}

		private void step() {
			ColdRateTests test = ColdRateTests.this;
			if (test.nowMs >= this.nextHeartbeat) {
				this.nextHeartbeat += HEARTBEAT_MS;
				if (!this.cut) {
					test.lastHeartbeats.put(this.name, test.nowMs);
					this.rate.setEntries(Set.copyOf(test.lastHeartbeats.keySet()), test.now());
				}
			}
			while (this.rate.permits(UPSTREAM, PER_SECOND, this.sends)) {
				this.sends.add(test.now());
				test.arrivals.add(test.nowMs + test.random.nextLong(MAX_DELAY_MS));
			}
		}

	}

}
