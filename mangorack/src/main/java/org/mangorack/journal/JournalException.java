package org.mangorack.journal;

/**
 * Thrown when journal entries did not become durable, or when that is unknown.
 */
public class JournalException extends Exception {

	private final Kind kind;

	public JournalException(Kind kind, String message) {
		super(message);
		this.kind = kind;
	}

	/**
	 * Returns the kind of failure.
	 * @return the kind of failure
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * The kinds of journal failures.
	 */
	public enum Kind {

		/** The journal is sealed; the entries will not become durable. */
		SEALED,

		/** The backlog is full; the entries were rejected. */
		BACKLOG_FULL,

		/**
		 * The platform did not confirm the write in time; the entries may still become
		 * durable.
		 */
		TIMED_OUT

	}

}
