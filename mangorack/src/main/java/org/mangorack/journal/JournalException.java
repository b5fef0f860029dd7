package org.mangorack.journal;

/**
 * Entries that did not become durable, or may not have.
 */
public class JournalException extends Exception {

	private final Kind kind;

	public JournalException(Kind kind, String message) {
		super(message);
		this.kind = kind;
	}

	/**
	 * Returns why the entries are not durable.
	 * @return the kind of failure
	 */
	public Kind kind() {
		return this.kind;
	}

	/**
	 * Why entries are not durable.
	 */
	public enum Kind {

		/** Another instance sealed the journal; the entries never become durable. */
		SEALED,

		/** The backlog is full; the entries were not accepted. */
		BACKLOG_FULL,

		/** The platform did not confirm in time; the entries may become durable later. */
		TIMED_OUT

	}

}
