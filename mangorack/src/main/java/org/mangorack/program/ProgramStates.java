package org.mangorack.program;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangorack.call.ProgramKey;
import org.mangorack.journal.proto.Entry;
import org.mangorack.journal.proto.ProgramEnded;
import org.mangorack.journal.proto.ProgramOpened;
import org.mangorack.journal.proto.ReleaseConfirmed;
import org.mangorack.journal.proto.TurnAbandoned;
import org.mangorack.journal.proto.TurnFinished;
import org.mangorack.journal.proto.TurnStarted;
import org.mangorack.observe.MonotonicClock;

/**
 * The in-memory programs of a shard. Applies journal entries to them. Replaying a
 * snapshot after the entries that it was made from gives the same state as replaying the
 * snapshot alone. Guarded by the monitor of the {@link ProgramTable}.
 */
final class ProgramStates {

	private static final int MAX_DEPTH = 100;

	private final MonotonicClock clock;

	private final Map<ProgramKey, ProgramState> programs = new HashMap<>();

	ProgramStates(MonotonicClock clock) {
		this.clock = clock;
	}

	// ---- Accessors

	ProgramState get(ProgramKey key) {
		return this.programs.get(key);
	}

	Collection<ProgramState> all() {
		return this.programs.values();
	}

	void remove(ProgramKey key) {
		this.programs.remove(key);
	}

	ProgramState rootOf(ProgramState program) {
		ProgramState root = this.programs.get(program.key().withProgram(program.root()));
		return (root != null) ? root : program;
	}

	long reservedTokens(ProgramState root) {
		return this.programs.values()
			.stream()
			.filter((p) -> p.key().workspace().equals(root.key().workspace()) && p.root().equals(root.key().program()))
			.flatMap((p) -> p.reservations().values().stream())
			.mapToLong(Long::longValue)
			.sum();
	}

	List<ProgramState> descendants(ProgramState ancestor) {
		return this.programs.values().stream().filter((p) -> isDescendant(p, ancestor)).toList();
	}

	/**
	 * Returns when each program or a live descendant of it was last used.
	 * @param now the time, which is that of the last use of programs with a running turn
	 * @return the times by program, in nanoseconds of the clock
	 */
	Map<ProgramKey, Long> lastUses(long now) {
		Map<ProgramKey, Long> lastUses = new HashMap<>();
		this.programs.forEach((key, program) -> lastUses.put(key, program.lastUsed()));
		for (ProgramState program : this.programs.values()) {
			long used = (program.running() != null) ? now : program.lastUsed();
			ProgramState current = program.isEnded() ? null : program;
			for (int depth = 0; (depth <= MAX_DEPTH) && (current != null); depth++) {
				lastUses.merge(current.key(), used, (a, b) -> (a - b > 0) ? a : b);
				current = (current.parent() != null) ? this.programs.get(current.key().withProgram(current.parent()))
						: null;
			}
		}
		return lastUses;
	}

	// ---- Journal

	void replay(Entry entry) {
		switch (entry.getBodyCase()) {
			case PROGRAM_OPENED ->
				apply(ProgramEntries.key(entry, entry.getProgramOpened().getProgram()), entry.getProgramOpened());
			case TURN_STARTED ->
				apply(ProgramEntries.key(entry, entry.getTurnStarted().getProgram()), entry.getTurnStarted());
			case TURN_FINISHED ->
				apply(ProgramEntries.key(entry, entry.getTurnFinished().getProgram()), entry.getTurnFinished());
			case TURN_ABANDONED ->
				apply(ProgramEntries.key(entry, entry.getTurnAbandoned().getProgram()), entry.getTurnAbandoned());
			case PROGRAM_ENDED ->
				apply(ProgramEntries.key(entry, entry.getProgramEnded().getProgram()), entry.getProgramEnded());
			case RELEASE_CONFIRMED ->
				apply(ProgramEntries.key(entry, entry.getReleaseConfirmed().getProgram()), entry.getReleaseConfirmed());
			case BUDGET_CHARGED -> {
				ProgramState program = this.programs
					.get(ProgramEntries.key(entry, entry.getBudgetCharged().getProgram()));
				if (program != null) {
					program.setCharged(entry.getBudgetCharged().getCharged());
				}
			}
			default -> {
				// The entry belongs to another table.
			}
		}
	}

	void chargeUnknownOutcomes() {
		for (ProgramState program : this.programs.values()) {
			program.reservations().values().forEach((reserved) -> rootOf(program).charge(reserved));
			program.reservations().clear();
		}
	}

	List<Entry> liveEntries() {
		List<Entry> entries = new ArrayList<>();
		List<ProgramState> ordered = new ArrayList<>(this.programs.values());
		ordered.sort((a, b) -> Boolean.compare(b.isRoot(), a.isRoot()));
		for (ProgramState program : ordered) {
			entries.addAll(ProgramEntries.of(program));
		}
		return entries;
	}

	// ---- Entries

	ProgramState open(ProgramKey key, ProgramOpened entry) {
		apply(key, entry);
		return this.programs.get(key);
	}

	void apply(ProgramKey key, ProgramOpened entry) {
		this.programs.computeIfAbsent(key, (k) -> newState(k, entry)).upstreams().addAll(entry.getUpstreamsList());
	}

	void apply(ProgramKey key, TurnStarted entry) {
		ProgramState program = this.programs.get(key);
		if ((program == null) || program.turns().containsKey(entry.getTurn())) {
			return;
		}
		if (!entry.getUpstream().isEmpty()) {
			program.upstreams().add(entry.getUpstream());
		}
		program.reservations().put(entry.getTurn(), entry.getReserved());
	}

	void apply(ProgramKey key, TurnFinished entry) {
		ProgramState program = this.programs.get(key);
		if ((program == null) || program.turns().containsKey(entry.getTurn())) {
			return;
		}
		program.reservations().remove(entry.getTurn());
		program.upstreams().add(entry.getUpstream());
		program.addFinishedTurn(entry);
		rootOf(program).charge(entry.getCharged());
		if (program.isEnded()) {
			program.unreleased().add(entry.getUpstream());
		}
	}

	void apply(ProgramKey key, TurnAbandoned entry) {
		ProgramState program = this.programs.get(key);
		if (program == null) {
			return;
		}
		program.reservations().remove(entry.getTurn());
		rootOf(program).charge(entry.getCharged());
		if (program.isEnded()) {
			program.unreleased().addAll(program.upstreams());
		}
	}

	void apply(ProgramKey key, ProgramEnded entry) {
		ProgramState program = this.programs.computeIfAbsent(key,
				(k) -> new ProgramState(k, k.program(), null, 0, this.clock.nanoTime()));
		program.end(entry.getReason(), entry.getUpstreamsList());
	}

	void apply(ProgramKey key, ReleaseConfirmed entry) {
		ProgramState program = this.programs.get(key);
		if (program != null) {
			program.unreleased().remove(entry.getUpstream());
		}
	}

	// ---- Helpers

	private ProgramState newState(ProgramKey key, ProgramOpened entry) {
		String parent = entry.getParent().isEmpty() ? null : entry.getParent();
		return new ProgramState(key, entry.getRoot(), parent, entry.getBudget(), this.clock.nanoTime());
	}

	private boolean isDescendant(ProgramState candidate, ProgramState ancestor) {
		ProgramState current = candidate;
		for (int depth = 0; (depth < MAX_DEPTH) && (current != null) && (current.parent() != null); depth++) {
			current = this.programs.get(current.key().withProgram(current.parent()));
			if (current == ancestor) {
				return true;
			}
		}
		return false;
	}

}
