package org.mangorack.keeper;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.mangorack.keeper.proto.Chain;
import org.mangorack.keeper.proto.Charge;
import org.mangorack.keeper.proto.Charges;
import org.mangorack.keeper.proto.LogEntry;
import org.mangorack.keeper.proto.ProgramCharges;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;

/**
 * Stores the turns and budgets of a keeper in memory and in its log. Not thread-safe.
 */
final class TurnStore {

	/**
	 * Added to the retention of a turn, as its response ends after it was stored.
	 */
	static final Duration RETENTION_MARGIN = Duration.ofSeconds(15);

	/**
	 * The shortest time for which the charges of a program are retained after the last
	 * one. They are retained for longer if the turns of the program are.
	 */
	static final Duration MIN_LEDGER_RETENTION = Duration.ofSeconds(180);

	/**
	 * The error of the time of day that is allowed for on a restart. What was written
	 * longer before than its retention and this time is not retained any further.
	 */
	static final Duration MAX_CLOCK_ERROR = Duration.ofMinutes(10);

	/**
	 * The size of the log, as a multiple of the turns in it that are retained, above
	 * which turns are moved out of its oldest segment.
	 */
	static final int MAX_LOG_RATIO = 2;

	/**
	 * The size in bytes below which no turns are moved.
	 */
	static final long MIN_COMPACTED_BYTES = 4L * RecordLog.SEGMENT_BYTES;

	/**
	 * The size in bytes of the turns that one pass moves, which bounds the time that it
	 * delays requests.
	 */
	static final int MAX_MOVED_BYTES = 1024 * 1024;

	/**
	 * The content of turns that is kept in memory, as a fraction of the largest heap. The
	 * rest is for what is being written, copied and sent.
	 */
	static final double MAX_RESIDENT_FRACTION = 0.33;

	private final RecordLog log;

	private final RunningTime time;

	private final LongSupplier wallClockMillis;

	private final TurnIndex turns;

	private final Map<String, ProgramLedger> programs = new HashMap<>();

	/**
	 * Creates an empty store.
	 * @param log the log that changes are written to
	 * @param clock measures the retention
	 * @param wallClockMillis supplies the time of day in milliseconds. It may be wrong or
	 * change suddenly, but unlike the clock can be compared across restarts
	 */
	TurnStore(RecordLog log, MonotonicClock clock, LongSupplier wallClockMillis) {
		this(log, clock, wallClockMillis, (long) (Runtime.getRuntime().maxMemory() * MAX_RESIDENT_FRACTION));
	}

	/**
	 * Creates an empty store.
	 * @param log the log that changes are written to
	 * @param clock measures the retention
	 * @param wallClockMillis supplies the time of day in milliseconds. It may be wrong or
	 * change suddenly, but unlike the clock can be compared across restarts
	 * @param maxResidentBytes the size of the content of turns to keep in memory, in
	 * bytes
	 */
	TurnStore(RecordLog log, MonotonicClock clock, LongSupplier wallClockMillis, long maxResidentBytes) {
		this.turns = new TurnIndex(maxResidentBytes);
		this.log = log;
		this.time = new RunningTime(clock);
		this.wallClockMillis = wallClockMillis;
	}

	// ---- Life-cycle

	/**
	 * Loads the content of the log into memory. Its retention goes on from the last entry
	 * of the log: the time since then cannot be told from an error of the clock.
	 * @return what was read of the log
	 * @throws IOException if the log cannot be read
	 */
	RecordLog.Replay load() throws IOException {
		RecordLog.Replay replay = this.log.replay((position, entry) -> {
			long segment = position.segment();
			long storedAt = this.time.restore(entry.getRunningMs());
			if (entry.hasTurn()) {
				StoredTurn turn = addIfAbsent(entry.getTurn(), segment, storedAt);
				this.turns.move(turn, segment);
				this.turns.synced(turn, position);
			}
			else {
				ProgramCharges charges = entry.getCharges();
				program(charges.getProgram()).merge(charges, storedAt, entry.getStoredMs(), segment);
			}
		});
		this.turns.expire(this.time.now());
		long timeOfDay = this.wallClockMillis.getAsLong();
		this.turns.expireIf((turn) -> isOutdated(timeOfDay, turn.getStoredMs(), turn.getRetentionMs()));
		this.programs.values().removeIf((p) -> isOutdated(timeOfDay, p.storedMs, p.retention().toMillis()));
		return replay;
	}

	// ---- Accessors

	int turnCount() {
		return this.turns.size();
	}

	/**
	 * Returns the size of the turns that are retained.
	 * @return the size in bytes
	 */
	long turnBytes() {
		return this.turns.bytes();
	}

