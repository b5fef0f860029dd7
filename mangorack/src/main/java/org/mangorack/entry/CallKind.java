package org.mangorack.entry;

/**
 * The kinds of calls that the owner of a shard answers.
 */
enum CallKind {

	/** A turn of a program. */
	TURN("turn", true),

	/** A question about a program, or its end. */
	PROGRAM("program", true),

	/** A call of a plain service that must not run twice. */
	SERVICE("service", true),

	/** A draw from the bucket of a workspace. */
	RATE("rate", true),

	/** The root of a sub-agent. */
	ALIAS("alias", true),

	/**
	 * A request for a slot of a model engine. A slot that is granted twice is reclaimed.
	 */
	SLOT("slot", true),

	/** A report on slots of model engines. */
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

	// Tells whether the owner may get the same call twice, which is so where it
	// recognises repeats.
	boolean isIdempotent() {
		return this.idempotent;
	}

}
