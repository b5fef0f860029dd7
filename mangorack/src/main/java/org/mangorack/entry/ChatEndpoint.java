package org.mangorack.entry;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;
import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.config.ConfigurationStore;
import org.mangorack.config.UpstreamKind;
import org.mangorack.program.TurnRequest;

/**
 * Handles chat completions, which are either turns of a program or independent calls.
 */
final class ChatEndpoint {

	private final ConfigurationStore configuration;

	private final ServingGuard guard;

	private final DirectChat direct;

	private final ProgramRouter programs;

	ChatEndpoint(ConfigurationStore configuration, ServingGuard guard, DirectChat direct, ProgramRouter programs) {
		this.configuration = configuration;
		this.guard = guard;
		this.direct = direct;
		this.programs = programs;
	}

	Either<Refusal, CallAnswer> answer(Caller caller) {
		CallRequest call = caller.call();
		if (!call.method().equals("POST")) {
			return Either.left(Refusal.notRun(405, "method_not_allowed", "method " + call.method() + " is not POST"));
		}
		Either<Refusal, ObjectNode> body = parse(call.body());
		if (body.isLeft()) {
			return Either.left(body.getLeft());
		}
		String model = body.get().path("model").asText();
		boolean known = !this.configuration.current().pool(UpstreamKind.MODEL, model).isEmpty();
		if (!known || !caller.workspace().mayUse(model)) {
			return Either.left(caller.age()
				.unavailableIfStale(Refusal.notRun(404, "unknown_model",
						"model \"" + model + "\" does not exist for workspace \"" + caller.workspace().id() + "\"")));
		}
		if (call.header(TurnRequest.PROGRAM).isEmpty()) {
			return this.direct.answer(caller.workspace().id(), body.get(), this.guard.forKey(caller.key().id()));
		}
		return TurnRequest.read(caller.workspace().id(), call, body.get())
			.flatMap((request) -> this.programs.routeTurn(caller, request));
	}

	// Parses and validates the body of a chat completion.
	static Either<Refusal, ObjectNode> parse(byte[] bytes) {
		JsonNode json;
		try {
			json = Jsons.parse(bytes);
		}
		catch (IOException ex) {
			return Either.left(Refusal.notRun(400, "malformed_body",
					"the body is not valid JSON: " + ex.getMessage().lines().findFirst().orElse("")));
		}
		if (!(json instanceof ObjectNode body)) {
			return Either.left(Refusal.notRun(400, "malformed_body", "the body is not a JSON object"));
		}
		if (!body.path("model").isTextual()) {
			return Either.left(Refusal.notRun(400, "malformed_body", "$.model: is not a text"));
		}
		if (!body.path("messages").isArray() || body.path("messages").isEmpty()) {
			return Either.left(Refusal.notRun(400, "malformed_body", "$.messages: is not a non-empty list"));
		}
		for (JsonNode message : body.path("messages")) {
			if (!message.path("role").isTextual()) {
				return Either.left(Refusal.notRun(400, "malformed_body", "$.messages: has an element without a role"));
			}
		}
		return Either.right(body);
	}

}
