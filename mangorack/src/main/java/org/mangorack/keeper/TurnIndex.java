package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.mangorack.keeper.proto.Turn;

/**
 * The turns that a keeper holds in memory, with the chains that they form. A turn is held
 * until its own retention and that of all turns that continue it have ended, because a
 * turn can only be continued while its whole chain is held. Adding and expiring a turn
 * takes a time that does not depend on the length of its chain. Not thread-safe.
 */
final class TurnIndex {

	private final Map<String, StoredTurn> turns = new HashMap<>();

	// Turns whose predecessor is not held, by its id.
	private final Map<String, List<StoredTurn>> orphans = new HashMap<>();

	private final PriorityQueue<StoredTurn> unexpired = new PriorityQueue<>(
			Comparator.comparingLong(StoredTurn::expiresAt));

	// The number of turns in each log segment.
	private final TreeMap<Long, Integer> segments = new TreeMap<>();

	private final ResidentTurns resident;

	private long bytes;

	/**
	 * Creates an empty index.
	 * @param maxResidentBytes the size of the content to keep in memory, in bytes,
	 * besides what is not synced to disk
	 */
	TurnIndex(long maxResidentBytes) {
		this.resident = new ResidentTurns(maxResidentBytes);
	}

	// ---- Accessors

	int size() {
		return this.turns.size();
	}

	/**
	 * Returns the turns that are on disk or being written. A turn whose write failed is
	 * not one of them, or a disk that copies what it lacks would leave it out.
	 * @return the ids of the turns
	 */
	List<String> ids() {
		return this.turns.values().stream().filter((t) -> !t.isLost()).map(StoredTurn::id).toList();
	}

