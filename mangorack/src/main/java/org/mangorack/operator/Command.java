package org.mangorack.operator;

import java.io.PrintStream;
import java.util.Locale;

import org.kohsuke.args4j.Option;

/**
 * A command of the command-line interface.
 */
public abstract class Command {

	@Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
	private boolean help;

	/**
	 * Returns whether the help option was given.
	 * @return {@code true} if the help should be printed instead of running the command
	 */
	public boolean isHelp() {
		return this.help;
	}

	/**
	 * Returns the name of the command on the command line.
	 * @return the class name without its suffix, in lower case
	 */
	public String name() {
		return getClass().getSimpleName().replaceAll("Commands?$", "").toLowerCase(Locale.ROOT);
	}

	/**
	 * Runs the command.
	 * @param out the stream for results
	 * @param err the stream for errors and progress messages
	 * @return the exit status
	 * @throws CommandException if the command was refused or failed
	 */
	public abstract int run(PrintStream out, PrintStream err) throws CommandException;

}
