package org.mangorack.entry;

/**
 * The kinds of calls that are routed to the owner of a shard.
 */
enum CallKind {

	/** A turn of a program. */
	TURN("turn", true),

	/** A query for a program, or a request to end it. */
	PROGRAM("program", true),

	/** A service call that must run at most once. */
	SERVICE("service", true),

	/** A request for tokens from the rate-limit bucket of a workspace. */
	RATE("rate", true),

	/** A lookup or registration of the root program of a sub-agent. */
	ALIAS("alias", true),

	/**
	 * A request for a slot of a model engine. It is idempotent because a slot that is
	 * granted twice is reclaimed.
	 */
	SLOT("slot", true),

	/** A report on the slots of model engines that an instance holds. */
	SLOT_REPORT("slot-report", true);

	private final String wireName;

	private final boolean idempotent;

	CallKind(String wireName, boolean idempotent) {
		this.wireName = wireName;
		this.idempotent = idempotent;
	}

	String wireName() {
		return this.wireName;
	}

	// Returns whether a call may be sent to the owner again. This is safe where the owner
	// detects duplicates.
	boolean isIdempotent() {
		return this.idempotent;
	}

}
