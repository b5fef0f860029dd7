package org.mangorack.operator.impl;

import java.io.PrintStream;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.operator.CommandException;
import org.mangorack.operator.CommandHelp;
import org.mangorack.operator.ExitStatus;
import org.mangorack.operator.OperatorCommand;

/**
 * Shows the state of all instances as reported by one of them.
 */
@CommandHelp(value = "Shows instances, shards and revisions of the configuration as one instance sees them.",
		examples = { "mangorack status --instance 127.0.0.1:17301 --format json" })
public final class StatusCommand extends OperatorCommand {

	@Override
	public int run(PrintStream out, PrintStream err) throws CommandException {
		JsonNode json = client().call("GET", "/admin/status", null);
		StringBuilder text = new StringBuilder();
		text.append(String.format("instance %s  configuration %d  platform %s  programs %d%n",
				json.path("instance").asText(), json.path("configuration").asLong(),
				json.path("platformReachable").asBoolean() ? "reachable" : "unreachable",
				json.path("programs").asInt()));
		text.append(String.format("%-16s %-12s %-22s %-8s %-8s %-7s %s", "INSTANCE", "DATA CENTRE", "CALLERS", "PHASE",
				"IN TOUCH", "SHARDS", "CONFIGURATION"));
		for (JsonNode i : json.path("instances")) {
			text.append(String.format("%n%-16s %-12s %-22s %-8s %-8s %-7d %d", i.path("instance").asText(),
					i.path("dataCentre").asText(), i.path("callers").asText(), i.path("phase").asText(),
					i.path("inTouch").asBoolean() ? "yes" : "no", i.path("shards").asInt(),
					i.path("configuration").asLong()));
		}
		print(out, json, text.toString());
		return ExitStatus.SUCCESS;
	}

}
