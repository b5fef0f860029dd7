package org.mangorack.operator.impl;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.operator.CommandException;
import org.mangorack.operator.CommandHelp;
import org.mangorack.operator.ExitStatus;
import org.mangorack.operator.OperatorCommand;

/**
 * Shuts down an instance gracefully.
 */
@CommandHelp(value = "Stops an instance as planned. Its shards are handed over and the calls under way are answered.",
		examples = { "mangorack drain --instance 127.0.0.1:17301" })
public final class DrainCommand extends OperatorCommand {

	@Override
	public int run(PrintStream out, PrintStream err) throws CommandException {
		JsonNode json = client().call("POST", "/admin/drain", null);
		print(out, json, "instance " + json.path("draining").asText() + " is leaving");
		return ExitStatus.SUCCESS;
	}

}
