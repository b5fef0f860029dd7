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

	private static final int FLEET = 60;

	private static final int RESTARTS = 40;

	/**
	 * The list of start 5 and version 7 contains {@code a} and {@code b}. The pulses add
	 * {@code c} and remove {@code a}.
	 */
	@ParameterizedTest(name = "start {0}, version {1}, since {2}")
	@CsvSource({ "5, 8, 7, bc, changes from the present version", "5, 9, 6, bc, changes from an earlier version",
			"5, 9, 8, ab, changes were lost before", "5, 7, 6, ab, a repeated pulse", "5, 6, 5, ab, an older pulse",
			"5, 6, 0, ab, an older whole list", "5, 8, 0, c, a newer whole list",
			"4, 3, 0, c, the whole list of another start", "4, 8, 7, ab, changes of another start" })
	void changesAreAppliedOnlyToAListThatTheyContinue(long start, long version, long since, String expected,
			String reason) {
		EntryList list = new EntryList(5, 7, Map.of("a", entry("a"), "b", entry("b")));
		Pulse pulse = Pulse.newBuilder()
			.setEntriesStart(start)
			.setEntries(version)
			.setEntriesSince(since)
			.addEntry(entry("c"))
			.addEntryGone("a")
			.build();
		EntryList after = list.after(pulse);
		assertThat(String.join("", after.entries().keySet().stream().sorted().toList())).as(reason).isEqualTo(expected);
		boolean taken = !expected.equals("ab");
		assertThat(after).as(reason).satisfies((l) -> assertThat(l == list).isEqualTo(!taken));
		assertThat(after.isAsOf(pulse)).as(reason).isEqualTo(taken || (version == 7));
	}

	/**
	 * Each change of the list is sent to each receiver once, and each entry that starts
	 * gets the full list once.
	 */
	@Test
	void restartsInTurnSendEachReceiverTheChangesOnly() {
		Fleet fleet = new Fleet();
		Map<String, EntryList> lists = new HashMap<>();
		for (int i = 0; i < FLEET; i++) {
			fleet.keeper.recordHeartbeat(beat("e" + i, true));
			lists.put("e" + i, EntryList.NONE);
		}
		fleet.exchange(lists);
		long version = fleet.keeper.version();
		fleet.sent = 0;
		for (int i = 0; i < RESTARTS; i++) {
			String restarted = "e" + i;
			fleet.keeper.recordHeartbeat(beat(restarted, false));
			fleet.exchange(lists);
			lists.put(restarted, EntryList.NONE);
			fleet.keeper.recordHeartbeat(beat(restarted, true));
			fleet.exchange(lists);
		}
		long changes = fleet.keeper.version() - version;
		assertThat(changes).isEqualTo(2 * RESTARTS);
		assertThat(fleet.sent).isLessThanOrEqualTo(changes * FLEET + RESTARTS * FLEET);
	}

	/**
	 * Pulses may be delayed, duplicated, reordered or lost. Those in flight are lost when
	 * the keeper restarts, because its connections are closed.
	 */
	@Property(seed = "24", tries = 2000)
	void whoGotThePresentPulseHasTheKeepersList(@ForAll("steps") List<Step> steps) {
		Fleet fleet = new Fleet();
		EntryList list = EntryList.NONE;
		List<Pulse> underway = new ArrayList<>();
		for (Step step : steps) {
			switch (step.action()) {
				case LISTED -> fleet.keeper.recordHeartbeat(beat("e" + step.which(), true));
				case MOVED ->
					fleet.keeper.recordHeartbeat(beat("e" + step.which(), true).toBuilder().setZone("moved").build());
				case STOPPING -> fleet.keeper.recordHeartbeat(beat("e" + step.which(), false));
				case SILENCE -> {
					fleet.advance(LiveEntries.HEARTBEAT_TIMEOUT.toMillis() / 2);
					fleet.keeper.expire();
				}
				case ASK -> underway.add(fleet.answer(list));
				case LOSE -> {
					if (step.which() < underway.size()) {
						underway.remove(step.which());
					}
				}
				case ARRIVE -> {
					if (!underway.isEmpty()) {
						list = list.after(underway.get(step.which() % underway.size()));
						fleet.check(list);
					}
				}
				case RESTART -> {
					fleet.restart();
					underway.clear();
				}
			}
			fleet.note();
		}
		Pulse last = fleet.answer(list);
		list = list.after(last);
		assertThat(list.isAsOf(last)).isTrue();
		assertThat(list.entries()).isEqualTo(fleet.present());
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

		LISTED, MOVED, STOPPING, SILENCE, ASK, LOSE, ARRIVE, RESTART

	}

	/**
	 * A step of a sequence.
	 *
	 * @param action the kind of step
	 * @param which the index of the entry or pulse that it affects
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
			this.keeper.addChanges(Beat.newBuilder().setEntriesStart(known.start()).setEntries(known.version()).build(),
					pulse);
			this.sent += pulse.getEntryCount() + pulse.getEntryGoneCount();
			return pulse.build();
		}

		private void exchange(Map<String, EntryList> lists) {
			lists.replaceAll((instance, list) -> list.after(answer(list)));
			assertThat(lists.values()).allSatisfy((l) -> assertThat(l.entries()).isEqualTo(present()));
		}

		private Map<String, Entry> present() {
			Map<String, Entry> present = new HashMap<>();
			this.keeper.entries().forEach((e) -> present.put(e.getInstance(), e));
			return present;
		}

		private void note() {
			Pulse now = answer(EntryList.NONE);
			Map<String, Entry> before = this.history.put(List.of(now.getEntriesStart(), now.getEntries()), present());
			assertThat(before).isIn(null, present());
		}

		// A receiver's list must equal the keeper's list of the same start and version.
		private void check(EntryList list) {
			assertThat(list.entries()).isEqualTo(this.history.get(List.of(list.start(), list.version())));
		}

	}

}
