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

	private final String word;

	ProcessRole(String word) {
		this.word = word;
	}

	/**
	 * Returns the word that log records hold.
	 * @return the word, in lower case
	 */
	public String word() {
		return this.word;
	}

}
