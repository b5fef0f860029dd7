package org.mangorack.operator;

/**
 * The exit statuses of the command line.
 */
public final class ExitStatus {

	/** The command succeeded. */
	public static final int SUCCESS = 0;

	/** The command was refused or failed. */
	public static final int FAILED = 1;

	/** The arguments or settings were invalid. */
	public static final int USAGE = 2;

	private ExitStatus() {
	}

}
