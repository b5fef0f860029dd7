package org.mangorack.bench;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

import org.mangorack.bench.StandInCommands.EngineCommand;
import org.mangorack.bench.StandInCommands.PlatformCommand;
import org.mangorack.bench.StandInCommands.ServiceCommand;
import org.mangorack.bench.emulator.ExperimentCommand;
import org.mangorack.bench.load.DemoCommand;
import org.mangorack.bench.load.OverheadCommand;

/**
 * The entry point of the benchmark tool.
 */
public final class BenchMain {

	@Argument(index = 0, required = true, handler = SubCommandHandler.class, metaVar = "COMMAND", usage = "what to run")
	@SubCommands({ @SubCommand(name = "platform", impl = PlatformCommand.class),
			@SubCommand(name = "engine", impl = EngineCommand.class),
			@SubCommand(name = "service", impl = ServiceCommand.class),
			@SubCommand(name = "demo", impl = DemoCommand.class),
			@SubCommand(name = "overhead", impl = OverheadCommand.class),
			@SubCommand(name = "experiment", impl = ExperimentCommand.class) })
	private BenchCommand command;

	private BenchMain() {
	}

	/**
	 * Runs a command.
	 * @param arguments the command line arguments
	 * @throws Exception if the command fails
	 */
	public static void main(String[] arguments) throws Exception {
		BenchMain main = new BenchMain();
		CmdLineParser parser = new CmdLineParser(main);
		try {
			parser.parseArgument(arguments);
		}
		catch (CmdLineException ex) {
			System.err.println("bench: " + ex.getMessage());
			ex.getParser().printUsage(System.err);
			System.exit(2);
		}
		System.exit(main.command.run());
	}

}
