package org.mangorack.operator;

import java.io.PrintStream;

import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/**
 * Prints how commands are used.
 */
public final class Usage {

	private static final int WIDTH = 100;

	private Usage() {
	}

	/**
	 * Prints the arguments and options of a command.
	 * @param command the command
	 * @param name the words that call the command
	 * @param out receives the text
	 */
	public static void print(Object command, String name, PrintStream out) {
		print(parser(command), name, out);
	}

	static void print(CmdLineParser parser, String name, PrintStream out) {
		out.print("usage: " + name);
		parser.printSingleLineUsage(out);
		out.println();
		parser.printUsage(out);
	}

	static CmdLineParser parser(Object command) {
		return new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(WIDTH));
	}

}
