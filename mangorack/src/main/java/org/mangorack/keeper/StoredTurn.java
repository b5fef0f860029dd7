package org.mangorack.keeper;

import java.util.ArrayList;
import java.util.List;

import org.mangorack.keeper.proto.Turn;

/**
 * A turn that a keeper stores, and what the keeper knows about its copy and its chain.
 * Belongs to a {@link TurnIndex}, which changes it.
 */
final class StoredTurn {

	private Turn turn;

	private final int bytes;

	private final long expiresAt;

	// Null until the turn is synced to disk.
	private EntryPosition position;

	private long segment;

	private StoredTurn predecessor;

	// The turns that continue this one and were synced before its chain.
	private List<StoredTurn> waiting = List.of();

	private int continuations;

	private boolean released;

	private boolean expired;

	private boolean moving;

	private boolean lost;

	private boolean synced;

	private boolean chainSynced;

	/**
	 * Creates the stored form of a turn.
	 * @param turn the turn
	 * @param segment the log segment that the turn is in, or an earlier one
	 * @param expiresAt when the retention of the turn itself ends, in milliseconds of the
	 * clock of the index
	 */
	StoredTurn(Turn turn, long segment, long expiresAt) {
		this.turn = turn;
		this.bytes = turn.getInput().size() + turn.getOutput().size();
		this.segment = segment;
		this.expiresAt = expiresAt;
	}

	// ---- Accessors

	/**
	 * Returns the turn.
	 * @return the turn, without its input and output if {@link #hasContent()} is
	 * {@code false}
	 */
	Turn turn() {
		return this.turn;
	}

	/**
	 * Returns whether the input and output are in memory.
	 * @return {@code false} if they have to be read from {@link #position()}
	 */
	boolean hasContent() {
		return !this.released;
	}

	/**
	 * Returns where the turn is on disk.
	 * @return the position, or {@code null} if it is not synced yet
	 */
	EntryPosition position() {
		return this.position;
	}

	String id() {
		return this.turn.getId();
	}

	/**
	 * Returns the id of the turn that this one continues.
	 * @return the id, or an empty string at the start of a chain
	 */
	String previous() {
		return this.turn.getPrevious();
	}

	/**
	 * Returns the turn that this one continues.
	 * @return the turn, or {@code null} if it is not held or there is none
	 */
	StoredTurn predecessor() {
		return this.predecessor;
	}

	/**
	 * Returns the size of the content of the turn.
	 * @return the size in bytes
	 */
	int bytes() {
		return this.bytes;
	}

	long segment() {
		return this.segment;
	}

	long expiresAt() {
		return this.expiresAt;
	}

	/**
	 * Returns whether the turn is needed: its own retention has not ended, or another
	 * turn continues it.
	 * @return {@code true} if the turn must be held
	 */
	boolean isRetained() {
		return !this.expired || (this.continuations > 0);
	}

	/**
	 * Returns whether the turn is being written to another log segment.
	 * @return {@code true} until that write has ended
	 */
	boolean isMoving() {
		return this.moving;
	}

	/**
	 * Returns whether the turn is in memory only, because its last write failed.
	 * @return {@code true} until it is written again
	 */
	boolean isLost() {
		return this.lost;
	}

	boolean isSynced() {
		return this.synced;
	}

	/**
	 * Returns whether the turn and all its predecessors are synced to disk.
	 * @return {@code true} once the whole chain is synced
	 */
	boolean isChainSynced() {
		return this.chainSynced;
	}

	// ---- Changes

	/**
	 * Links the turn to the one that it continues.
	 * @param continued the turn that it continues
	 */
	void setPredecessor(StoredTurn continued) {
		this.predecessor = continued;
		continued.continuations++;
	}

	/**
	 * Releases the turn that this one continues.
	 */
	void releasePredecessor() {
		if (this.predecessor != null) {
			this.predecessor.continuations--;
		}
	}

	/**
	 * Releases the input and output of a turn that is synced to disk.
	 */
	void releaseContent() {
		this.released = true;
		this.turn = this.turn.toBuilder().clearInput().clearOutput().build();
	}

	void setSegment(long segment) {
		this.segment = segment;
	}

	void setMoving(boolean moving) {
		this.moving = moving;
	}

	void setLost(boolean lost) {
		this.lost = lost;
	}

	void setExpired() {
		this.expired = true;
	}

	/**
	 * Records that the turn is synced to disk. Its chain is synced once the predecessors
	 * are as well; the turns that wait for that are then told.
	 * @param syncedAt where it is on disk
	 */
	void setSynced(EntryPosition syncedAt) {
		this.position = syncedAt;
		this.synced = true;
		updateChain();
	}

	/**
	 * Checks whether the chain has become synced, and tells the turns that wait for it.
	 */
	void updateChain() {
		List<StoredTurn> changed = new ArrayList<>(List.of(this));
		while (!changed.isEmpty()) {
			StoredTurn turn = changed.remove(changed.size() - 1);
			changed.addAll(turn.advanceChain());
		}
	}

	// Returns the turns whose chains may have become synced by that.
	private List<StoredTurn> advanceChain() {
		if (!this.synced || this.chainSynced) {
			return List.of();
		}
		if (previous().isEmpty() || ((this.predecessor != null) && this.predecessor.chainSynced)) {
			this.chainSynced = true;
			List<StoredTurn> told = this.waiting;
			this.waiting = List.of();
			return told;
		}
		if (this.predecessor != null) {
			this.predecessor.addWaiting(this);
		}
		return List.of();
	}

	private void addWaiting(StoredTurn continuation) {
		if (this.waiting.isEmpty()) {
			this.waiting = new ArrayList<>();
		}
		this.waiting.add(continuation);
	}

}