	/**
	 * Returns the size of the content that is in memory and on disk.
	 * @return the size in bytes
	 */
	long residentBytes() {
		return this.turns.residentBytes();
	}

	/**
	 * Returns the size of the log before its current segment.
	 * @return the size in bytes
	 */
	long logBytes() {
		return this.log.olderBytes();
	}

	int programCount() {
		return this.programs.size();
	}

	List<String> turnIds() {
		return this.turns.ids();
	}

	/**
	 * Returns the turns whose copy a restart would find.
	 * @return the ids of the turns that are synced to disk
	 */
	Set<String> syncedTurnIds() {
		return this.turns.syncedIds();
	}

	/**
	 * Returns the listed turns that a restart may not find.
	 * @return the ids of the turns that are being written to disk
	 */
	List<String> unsyncedTurnIds() {
		Set<String> synced = syncedTurnIds();
		return turnIds().stream().filter((t) -> !synced.contains(t)).toList();
	}

	List<ProgramCharges> ledgers() {
		List<ProgramCharges> all = new ArrayList<>();
		this.programs.forEach((name, p) -> all.add(p.toProto(name)));
		return all;
	}

	/**
	 * Returns turns of limited size.
	 * @param ids the ids of the turns
	 * @param maxBytes the size of the result in bytes. A single turn may be larger
	 * @return those of the turns that are held, in the order of the ids, up to the first
	 * one that there is no room for; empty only if none is held
	 * @throws UncheckedIOException if a turn cannot be read from the disk
	 */
	List<Turn> turns(List<String> ids, int maxBytes) {
		List<Turn> found = new ArrayList<>();
		long bytes = 0;
		for (String id : ids) {
			StoredTurn turn = this.turns.get(id);
			if (turn != null) {
				bytes += turn.turn().getSerializedSize() + (turn.hasContent() ? 0 : turn.bytes());
				if ((bytes > maxBytes) && !found.isEmpty()) {
					return found;
				}
				found.add(content(turn));
			}
		}
		return found;
	}

	/**
	 * Collects a turn and its predecessors.
	 * @param id the id of the newest turn
	 * @return the turns of the chain up to the first one that is missing from this store
	 * @throws UncheckedIOException if a turn cannot be read from the disk
	 */
	Chain.Builder chain(String id) {
		Chain.Builder chain = Chain.newBuilder();
		return chain.setMissing(this.turns.forEachOfChain(id, (turn) -> chain.addTurn(content(turn))));
	}

