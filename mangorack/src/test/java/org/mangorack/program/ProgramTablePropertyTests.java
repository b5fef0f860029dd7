package org.mangorack.program;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.mangorack.call.Jsons;
import org.mangorack.call.ProgramKey;
import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Workspace;
import org.mangorack.journal.proto.Entry;
import org.mangorack.observe.Invariants;
import org.mangorack.observe.ManualClock;
import org.mangorack.ownership.ShardLog;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Applies random operations to a program table. Guards against journal entries and
 * snapshots that do not rebuild the table they were written for, against budgets that are
 * exceeded, and against turns that are recorded out of order.
 */
class ProgramTablePropertyTests {

	private static final WorkspaceId WORKSPACE = new WorkspaceId("w");

	private static final long BUDGET = 900;

	private static final Workspace SETTINGS = new Workspace(WORKSPACE, 1, 1, 1, 50, Duration.ofMinutes(1), BUDGET,
			Set.of());

	private final ManualClock clock = new ManualClock();

	@Property(seed = "815", tries = 200)
	void journalRebuildsTheTable(@ForAll long seed, @ForAll @IntRange(min = 1, max = 80) int steps) {
		RecordingLog log = new RecordingLog();
		ProgramTable table = new ProgramTable(new Object(), log, this.clock);
		applyRandomOperations(table, new Random(seed), steps);
		assertThat(state(replay(log.entries))).isEqualTo(state(table));
	}

	@Property(seed = "816", tries = 200)
	void copyRebuildsTheTableAloneAndAfterItsSource(@ForAll long seed, @ForAll @IntRange(min = 1, max = 80) int steps) {
		RecordingLog log = new RecordingLog();
		ProgramTable table = new ProgramTable(new Object(), log, this.clock);
		applyRandomOperations(table, new Random(seed), steps);
		List<Entry> copy = table.liveEntries();
		assertThat(state(replay(copy))).isEqualTo(state(table));
		List<Entry> both = new ArrayList<>(log.entries);
		both.addAll(copy);
		assertThat(state(replay(both))).isEqualTo(state(table));
	}

	@Property(seed = "817", tries = 200)
	void budgetHoldsAndTurnsAreInOrder(@ForAll long seed, @ForAll @IntRange(min = 1, max = 120) int steps) {
		long violations = Invariants.violations();
		ProgramTable table = new ProgramTable(new Object(), new RecordingLog(), this.clock);
		applyRandomOperations(table, new Random(seed), steps);
		table.views().forEach((view) -> {
			assertThat(view.charged() + view.reserved()).isLessThanOrEqualTo(BUDGET);
			int messages = table.history(new ProgramKey(WORKSPACE, view.program())).orElseThrow().size();
			assertThat(messages).isEqualTo(view.turns() * 2);
		});
		assertThat(Invariants.violations()).isEqualTo(violations);
	}

	// ---- Helpers

	/**
	 * Begins, finishes and abandons turns and ends programs at random. Turns that are
	 * still in progress at the end are abandoned, because a replayed table has none.
	 */
	private void applyRandomOperations(ProgramTable table, Random random, int steps) {
		Map<String, TurnDecision.Run> running = new TreeMap<>();
		for (int i = 0; i < steps; i++) {
			String program = "p" + random.nextInt(4);
			TurnDecision.Run run = running.remove(program);
			if (run == null) {
				begin(table, random, program).ifPresent((begun) -> running.put(program, begun));
			}
			else {
				complete(table, random, run);
			}
			if (random.nextInt(25) == 0) {
				table.end(new ProgramKey(WORKSPACE, program), "test");
			}
			if (random.nextInt(10) == 0) {
				table.unconfirmedReleases().stream().findFirst().ifPresent(table::confirmRelease);
			}
		}
		running.values().forEach((run) -> table.abandon(run, run.reserved()));
	}

	private Optional<TurnDecision.Run> begin(ProgramTable table, Random random, String program) {
		int turn = 1 + table.view(new ProgramKey(WORKSPACE, program)).map(ProgramView::turns).orElse(0);
		int asked = Math.max(1, turn + random.nextInt(3) - 1);
		boolean child = !program.equals("p0");
		Either<Refusal, TurnDecision> start = table.begin(request(program, asked, child ? "p0" : null), "p0", SETTINGS);
		if (start.isRight() && (start.get() instanceof TurnDecision.Run run)) {
			table.recordStart(run, "u" + random.nextInt(3));
			return Optional.of(run);
		}
		return Optional.empty();
	}

	private static void complete(ProgramTable table, Random random, TurnDecision.Run run) {
		if (random.nextInt(4) == 0) {
			table.abandon(run, random.nextBoolean() ? 0 : run.reserved());
			return;
		}
		ObjectNode message = Jsons.object().put("role", "assistant").put("content", "a" + random.nextInt());
		long used = (run.reserved() > 0) ? random.nextInt((int) run.reserved()) : 0;
		table.finish(run, Jsons.object(), message, used, "u" + random.nextInt(3));
	}

	private static TurnRequest request(String program, int turn, String parent) {
		ObjectNode body = Jsons.object().put("model", "m").put("max_tokens", 5);
		List<JsonNode> messages = List.of(Jsons.object().put("role", "user").put("content", program + turn));
		return new TurnRequest(new ProgramKey(WORKSPACE, program), turn, parent, -1, HistoryMode.APPEND, body, messages,
				program + turn);
	}

	private ProgramTable replay(List<Entry> entries) {
		ProgramTable table = new ProgramTable(new Object(), new RecordingLog(), this.clock);
		entries.forEach(table::replay);
		table.replayCompleted();
		return table;
	}

	private static Map<String, String> state(ProgramTable table) {
		Map<String, String> state = new TreeMap<>();
		table.views().forEach((view) -> {
			ProgramKey key = new ProgramKey(WORKSPACE, view.program());
			state.put(view.program(), view + " " + table.history(key).orElseThrow());
		});
		List<String> releases = table.unconfirmedReleases().stream().map(Object::toString).sorted().toList();
		state.put("releases", releases.toString());
		return state;
	}

	private static final class RecordingLog implements ShardLog {

		private final List<Entry> entries = new ArrayList<>();

		@Override
		public CompletableFuture<Void> append(List<Entry> added) {
			this.entries.addAll(added);
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public boolean isFirstOwner() {
			return true;
		}

	}

}
