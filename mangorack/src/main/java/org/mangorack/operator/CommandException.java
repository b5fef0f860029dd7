package org.mangorack.operator;

/**
 * A command that was refused or failed.
 */
public class CommandException extends Exception {

	private final int exitStatus;

	public CommandException(int exitStatus, String message) {
		super(message);
		this.exitStatus = exitStatus;
	}

	/**
	 * Returns the exit status of the process.
	 * @return the exit status
	 */
	public int exitStatus() {
		return this.exitStatus;
	}

}