	/**
	 * Returns the newest turn of a chain that is not synced to disk here.
	 * @param id the id of the newest turn of the chain, or an empty string for no turn
	 * @return the id of the missing turn, or an empty string if the chain is whole
	 */
	String newestMissing(String id) {
		return this.turns.newestMissing(id);
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
	 * Adds or settles charges, unless the log rejects them.
	 * @param charges the charges of one program
	 * @param done receives {@code null} once the charges are synced to disk, or the
	 * failure
	 * @return whether the charges count. If not, the failure was reported
	 */
	boolean charge(ProgramCharges charges, Consumer<IOException> done) {
		IOException rejection = this.log.rejection(charges.getSerializedSize());
		if (rejection != null) {
			done.accept(rejection);
			return false;
		}
		long timeOfDay = this.wallClockMillis.getAsLong();
		long now = this.time.now();
		program(charges.getProgram()).merge(charges, now, timeOfDay, this.log.segment());
		this.log.append(LogEntry.newBuilder().setStoredMs(timeOfDay).setRunningMs(now).setCharges(charges).build(),
				done);
		return true;
	}

	/**
	 * Stores a turn, unless the log rejects it. A turn never changes, so the content that
	 * was stored first is kept, and a turn that is already synced to disk is not written
	 * again.
	 * @param turn the turn
	 * @param done receives {@code null} once the turn is synced to disk, or the failure
	 */
	void storeTurn(Turn turn, Consumer<IOException> done) {
		StoredTurn known = this.turns.get(turn.getId());
		boolean synced = (known != null) && known.isSynced();
		IOException rejection = synced ? null : this.log.rejection(turn.getSerializedSize());
		if (synced || (rejection != null)) {
			done.accept(rejection);
			return;
		}
		long now = this.wallClockMillis.getAsLong();
		Turn stampedTurn = (turn.getStoredMs() != 0) ? turn : turn.toBuilder().setStoredMs(now).build();
		StoredTurn stored = addIfAbsent(stampedTurn, this.log.segment(), this.time.now());
		append(stored, stored.turn(), done);
	}

	/**
	 * Removes turns and charges whose retention has ended, and deletes log segments
	 * without live content. A turn is retained with its whole chain, so one that was
	 * continued lives as long as the youngest of the turns that continue it. Charges that
	 * would keep an older segment alive than the turns do are rewritten to the current
	 * segment, and so are turns if too much of the log is content that is not retained.
	 */
	void expire() {
		long now = this.time.now();
		this.turns.expire(now);
		this.programs.values().removeIf((p) -> now > p.changedAt + p.retention().toMillis());
		try {
			compact();
		}
		catch (UncheckedIOException ex) {
			EventLog.log(Event.LOG_FAILED, ex, "operation", "read");
		}
		long oldestTurnSegment = this.turns.oldestSegment(this.log.segment());
		this.programs.forEach((name, p) -> {
			if (p.oldestSegment < oldestTurnSegment) {
				rewrite(name, p);
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

	private StoredTurn addIfAbsent(Turn turn, long segment, long storedAt) {
		StoredTurn known = this.turns.get(turn.getId());
		if (known != null) {
			return known;
		}
		return this.turns.add(turn, segment, storedAt + heldMillis(turn));
	}

	// What was released is read again; it is not kept, as it is rarely needed twice.
	private Turn content(StoredTurn turn) {
		if (turn.hasContent()) {
			return turn.turn();
		}
		try {
			return this.log.read(turn.position()).getTurn();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static long heldMillis(Turn turn) {
		return turn.getRetentionMs() + RETENTION_MARGIN.toMillis();
	}

	private static boolean isOutdated(long timeOfDay, long storedMs, long retentionMs) {
		return timeOfDay - storedMs > retentionMs + RETENTION_MARGIN.toMillis() + MAX_CLOCK_ERROR.toMillis();
	}

	// Segments are deleted from the oldest one on. A turn of a chain that lives for long
	// would keep the log of all other programs since then.
	private void compact() {
		if (this.log.olderBytes() <= Math.max(MIN_COMPACTED_BYTES, MAX_LOG_RATIO * this.turns.bytes())) {
			return;
		}
		long oldest = this.turns.oldestSegment(this.log.segment());
		int moved = 0;
		for (StoredTurn turn : (oldest < this.log.segment()) ? this.turns.inSegment(oldest) : List.<StoredTurn>of()) {
			if (!turn.isMoving() && (moved < MAX_MOVED_BYTES)) {
				moved += turn.bytes();
				move(turn);
			}
		}
	}

	private void move(StoredTurn turn) {
		Turn content = content(turn);
		long segment = this.log.segment();
		turn.setMoving(true);
		append(turn, content, (failure) -> {
			turn.setMoving(false);
			if (failure == null) {
				this.turns.move(turn, segment);
			}
		});
	}

	private void append(StoredTurn turn, Turn content, Consumer<IOException> done) {
		LogEntry entry = LogEntry.newBuilder()
			.setStoredMs(this.wallClockMillis.getAsLong())
			.setRunningMs(turn.expiresAt() - heldMillis(turn.turn()))
			.setTurn(content)
			.build();
		turn.setLost(false);
		this.log.appendAt(entry, (position, failure) -> {
			if (failure == null) {
				this.turns.synced(turn, position);
			}
			turn.setLost((failure != null) && !turn.isSynced());
			done.accept(failure);
		});
	}

	private void rewrite(String name, ProgramLedger program) {
		long segment = this.log.segment();
		LogEntry entry = LogEntry.newBuilder()
			.setStoredMs(program.storedMs)
			.setRunningMs(program.changedAt)
			.setCharges(program.toProto(name))
			.build();
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
	 * The ledger of a program and the oldest log segment that it depends on.
	 */
	private static final class ProgramLedger {

		private final BudgetLedger ledger = new BudgetLedger();

		// By the running time of the log, in milliseconds.
		private long changedAt;

		// The time of day of the latest change.
		private long storedMs;

		// The longest retention that a charge asked for.
		private long retentionMs;

		private long oldestSegment = Long.MAX_VALUE;

		private void merge(ProgramCharges charges, long now, long timeOfDay, long segment) {
			charges.getChargeList().forEach(this.ledger::merge);
			this.retentionMs = Math.max(this.retentionMs, charges.getRetentionMs());
			this.changedAt = Math.max(this.changedAt, now);
			this.storedMs = Math.max(this.storedMs, timeOfDay);
			this.oldestSegment = Math.min(this.oldestSegment, segment);
		}

		private List<Charge> charges() {
			return this.ledger.charges();
		}

		private Duration retention() {
			Duration asked = Duration.ofMillis(this.retentionMs).plus(RETENTION_MARGIN);
			return (asked.compareTo(MIN_LEDGER_RETENTION) > 0) ? asked : MIN_LEDGER_RETENTION;
		}

		private ProgramCharges toProto(String program) {
			return ProgramCharges.newBuilder()
				.setProgram(program)
				.addAllCharge(charges())
				.setRetentionMs(this.retentionMs)
				.build();
		}

	}

}
