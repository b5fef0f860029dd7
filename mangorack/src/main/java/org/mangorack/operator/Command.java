package org.mangorack.operator;

import java.io.PrintStream;
import java.util.Locale;

import org.kohsuke.args4j.Option;

/**
 * A command of the command line.
 */
public abstract class Command {

	@Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
	private boolean help;

	/**
	 * Tells whether only help was asked for.
	 * @return {@code true} if the command should not run
	 */
	public boolean isHelp() {
		return this.help;
	}

	/**
	 * Returns the word that calls the command.
	 * @return the name of the class without its suffix, in lower case
	 */
	public String name() {
		return getClass().getSimpleName().replaceAll("Commands?$", "").toLowerCase(Locale.ROOT);
	}

	/**
	 * Runs the command.
	 * @param out receives results
	 * @param err receives errors and progress
	 * @return the exit status
	 * @throws CommandException if the command was refused or failed
	 */
	public abstract int run(PrintStream out, PrintStream err) throws CommandException;

}
