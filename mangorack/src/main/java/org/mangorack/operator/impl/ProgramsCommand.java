package org.mangorack.operator.impl;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.operator.CommandException;
import org.mangorack.operator.CommandHelp;
import org.mangorack.operator.ExitStatus;
import org.mangorack.operator.OperatorCommand;

/**
 * Lists the programs that an instance owns.
 */
@CommandHelp(value = "Lists the programs that one instance owns.",
		examples = { "mangorack programs --instance 127.0.0.1:17301" })
public final class ProgramsCommand extends OperatorCommand {

	@Override
	public int run(PrintStream out, PrintStream err) throws CommandException {
		JsonNode json = client().call("GET", "/admin/programs", null);
		StringBuilder text = new StringBuilder();
		text.append(String.format("%-20s %-36s %-8s %6s %12s %12s", "WORKSPACE", "PROGRAM", "STATE", "TURNS", "CHARGED",
				"BUDGET"));
		for (JsonNode p : json.path("programs")) {
			text.append(String.format("%n%-20s %-36s %-8s %6d %12d %12d", p.path("workspace").asText(),
					p.path("id").asText(), p.path("state").asText(), p.path("turns").asInt(),
					p.path("budget").path("charged").asLong(), p.path("budget").path("limit").asLong()));
		}
		print(out, json, text.toString());
		return ExitStatus.SUCCESS;
	}

}
