package org.mangorack.operator;

import java.io.PrintStream;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

import org.mangorack.observe.LogOrigin;
import org.mangorack.observe.ProcessRole;
import org.mangorack.operator.impl.ConfigCommands;
import org.mangorack.operator.impl.DrainCommand;
import org.mangorack.operator.impl.ExplainCommand;
import org.mangorack.operator.impl.KeyCommands;
import org.mangorack.operator.impl.ProgramsCommand;
import org.mangorack.operator.impl.ServeCommand;
import org.mangorack.operator.impl.StatusCommand;

/**
 * Entry point of the command-line interface. The exit status is 0 on success, 1 if the
 * command was refused or failed, and 2 if the arguments or settings were invalid.
 */
@CommandHelp(value = "Schedules the calls of agent programs. Runs an instance, or manages instances that run.",
		examples = { "mangorack serve --settings instance-1.json", "mangorack status --instance 127.0.0.1:17301" })
public final class Main {

	@Argument(index = 0, required = true, handler = SubCommandHandler.class, metaVar = "COMMAND",
			usage = "one of the commands above; with --help after it, its own help")
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
	 * Runs a command and exits with its exit status.
	 * @param arguments the command-line arguments
	 */
	public static void main(String[] arguments) {
		LogOrigin.set(ProcessRole.COMMAND);
		int status = run(arguments, System.out, System.err);
		System.out.flush();
		System.exit(status);
	}

	/**
	 * Runs a command.
	 * @param arguments the command-line arguments
	 * @param out the stream for results
	 * @param err the stream for errors and usage
	 * @return the exit status
	 */
	public static int run(String[] arguments, PrintStream out, PrintStream err) {
		Main main = new Main();
		CmdLineParser parser = new CmdLineParser(main);
		try {
			parser.parseArgument(arguments);
			if (main.help || (main.command == null)) {
				Usage.print(main, "mangorack", main.help ? out : err);
				return main.help ? ExitStatus.SUCCESS : ExitStatus.USAGE;
			}
			if (main.command.isHelp()) {
				Usage.print(main.command, "mangorack " + arguments[0], out);
				return ExitStatus.SUCCESS;
			}
			return main.command.run(out, err);
		}
		catch (CmdLineException ex) {
			Usage.print(ex, Main.class, "mangorack", arguments, err);
			return ExitStatus.USAGE;
		}
		catch (CommandException ex) {
			err.println("mangorack: " + ex.getMessage());
			return ex.exitStatus();
		}
	}

}
