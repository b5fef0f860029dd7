package org.mangorack.keeper;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.mangorack.keeper.proto.Turn;

/**
 * The turns that a keeper holds in memory, with the chains that they form. A turn is held
 * until its own retention and that of all turns that continue it have ended, because a
 * turn can only be continued while its whole chain is held. Adding and expiring a turn
 * takes a time that does not depend on the length of its chain. Not thread-safe.
 */
final class TurnIndex {

	private final Map<String, StoredTurn> turns = new HashMap<>();

	// By the id of the continued turn, which may be missing.
	private final Map<String, Set<StoredTurn>> continuations = new HashMap<>();

	private final PriorityQueue<StoredTurn> unexpired = new PriorityQueue<>(
			Comparator.comparingLong(StoredTurn::expiresAt));

	private final TreeMap<Long, Set<StoredTurn>> segments = new TreeMap<>();

	private long bytes;

	// ---- Accessors

	int size() {
		return this.turns.size();
	}

	List<String> ids() {
		return List.copyOf(this.turns.keySet());
	}

	/**
	 * Returns the size of all turns that are held.
	 * @return the size in bytes
	 */
	long bytes() {
		return this.bytes;
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
	String forEachOfChain(String id, Consumer<Turn> consumer) {
		String next = id;
		while (!next.isEmpty()) {
			StoredTurn turn = this.turns.get(next);
			if (turn == null) {
				return next;
			}
			consumer.accept(turn.turn());
			next = turn.previous();
		}
		return "";
	}

	/**
	 * Returns the newest turn of a chain that is not synced to disk here. Follows the
	 * chain only if one is missing.
	 * @param id the id of the newest turn, or an empty string for no turn
	 * @return the id of the missing turn, or an empty string if the chain is whole
	 */
	String newestMissing(String id) {
		String next = id;
		while (!next.isEmpty()) {
			StoredTurn turn = this.turns.get(next);
			if ((turn == null) || !turn.isSynced()) {
				return next;
			}
			next = turn.isChainSynced() ? "" : turn.previous();
		}
		return "";
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
	 * Returns the turns in a log segment.
	 * @param segment the number of the segment
	 * @return an immutable copy of the turns
	 */
	List<StoredTurn> inSegment(long segment) {
		return List.copyOf(this.segments.getOrDefault(segment, Set.of()));
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
		this.turns.put(added.id(), added);
		this.bytes += turn.getSerializedSize();
		this.unexpired.add(added);
		this.segments.computeIfAbsent(segment, (s) -> new HashSet<>()).add(added);
		if (!added.previous().isEmpty()) {
			this.continuations.computeIfAbsent(added.previous(), (p) -> new HashSet<>()).add(added);
		}
		return added;
	}

	/**
	 * Records that a turn is synced to disk.
	 * @param turn the turn
	 */
	void synced(StoredTurn turn) {
		turn.setSynced();
		Deque<StoredTurn> candidates = new ArrayDeque<>(List.of(turn));
		while (!candidates.isEmpty()) {
			StoredTurn candidate = candidates.poll();
			if (candidate.isSynced() && !candidate.isChainSynced() && isChainSynced(candidate.previous())) {
				candidate.setChainSynced();
				candidates.addAll(this.continuations.getOrDefault(candidate.id(), Set.of()));
			}
		}
	}

	/**
	 * Moves a turn to another log segment, unless it was removed in the meantime.
	 * @param turn the turn
	 * @param segment the number of the segment
	 */
	void move(StoredTurn turn, long segment) {
		if (this.turns.get(turn.id()) != turn) {
			return;
		}
		removeFrom(this.segments, turn.segment(), turn);
		turn.setSegment(segment);
		this.segments.computeIfAbsent(segment, (s) -> new HashSet<>()).add(turn);
	}

	/**
	 * Removes the turns whose retention has ended and that no other turn continues.
	 * @param nowMillis the time, in milliseconds
	 */
	void expire(long nowMillis) {
		List<StoredTurn> due = new ArrayList<>();
		while (!this.unexpired.isEmpty() && (this.unexpired.peek().expiresAt() < nowMillis)) {
			StoredTurn turn = this.unexpired.poll();
			turn.setExpired();
			due.add(turn);
		}
		due.forEach(this::removeUnused);
	}

	/**
	 * Ends the retention of some turns early, and removes those that no other turn
	 * continues.
	 * @param ended selects the turns
	 */
	void expire(Predicate<Turn> ended) {
		List<StoredTurn> due = this.unexpired.stream().filter((t) -> ended.test(t.turn())).toList();
		this.unexpired.removeAll(Set.copyOf(due));
		due.forEach(StoredTurn::setExpired);
		due.forEach(this::removeUnused);
	}

	// ---- Helpers

	private boolean isChainSynced(String id) {
		StoredTurn turn = this.turns.get(id);
		return id.isEmpty() || ((turn != null) && turn.isChainSynced());
	}

	// Removes a turn that is no longer needed, and the predecessors that only it needed.
	private void removeUnused(StoredTurn last) {
		StoredTurn turn = last;
		while ((turn != null) && turn.isExpired() && !this.continuations.containsKey(turn.id())) {
			remove(turn);
			turn = this.turns.get(turn.previous());
		}
	}

	private void remove(StoredTurn turn) {
		this.turns.remove(turn.id());
		this.bytes -= turn.turn().getSerializedSize();
		removeFrom(this.segments, turn.segment(), turn);
		removeFrom(this.continuations, turn.previous(), turn);
	}

	private static <K> void removeFrom(Map<K, Set<StoredTurn>> sets, K key, StoredTurn turn) {
		sets.computeIfPresent(key, (k, set) -> {
			set.remove(turn);
			return set.isEmpty() ? null : set;
		});
	}

}