	/**
	 * Returns the turns whose copy is synced to disk.
	 * @return the ids of the turns
	 */
	Set<String> syncedIds() {
		return this.turns.values()
			.stream()
			.filter(StoredTurn::isSynced)
			.map(StoredTurn::id)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns the size of the content of all turns that are held.
	 * @return the size in bytes
	 */
	long bytes() {
		return this.bytes;
	}

	/**
	 * Returns the size of the content that is in memory and on disk.
	 * @return the size in bytes
	 */
	long residentBytes() {
		return this.resident.bytes();
	}

	/**
	 * Returns a turn.
	 * @param id the id of the turn
	 * @return the turn, or {@code null} if it is not held
	 */
	StoredTurn get(String id) {
		return this.turns.get(id);
	}

	/**
	 * Passes on a turn and its predecessors, newest first.
	 * @param id the id of the newest turn
	 * @param consumer receives each turn up to the first one that is missing
	 * @return the id of the missing turn, or an empty string if the chain is whole
	 */
	String forEachOfChain(String id, Consumer<StoredTurn> consumer) {
		String next = id;
		for (StoredTurn turn = this.turns.get(id); turn != null; turn = turn.predecessor()) {
			consumer.accept(turn);
			next = turn.previous();
		}
		return next;
	}

	/**
	 * Returns the newest turn of a chain that is not synced to disk here. Follows the
	 * chain only if one is missing.
	 * @param id the id of the newest turn, or an empty string for no turn
	 * @return the id of the missing turn, or an empty string if the chain is whole
	 */
	String newestMissing(String id) {
		String next = id;
		for (StoredTurn turn = this.turns.get(id); turn != null; turn = turn.predecessor()) {
			if (turn.isChainSynced()) {
				return "";
			}
			if (!turn.isSynced()) {
				return turn.id();
			}
			next = turn.previous();
		}
		return next;
	}

	/**
	 * Returns the oldest log segment that holds a turn.
	 * @param otherwise the default value
	 * @return the number of the segment, or the default value if no turn is held
	 */
	long oldestSegment(long otherwise) {
		return this.segments.isEmpty() ? otherwise : Math.min(otherwise, this.segments.firstKey());
	}

	/**
	 * Returns the turns in a log segment. Searches all turns.
	 * @param segment the number of the segment
	 * @return the turns
	 */
	List<StoredTurn> inSegment(long segment) {
		return this.turns.values().stream().filter((t) -> t.segment() == segment).toList();
	}

	// ---- Changes

	/**
	 * Adds a turn. Its id must not be held yet.
	 * @param turn the turn
	 * @param segment the log segment that the turn is in, or an earlier one
	 * @param expiresAt when the retention of the turn itself ends, in milliseconds of the
	 * clock that {@link #expire} is called with
	 * @return the stored turn
	 */
	StoredTurn add(Turn turn, long segment, long expiresAt) {
		StoredTurn added = new StoredTurn(turn, segment, expiresAt);
		// Linked before it can be found, so that a turn that names itself has no
		// predecessor.
		adoptOrphans(added);
		StoredTurn predecessor = this.turns.get(added.previous());
		if (predecessor != null) {
			added.setPredecessor(predecessor);
		}
		else if (!added.previous().isEmpty()) {
			this.orphans.computeIfAbsent(added.previous(), (p) -> new ArrayList<>()).add(added);
		}
		this.turns.put(added.id(), added);
		this.bytes += added.bytes();
		this.unexpired.add(added);
		this.segments.merge(segment, 1, Integer::sum);
		return added;
	}

	/**
	 * Records that a turn is synced to disk.
	 * @param turn the turn
	 * @param position where it is on disk
	 */
	void synced(StoredTurn turn, EntryPosition position) {
		turn.setSynced(position);
		if (this.turns.get(turn.id()) == turn) {
			this.resident.add(turn);
		}
	}

	/**
	 * Moves a turn to another log segment, unless it was removed in the meantime.
	 * @param turn the turn
	 * @param segment the number of the segment
	 */
	void move(StoredTurn turn, long segment) {
		if ((segment != turn.segment()) && (this.turns.get(turn.id()) == turn)) {
			leaveSegment(turn);
			turn.setSegment(segment);
			this.segments.merge(segment, 1, Integer::sum);
		}
	}

	/**
	 * Removes the turns whose retention has ended and that no other turn continues.
	 * @param nowMillis the time, in milliseconds
	 */
	void expire(long nowMillis) {
		while (!this.unexpired.isEmpty() && (this.unexpired.peek().expiresAt() < nowMillis)) {
			expire(this.unexpired.poll());
		}
	}

	/**
	 * Ends the retention of some turns early, and removes those that no other turn
	 * continues.
	 * @param ended selects the turns
	 */
	void expireIf(Predicate<Turn> ended) {
		List<StoredTurn> due = new ArrayList<>();
		for (StoredTurn turn : this.unexpired) {
			if (ended.test(turn.turn())) {
				due.add(turn);
			}
		}
		if (!due.isEmpty()) {
			this.unexpired.removeAll(Set.copyOf(due));
			due.forEach(this::expire);
		}
	}

	// ---- Helpers

	private void adoptOrphans(StoredTurn added) {
		List<StoredTurn> continuations = this.orphans.remove(added.id());
		if (continuations != null) {
			for (StoredTurn continuation : continuations) {
				continuation.setPredecessor(added);
				continuation.updateChain();
			}
		}
	}

	// Removes the turn if it is no longer needed, and the predecessors that only it
	// needed.
	private void expire(StoredTurn last) {
		last.setExpired();
		StoredTurn turn = last;
		while ((turn != null) && !turn.isRetained()) {
			remove(turn);
			turn = turn.predecessor();
		}
	}

	private void remove(StoredTurn turn) {
		this.turns.remove(turn.id());
		this.resident.remove(turn);
		this.bytes -= turn.bytes();
		leaveSegment(turn);
		turn.releasePredecessor();
		if (turn.predecessor() == null) {
			this.orphans.computeIfPresent(turn.previous(), (p, waiting) -> {
				waiting.remove(turn);
				return waiting.isEmpty() ? null : waiting;
			});
		}
	}

	private void leaveSegment(StoredTurn turn) {
		this.segments.computeIfPresent(turn.segment(), (s, count) -> (count > 1) ? (count - 1) : null);
	}

}
