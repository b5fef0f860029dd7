package org.mangorack.observe;

/**
 * The role of a process, as written to its log records.
 */
public enum ProcessRole {

	/** Runs an instance of the native interface. */
	INSTANCE("instance"),

	/** Accepts the requests of callers. */
	ENTRY("entry"),

	/** Stores turns and budgets on disk. */
	KEEPER("keeper"),

	/** Sends test turns through an entry and a keeper that run in one process. */
	SELF_CHECK("selfcheck"),

	/** Runs an operator command. */
	COMMAND("command");

	private final String logName;

	ProcessRole(String logName) {
		this.logName = logName;
	}

	/**
	 * Returns the name of the role in log records.
	 * @return the name, in lower case
	 */
	public String logName() {
		return this.logName;
	}

}
