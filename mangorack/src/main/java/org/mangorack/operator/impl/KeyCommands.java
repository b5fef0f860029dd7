package org.mangorack.operator.impl;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.JsonNode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

import org.mangorack.call.Jsons;
import org.mangorack.operator.Command;
import org.mangorack.operator.CommandException;
import org.mangorack.operator.CommandHelp;
import org.mangorack.operator.ExitStatus;
import org.mangorack.operator.OperatorCommand;
import org.mangorack.operator.Usage;

/**
 * Creates and withdraws keys of callers.
 */
@CommandHelp(value = "Creates and withdraws keys of callers.",
		examples = { "mangorack key create research --instance 127.0.0.1:17301",
				"mangorack key withdraw 5f0c2a --instance 127.0.0.1:17301" })
public final class KeyCommands extends Command {

	@Argument(index = 0, required = true, handler = SubCommandHandler.class, metaVar = "COMMAND",
			usage = "one of the commands above; with --help after it, its own help")
	@SubCommands({ @SubCommand(name = "create", impl = Create.class),
			@SubCommand(name = "withdraw", impl = Withdraw.class) })
	private Command command;

	@Override
	public int run(PrintStream out, PrintStream err) throws CommandException {
		if (this.command.isHelp()) {
			Usage.print(this.command, "mangorack key " + this.command.name(), out);
			return ExitStatus.SUCCESS;
		}
		return this.command.run(out, err);
	}

	/**
	 * Creates a key and prints it once.
	 */
	@CommandHelp(value = "Creates a key and prints it once.",
			examples = { "mangorack key create research --instance 127.0.0.1:17301" })
	public static final class Create extends OperatorCommand {

		@Argument(index = 0, required = true, metaVar = "WORKSPACE", usage = "workspace that the key belongs to")
		private String workspace;

		@Override
		public int run(PrintStream out, PrintStream err) throws CommandException {
			JsonNode json = client().call("POST", "/admin/keys", Jsons.object().put("workspace", this.workspace));
			print(out, json, json.path("key").asText());
			return ExitStatus.SUCCESS;
		}

	}

	/**
	 * Withdraws a key.
	 */
	@CommandHelp(value = "Withdraws a key. Calls with it are refused everywhere within 3 s.",
			examples = { "mangorack key withdraw 5f0c2a --instance 127.0.0.1:17301" })
	public static final class Withdraw extends OperatorCommand {

		@Argument(index = 0, required = true, metaVar = "ID",
				usage = "id of the key: the part between the first and the last underscore, or the whole key")
		private String id;

		@Override
		public int run(PrintStream out, PrintStream err) throws CommandException {
			String plain = this.id.startsWith("mr_") ? this.id.split("_")[1] : this.id;
			JsonNode json = client().call("DELETE", "/admin/keys/" + plain, null);
			print(out, json, "key " + plain + " is withdrawn");
			return ExitStatus.SUCCESS;
		}

	}

}
