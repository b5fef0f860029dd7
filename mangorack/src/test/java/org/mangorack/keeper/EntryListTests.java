package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.observe.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EntryList} with replies of {@link LiveEntries} and a manually advanced
 * clock.
 */
class EntryListTests {

	private static final int FLEET_SIZE = 60;

	private static final int RESTARTS = 40;

	/**
	 * The list of start 5 and version 7 contains {@code a} and {@code b}. The heartbeat
	 * replies add {@code c} and remove {@code a}.
	 */
	@ParameterizedTest(name = "start {0}, version {1}, since {2}")
	@CsvSource({ "5, 8, 7, bc, changes from the current version", "5, 9, 6, bc, changes from an earlier version",
			"5, 9, 8, ab, changes were lost before", "5, 7, 6, ab, a repeated reply", "5, 6, 5, ab, an older reply",
			"5, 6, 0, ab, an older full list", "5, 8, 0, c, a newer full list",
			"4, 3, 0, c, the full list of another start", "4, 8, 7, ab, changes of another start" })
	void changesAreAppliedOnlyToAListOfAMatchingVersion(long start, long version, long since, String expected,
			String reason) {
		EntryList list = new EntryList(5, 7, Map.of("a", entry("a"), "b", entry("b")));
		Pulse pulse = Pulse.newBuilder()
			.setEntriesStart(start)
			.setEntries(version)
			.setEntriesSince(since)
			.addEntry(entry("c"))
			.addEntryGone("a")
			.build();
		EntryList after = list.apply(pulse);
		assertThat(String.join("", after.entries().keySet().stream().sorted().toList())).as(reason).isEqualTo(expected);
		boolean taken = !expected.equals("ab");
		assertThat(after).as(reason).satisfies((l) -> assertThat(l == list).isEqualTo(!taken));
		assertThat(after.matches(pulse)).as(reason).isEqualTo(taken || (version == 7));
	}

	/**
	 * Each change of the list is sent to each receiver once, and each entry that starts
	 * gets the full list once.
	 */
	@Test
	void rollingRestartsSendOnlyTheChangesToEachReceiver() {
		Fleet fleet = new Fleet();
		Map<String, EntryList> lists = new HashMap<>();
		for (int i = 0; i < FLEET_SIZE; i++) {
			fleet.keeper.recordHeartbeat(beat("e" + i, true));
			lists.put("e" + i, EntryList.NONE);
		}
		fleet.exchangeHeartbeatReplies(lists);
		long version = fleet.keeper.version();
		fleet.sent = 0;
		for (int i = 0; i < RESTARTS; i++) {
			String restarted = "e" + i;
			fleet.keeper.recordHeartbeat(beat(restarted, false));
			fleet.exchangeHeartbeatReplies(lists);
			lists.put(restarted, EntryList.NONE);
			fleet.keeper.recordHeartbeat(beat(restarted, true));
			fleet.exchangeHeartbeatReplies(lists);
		}
		long changes = fleet.keeper.version() - version;
		assertThat(changes).isEqualTo(2 * RESTARTS);
		assertThat(fleet.sent).isLessThanOrEqualTo(changes * FLEET_SIZE + RESTARTS * FLEET_SIZE);
	}

