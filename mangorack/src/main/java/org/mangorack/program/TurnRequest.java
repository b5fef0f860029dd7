package org.mangorack.program;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.mangorack.call.CallRequest;
import org.mangorack.call.Identifiers;
import org.mangorack.call.ProgramKey;
import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;

/**
 * A validated request for one turn of a program.
 *
 * @param key the program
 * @param turn the number of the turn, starting at 1
 * @param parent the name of the parent program, or {@code null} for a root
 * @param budget the requested budget in tokens, or -1 if the request has none
 * @param mode how the messages relate to the recorded history
 * @param body the body of the request
 * @param messages the messages of the body
 * @param digest the digest of the fields that must be equal in a repeated request
 */
public record TurnRequest(ProgramKey key, int turn, String parent, long budget, HistoryMode mode, ObjectNode body,
		List<JsonNode> messages, String digest) {

	/**
	 * Header that names the program.
	 */
	public static final String PROGRAM = "Mangorack-Program";

	/**
	 * Header that carries the number of the turn.
	 */
	public static final String TURN = "Mangorack-Turn";

	/**
	 * Header that names the parent of a sub-agent.
	 */
	public static final String PARENT = "Mangorack-Parent";

	/**
	 * Header that carries the budget, in tokens.
	 */
	public static final String BUDGET = "Mangorack-Budget";

	/**
	 * Header that selects the {@link HistoryMode}.
	 */
	public static final String HISTORY = "Mangorack-History";

	private static final String MESSAGES = "messages";

	/**
	 * Validates the headers and body of a call.
	 * @param workspace the workspace of the caller
	 * @param call the call, which must have a program header
	 * @param body the parsed body, an object with a list of messages
	 * @return the request, or a refusal if a header is invalid
	 */
	public static Either<Refusal, TurnRequest> read(WorkspaceId workspace, CallRequest call, ObjectNode body) {
		String program = call.header(PROGRAM).orElse("");
		if (!Identifiers.isValid(program)) {
			return refuse(PROGRAM, program, "is not an identifier");
		}
		long turn = number(call, TURN, -1);
		if ((turn < 1) || (turn > Integer.MAX_VALUE)) {
			return refuse(TURN, call.header(TURN).orElse(""), "is not a turn number from 1");
		}
		String parent = call.header(PARENT).orElse(null);
		if ((parent != null) && (!Identifiers.isValid(parent) || parent.equals(program))) {
			return refuse(PARENT, parent, "is not the identifier of another program");
		}
		long budget = number(call, BUDGET, -1);
		if (call.header(BUDGET).isPresent() && (budget < 1)) {
			return refuse(BUDGET, call.header(BUDGET).get(), "is not a positive number of tokens");
		}
		List<JsonNode> messages = new ArrayList<>();
		body.path(MESSAGES).forEach(messages::add);
		HistoryMode mode = HistoryMode.of(call.header(HISTORY).orElse(null));
		return Either.right(new TurnRequest(new ProgramKey(workspace, program), (int) turn, parent, budget, mode, body,
				messages, digest(body, mode)));
	}

	/**
	 * Returns whether the caller requested a streamed answer.
	 * @return {@code true} if the answer is sent as server-sent events
	 */
	public boolean isStream() {
		return this.body.path("stream").asBoolean();
	}

	private static String digest(ObjectNode body, HistoryMode mode) {
		ObjectNode compared = body.deepCopy();
		compared.remove("stream");
		compared.remove("stream_options");
		compared.put("mangorack_history", mode.name());
		return Digests.of(compared);
	}

	private static long number(CallRequest call, String header, long defaultValue) {
		try {
			return call.header(header).map(Long::parseLong).orElse(defaultValue);
		}
		catch (NumberFormatException ex) {
			return -1;
		}
	}

	private static Either<Refusal, TurnRequest> refuse(String header, String value, String problem) {
		return Either.left(Refusal.notRun(400, "bad_header", "header " + header + ": \"" + value + "\" " + problem));
	}

}
