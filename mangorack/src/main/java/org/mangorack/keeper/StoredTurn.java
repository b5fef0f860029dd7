package org.mangorack.keeper;

import org.mangorack.keeper.proto.Turn;

/**
 * A turn that a keeper stores, and what the keeper knows about its copy. Belongs to a
 * {@link TurnIndex}, which changes it.
 */
final class StoredTurn {

	private final Turn turn;

	private final long expiresAt;

	private long segment;

	private boolean expired;

	private boolean moving;

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
		this.segment = segment;
		this.expiresAt = expiresAt;
	}

	// ---- Accessors

	Turn turn() {
		return this.turn;
	}

	String id() {
		return this.turn.getId();
	}

	/**
	 * Returns the turn that this one continues.
	 * @return its id, or an empty string at the start of a chain
	 */
	String previous() {
		return this.turn.getPrevious();
	}

	long segment() {
		return this.segment;
	}

	long expiresAt() {
		return this.expiresAt;
	}

	/**
	 * Returns whether the retention of the turn itself has ended. The turn is then kept
	 * only for the turns that continue it.
	 * @return {@code true} once the retention has ended
	 */
	boolean isExpired() {
		return this.expired;
	}

	/**
	 * Returns whether the turn is being written to another log segment.
	 * @return {@code true} until that write has ended
	 */
	boolean isMoving() {
		return this.moving;
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

	void setSegment(long segment) {
		this.segment = segment;
	}

	void setMoving(boolean moving) {
		this.moving = moving;
	}

	void setExpired() {
		this.expired = true;
	}

	void setSynced() {
		this.synced = true;
	}

	void setChainSynced() {
		this.chainSynced = true;
	}

}