	/**
	 * Heartbeat replies may be delayed, duplicated, reordered or lost. Those in flight
	 * are lost when the keeper restarts, because its connections are closed.
	 */
	@Property(seed = "24", tries = 2000)
	void theCurrentHeartbeatReplyMakesAListEqualToTheKeepers(@ForAll("steps") List<Step> steps) {
		Fleet fleet = new Fleet();
		EntryList list = EntryList.NONE;
		List<Pulse> inFlight = new ArrayList<>();
		for (Step step : steps) {
			switch (step.action()) {
				case LISTED -> fleet.keeper.recordHeartbeat(beat("e" + step.which(), true));
				case MOVED ->
					fleet.keeper.recordHeartbeat(beat("e" + step.which(), true).toBuilder().setZone("moved").build());
				case STOPPING -> fleet.keeper.recordHeartbeat(beat("e" + step.which(), false));
				case EXPIRE -> {
					fleet.advance(LiveEntries.HEARTBEAT_TIMEOUT.toMillis() / 2);
					fleet.keeper.expire();
				}
				case REQUEST -> inFlight.add(fleet.answer(list));
				case DROP -> {
					if (step.which() < inFlight.size()) {
						inFlight.remove(step.which());
					}
				}
				case DELIVER -> {
					if (!inFlight.isEmpty()) {
						list = list.apply(inFlight.get(step.which() % inFlight.size()));
						fleet.check(list);
					}
				}
				case RESTART -> {
					fleet.restart();
					inFlight.clear();
				}
			}
			fleet.recordList();
		}
		Pulse last = fleet.answer(list);
		list = list.apply(last);
		assertThat(list.matches(last)).isTrue();
		assertThat(list.entries()).isEqualTo(fleet.currentEntries());
	}

	@Provide
	Arbitrary<List<Step>> steps() {
		return Combinators.combine(Arbitraries.of(Action.class), Arbitraries.integers().between(0, 4))
			.as(Step::new)
			.list()
			.ofMaxSize(60);
	}

	private static Entry entry(String instance) {
		return Entry.newBuilder().setInstance(instance).build();
	}

	private static Beat beat(String instance, boolean accepting) {
		return Beat.newBuilder()
			.setInstance(instance)
			.setCallerAddress("address of " + instance)
			.setAccepting(accepting)
			.build();
	}

	/**
	 * The kinds of steps.
	 */
	enum Action {

		LISTED, MOVED, STOPPING, EXPIRE, REQUEST, DROP, DELIVER, RESTART

	}

	/**
	 * A step of a sequence.
	 *
	 * @param action the kind of step
	 * @param which the index of the entry or heartbeat reply that it affects
	 */
	record Step(Action action, int which) {
	}

	/**
	 * A keeper and the history of its lists.
	 */
	private static final class Fleet {

		private final Map<List<Long>, Map<String, Entry>> history = new HashMap<>();

		private long now = 1;

		private LiveEntries keeper = new LiveEntries(() -> this.now, new Metrics());

		private long sent;

		private void advance(long millis) {
			this.now += TimeUnit.MILLISECONDS.toNanos(millis);
		}

		private void restart() {
			this.keeper = new LiveEntries(() -> this.now, new Metrics());
		}

		private Pulse answer(EntryList known) {
			Pulse.Builder pulse = Pulse.newBuilder();
			this.keeper.addChanges(
					Beat.newBuilder().setEntriesStart(known.incarnation()).setEntries(known.version()).build(), pulse);
			this.sent += pulse.getEntryCount() + pulse.getEntryGoneCount();
			return pulse.build();
		}

		private void exchangeHeartbeatReplies(Map<String, EntryList> lists) {
			lists.replaceAll((instance, list) -> list.apply(answer(list)));
			assertThat(lists.values()).allSatisfy((l) -> assertThat(l.entries()).isEqualTo(currentEntries()));
		}

		private Map<String, Entry> currentEntries() {
			Map<String, Entry> currentEntries = new HashMap<>();
			this.keeper.entries().forEach((e) -> currentEntries.put(e.getInstance(), e));
			return currentEntries;
		}

		private void recordList() {
			Pulse now = answer(EntryList.NONE);
			Map<String, Entry> before = this.history.put(List.of(now.getEntriesStart(), now.getEntries()),
					currentEntries());
			assertThat(before).isIn(null, currentEntries());
		}

		// A receiver's list must equal the keeper's list of the same start and version.
		private void check(EntryList list) {
			assertThat(list.entries()).isEqualTo(this.history.get(List.of(list.incarnation(), list.version())));
		}

	}

}
