package org.mangorack.operator.impl;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.kohsuke.args4j.Option;

import org.mangorack.config.Problem;
import org.mangorack.config.Settings;
import org.mangorack.instance.Instance;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.LogOrigin;
import org.mangorack.observe.ProcessRole;
import org.mangorack.operator.Command;
import org.mangorack.operator.CommandException;
import org.mangorack.operator.CommandHelp;
import org.mangorack.operator.ExitStatus;

/**
 * Runs an instance until it is shut down.
 */
@CommandHelp(value = "Runs an instance until it is stopped. SIGTERM stops it as planned.",
		examples = { "mangorack serve --settings instance-1.json" })
public final class ServeCommand extends Command {

	@Option(name = "--settings", metaVar = "FILE", required = true, usage = "settings of the instance, in JSON")
	private Path settings;

	@Override
	public int run(PrintStream out, PrintStream err) throws CommandException {
		Either<List<Problem>, Settings> read = Settings.read(this.settings);
		if (read.isLeft()) {
			read.getLeft().forEach(err::println);
			return ExitStatus.USAGE;
		}
		try {
			LogOrigin.set(ProcessRole.INSTANCE, read.get().instance());
			EventLog.open();
			Instance instance = new Instance(read.get());
			EventLog.runAtShutdown("drain", instance::drain);
			instance.start();
			instance.awaitStop();
			return ExitStatus.SUCCESS;
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitStatus.USAGE, this.settings + ": " + ex.getMessage());
		}
		catch (IOException ex) {
			throw new CommandException(ExitStatus.FAILED, "cannot listen: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitStatus.FAILED;
		}
	}

}
