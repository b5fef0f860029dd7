package org.mangorack.operator;

/**
 * Thrown when a command is refused or fails.
 */
public class CommandException extends Exception {

	private final int exitStatus;

	public CommandException(int exitStatus, String message) {
		super(message);
		this.exitStatus = exitStatus;
	}

	/**
	 * Returns the exit status with which the process should end.
	 * @return the exit status
	 */
	public int exitStatus() {
		return this.exitStatus;
	}

}
