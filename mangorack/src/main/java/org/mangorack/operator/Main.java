package org.mangorack.operator;

import java.io.PrintStream;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

import org.mangorack.operator.impl.ConfigCommands;
import org.mangorack.operator.impl.DrainCommand;
import org.mangorack.operator.impl.ExplainCommand;
import org.mangorack.operator.impl.KeyCommands;
import org.mangorack.operator.impl.ProgramsCommand;
import org.mangorack.operator.impl.ServeCommand;
import org.mangorack.operator.impl.StatusCommand;

/**
 * The command line. Exit status 0 means done, 1 refused or failed, and 2 bad usage.
 */
public final class Main {

	@Argument(index = 0, required = true, handler = SubCommandHandler.class, metaVar = "COMMAND",
			usage = "serve, config, key, status, programs, drain or explain; COMMAND --help tells more")
	@SubCommands({ @SubCommand(name = "serve", impl = ServeCommand.class),
			@SubCommand(name = "config", impl = ConfigCommands.class),
			@SubCommand(name = "key", impl = KeyCommands.class),
			@SubCommand(name = "status", impl = StatusCommand.class),
			@SubCommand(name = "programs", impl = ProgramsCommand.class),
			@SubCommand(name = "drain", impl = DrainCommand.class),
			@SubCommand(name = "explain", impl = ExplainCommand.class) })
	private Command command;

	@Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
	private boolean help;

	private Main() {
	}

	/**
	 * Runs a command and ends the process with its exit status.
	 * @param arguments the arguments of the process
	 */
	public static void main(String[] arguments) {
		int status = run(arguments, System.out, System.err);
		System.out.flush();
		System.exit(status);
	}

	/**
	 * Runs a command.
	 * @param arguments the arguments
	 * @param out receives results
	 * @param err receives errors and usage
	 * @return the exit status
	 */
	public static int run(String[] arguments, PrintStream out, PrintStream err) {
		Main main = new Main();
		CmdLineParser parser = Usage.parser(main);
		try {
			parser.parseArgument(arguments);
			if (main.help || (main.command == null)) {
				Usage.print(parser, "mangorack", main.help ? out : err);
				return main.help ? ExitStatus.DONE : ExitStatus.USAGE;
			}
			if (main.command.isHelp()) {
				Usage.print(main.command, "mangorack " + arguments[0], out);
				return ExitStatus.DONE;
			}
			return main.command.run(out, err);
		}
		catch (CmdLineException ex) {
			err.println("mangorack: " + ex.getMessage());
			Usage.print(ex.getParser(), "mangorack", err);
			return ExitStatus.USAGE;
		}
		catch (CommandException ex) {
			err.println("mangorack: " + ex.getMessage());
			return ex.exitStatus();
		}
	}

}
