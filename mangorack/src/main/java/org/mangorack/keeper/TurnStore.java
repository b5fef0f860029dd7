package org.mangorack.keeper;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.mangorack.keeper.proto.Chain;
import org.mangorack.keeper.proto.Charge;
import org.mangorack.keeper.proto.Charges;
import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Turn;

/**
 * Stores the turns and budgets of a keeper in memory and in its log. Not thread-safe.
 */
final class TurnStore {

	/**
	 * Added to the retention of a turn, to allow for clock differences between instances
	 * and for turns whose response ends after they were stored.
	 */
	static final Duration RETENTION_MARGIN = Duration.ofSeconds(15);

	/**
	 * How long the charges of a program are retained after the last one. Longer than the
	 * retention of turns, because a stopped program may resume during that time.
	 */
	static final Duration LEDGER_RETENTION = Duration.ofSeconds(180);

	private final RecordLog log;

	private final LongSupplier wallClockMillis;

	private final Map<String, StoredTurn> turns = new HashMap<>();

	private final Map<String, ProgramLedger> programs = new HashMap<>();

	/**
	 * Creates an empty store.
	 * @param log the log that changes are written to
	 * @param wallClockMillis supplies the time of day in milliseconds, which unlike a
	 * monotonic clock can be compared across restarts
	 */
	TurnStore(RecordLog log, LongSupplier wallClockMillis) {
		this.log = log;
		this.wallClockMillis = wallClockMillis;
	}

	// ---- Life-cycle

	/**
	 * Loads the content of the log into memory.
	 * @throws IOException if the log cannot be read
	 */
	void load() throws IOException {
		this.log.replay((segment, entry) -> {
			if (entry.hasTurn()) {
				this.turns.put(entry.getTurn().getId(), new StoredTurn(entry.getTurn(), segment));
			}
			else {
				ProgramCharges charges = entry.getCharges();
				program(charges.getProgram()).merge(charges.getChargeList(), entry.getStoredMs(), segment);
			}
		});
	}

	// ---- Accessors

	int turnCount() {
		return this.turns.size();
	}

	int programCount() {
		return this.programs.size();
	}

	List<String> turnIds() {
		return List.copyOf(this.turns.keySet());
	}

	List<ProgramCharges> ledgers() {
		List<ProgramCharges> all = new ArrayList<>();
		this.programs.forEach(
				(name, p) -> all.add(ProgramCharges.newBuilder().setProgram(name).addAllCharge(p.charges()).build()));
		return all;
	}

	List<Turn> turns(List<String> ids) {
		List<Turn> found = new ArrayList<>();
		ids.forEach((id) -> {
			StoredTurn turn = this.turns.get(id);
			if (turn != null) {
				found.add(turn.turn());
			}
		});
		return found;
	}

	/**
	 * Collects a turn and its predecessors.
	 * @param id the id of the newest turn
	 * @return the turns of the chain up to the first one that is missing from this store
	 */
	Chain.Builder chain(String id) {
		Chain.Builder chain = Chain.newBuilder();
		String next = id;
		while (!next.isEmpty()) {
			StoredTurn turn = this.turns.get(next);
			if (turn == null) {
				return chain.setMissing(next);
			}
			chain.addTurn(turn.turn());
			next = turn.turn().getPrevious();
		}
		return chain;
	}

	/**
	 * Returns the charges of a program.
	 * @param program the name of the program
	 * @return its charges; empty if there are none
	 */
	Charges charges(String program) {
		ProgramLedger known = this.programs.get(program);
		return (known != null) ? Charges.newBuilder().addAllCharge(known.charges()).build()
				: Charges.getDefaultInstance();
	}

	// ---- Changes

	/**
	 * Adds or settles charges.
	 * @param charges the charges of one program
	 * @param done receives {@code null} once the charges are synced to disk, or the
	 * failure
	 */
	void charge(ProgramCharges charges, Consumer<IOException> done) {
		long now = this.wallClockMillis.getAsLong();
		program(charges.getProgram()).merge(charges.getChargeList(), now, this.log.segment());
		this.log.append(LogEntry.newBuilder().setStoredMs(now).setCharges(charges).build(), done);
	}

	/**
	 * Stores a turn.
	 * @param turn the turn
	 * @param done receives {@code null} once the turn is synced to disk, or the failure
	 */
	void storeTurn(Turn turn, Consumer<IOException> done) {
		long now = this.wallClockMillis.getAsLong();
		Turn stampedTurn = (turn.getStoredMs() != 0) ? turn : turn.toBuilder().setStoredMs(now).build();
		this.turns.put(stampedTurn.getId(), new StoredTurn(stampedTurn, this.log.segment()));
		this.log.append(LogEntry.newBuilder().setStoredMs(now).setTurn(stampedTurn).build(), done);
	}

	/**
	 * Removes turns and charges whose retention has ended, and deletes log segments
	 * without live content. Charges that would keep an older segment alive than the turns
	 * do are rewritten to the current segment.
	 */
	void expire() {
		long now = this.wallClockMillis.getAsLong();
		long oldest = this.log.segment();
		Iterator<StoredTurn> turnIterator = this.turns.values().iterator();
		while (turnIterator.hasNext()) {
			StoredTurn turn = turnIterator.next();
			if (now > turn.turn().getStoredMs() + turn.turn().getRetentionMs() + RETENTION_MARGIN.toMillis()) {
				turnIterator.remove();
			}
			else {
				oldest = Math.min(oldest, turn.segment());
			}
		}
		this.programs.values().removeIf((p) -> now > p.lastChangeMs + LEDGER_RETENTION.toMillis());
		long oldestTurnSegment = oldest;
		this.programs.forEach((name, p) -> {
			if (p.oldestSegment < oldestTurnSegment) {
				rewrite(name, p, now);
			}
		});
		long oldestLedgerSegment = this.programs.values()
			.stream()
			.mapToLong((p) -> p.oldestSegment)
			.min()
			.orElse(oldestTurnSegment);
		this.log.deleteBefore(Math.min(oldestTurnSegment, oldestLedgerSegment));
	}

	// ---- Helpers

	private void rewrite(String name, ProgramLedger program, long now) {
		long segment = this.log.segment();
		ProgramCharges charges = ProgramCharges.newBuilder().setProgram(name).addAllCharge(program.charges()).build();
		LogEntry entry = LogEntry.newBuilder().setStoredMs(program.lastChangeMs).setCharges(charges).build();
		this.log.append(entry, (failure) -> {
			if (failure == null) {
				program.oldestSegment = segment;
			}
		});
	}

	private ProgramLedger program(String name) {
		return this.programs.computeIfAbsent(name, (n) -> new ProgramLedger());
	}

	/**
	 * A turn and the log segment that it is stored in.
	 *
	 * @param turn the turn
	 * @param segment the number of the segment
	 */
	private record StoredTurn(Turn turn, long segment) {
	}

	/**
	 * The ledger of a program and the oldest log segment that it depends on.
	 */
	private static final class ProgramLedger {

		private final BudgetLedger ledger = new BudgetLedger();

		private long lastChangeMs;

		private long oldestSegment = Long.MAX_VALUE;

		private void merge(List<Charge> charges, long time, long segment) {
			charges.forEach(this.ledger::merge);
			this.lastChangeMs = Math.max(this.lastChangeMs, time);
			this.oldestSegment = Math.min(this.oldestSegment, segment);
		}

		private List<Charge> charges() {
			return this.ledger.charges();
		}

	}

}
