package org.mangorack.observe;

/**
 * What a process does, as its log records say it.
 */
public enum ProcessRole {

	/** Runs an instance of the product's own interface. */
	INSTANCE("instance"),

	/** Takes the requests of callers. */
	ENTRY("entry"),

	/** Keeps turns and budgets on a disk. */
	KEEPER("keeper"),

	/** Passes turns through an entry and a keeper in one process. */
	SELF_CHECK("selfcheck"),

	/** Runs a command of an operator. */
	COMMAND("command");

	private final String logName;

	ProcessRole(String logName) {
		this.logName = logName;
	}

	/**
	 * Returns the word that log records hold.
	 * @return the word, in lower case
	 */
	public String logName() {
		return this.logName;
	}

}
