package org.mangorack.operator.impl;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

import org.mangorack.call.Jsons;
import org.mangorack.config.ConfigurationFolder;
import org.mangorack.config.Problem;
import org.mangorack.operator.Command;
import org.mangorack.operator.CommandException;
import org.mangorack.operator.CommandHelp;
import org.mangorack.operator.ExitStatus;
import org.mangorack.operator.OperatorClient;
import org.mangorack.operator.OperatorCommand;
import org.mangorack.operator.Usage;

/**
 * Checks, applies and shows the configuration.
 */
@CommandHelp(value = "Checks, applies and shows the configuration.",
		examples = { "mangorack config check config", "mangorack config apply config --instance 127.0.0.1:17301" })
public final class ConfigCommands extends Command {

	@Argument(index = 0, required = true, handler = SubCommandHandler.class, metaVar = "COMMAND",
			usage = "one of the commands above; with --help after it, its own help")
	@SubCommands({ @SubCommand(name = "check", impl = Check.class), @SubCommand(name = "apply", impl = Apply.class),
			@SubCommand(name = "show", impl = Show.class) })
	private Command command;

	@Override
	public int run(PrintStream out, PrintStream err) throws CommandException {
		if (this.command.isHelp()) {
			Usage.print(this.command, "mangorack config " + this.command.name(), out);
			return ExitStatus.SUCCESS;
		}
		return this.command.run(out, err);
	}

	private static JsonNode read(Path folder, PrintStream err) throws CommandException {
		Either<List<Problem>, JsonNode> read = ConfigurationFolder.read(folder);
		if (read.isLeft()) {
			read.getLeft().forEach(err::println);
			throw new CommandException(ExitStatus.FAILED,
					read.getLeft().size() + " problem(s) in " + folder + "; nothing was changed");
		}
		return read.get();
	}

	/**
	 * Validates a configuration folder without changing anything.
	 */
	@CommandHelp(value = "Checks a folder of configuration files. Needs no instance and changes nothing.",
			examples = { "mangorack config check config" })
	public static final class Check extends Command {

		@Argument(index = 0, required = true, metaVar = "DIR", usage = "folder of JSON files, merged by name")
		private Path folder;

		@Override
		public int run(PrintStream out, PrintStream err) throws CommandException {
			read(this.folder, err);
			out.println(this.folder + " is a valid configuration");
			return ExitStatus.SUCCESS;
		}

	}

	/**
	 * Stores a configuration folder and waits until all live instances have applied it.
	 */
	@CommandHelp(value = "Stores a folder as the next revision and waits until every live instance has it.",
			examples = { "mangorack config apply config --instance 127.0.0.1:17301" })
	public static final class Apply extends OperatorCommand {

		private static final Duration APPLY_TIMEOUT = Duration.ofSeconds(10);

		private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

		@Argument(index = 0, required = true, metaVar = "DIR", usage = "folder of JSON files, merged by name")
		private Path folder;

		@Option(name = "--base", metaVar = "REVISION",
				usage = "revision that the folder was made from; by default the one in force")
		private Long base;

		@Override
		public int run(PrintStream out, PrintStream err) throws CommandException {
			ObjectNode request = Jsons.object();
			request.set("configuration", read(this.folder, err));
			OperatorClient client = client();
			long from = (this.base != null) ? this.base
					: client.call("GET", "/admin/configuration", null).path("revision").asLong();
			request.put("base", from);
			long revision = client.call("POST", "/admin/configuration", request).path("revision").asLong();
			err.println("revision " + revision + " is stored");
			return awaitInForce(client, revision, out, err);
		}

		private int awaitInForce(OperatorClient client, long revision, PrintStream out, PrintStream err)
				throws CommandException {
			long deadline = System.nanoTime() + APPLY_TIMEOUT.toNanos();
			int lastCount = -1;
			while (true) {
				JsonNode instances = client.call("GET", "/admin/status", null).path("instances");
				ObjectNode result = Jsons.object();
				result.put("revision", revision);
				result.putArray("inForce");
				result.putArray("missing");
				instances.forEach(
						(i) -> result.withArray((i.path("configuration").asLong() >= revision) ? "inForce" : "missing")
							.add(i.path("instance").asText()));
				int count = result.path("inForce").size();
				if (count != lastCount) {
					err.println("in force at " + count + " of " + instances.size() + " instances");
					lastCount = count;
				}
				if (result.path("missing").isEmpty() && (count > 0)) {
					print(out, result, "revision " + revision + " is in force at " + result.path("inForce"));
					return ExitStatus.SUCCESS;
				}
				if (System.nanoTime() > deadline) {
					print(out, result, "revision " + revision + " is stored, but not seen in force at "
							+ result.path("missing") + "; these take no keyed work until they have it");
					return ExitStatus.FAILED;
				}
				pause();
			}
		}

		private static void pause() {
			try {
				TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL.toMillis());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

	/**
	 * Shows the configuration in force.
	 */
	@CommandHelp(value = "Shows the configuration in force.",
			examples = { "mangorack config show --instance 127.0.0.1:17301" })
	public static final class Show extends OperatorCommand {

		@Override
		public int run(PrintStream out, PrintStream err) throws CommandException {
			JsonNode json = client().call("GET", "/admin/configuration", null);
			print(out, json,
					"revision " + json.path("revision").asLong() + "\n" + json.path("configuration").toPrettyString());
			return ExitStatus.SUCCESS;
		}

	}

}
