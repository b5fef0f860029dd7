package org.mangorack.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;
import org.mangorack.call.Identifiers;
import org.mangorack.call.Jsons;
import org.mangorack.call.ProgramKey;
import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.ConfigurationStore;
import org.mangorack.config.Workspace;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.ownership.OwnedShard;
import org.mangorack.program.ProgramTable;
import org.mangorack.program.ProgramView;
import org.mangorack.program.TurnRequest;
import org.mangorack.program.TurnService;
import org.mangorack.program.WriteOutcome;

/**
 * Handles queries for programs, and runs their turns on the instance that owns them.
 */
final class ProgramEndpoint {

	private static final Duration END_TIMEOUT = Duration.ofSeconds(3);

	private static final String HISTORY = "history";

	private final ConfigurationStore configuration;

	private final CacheFreshness freshness;

	private final ProgramRouter router;

	private final TurnService turns;

	private final OwnerGuard guard;

	private final BooleanSupplier platformUnavailable;

	ProgramEndpoint(ConfigurationStore configuration, CacheFreshness freshness, ShardRouter shards,
			ProgramRouter router, TurnService turns, OwnerGuard guard, BooleanSupplier platformUnavailable) {
		this.configuration = configuration;
		this.freshness = freshness;
		this.router = router;
		this.turns = turns;
		this.guard = guard;
		this.platformUnavailable = platformUnavailable;
		shards.register(CallKind.TURN, this::answerTurn);
		shards.register(CallKind.PROGRAM, this::answerProgram);
	}

	// ---- On the instance that received the call

	Either<Refusal, CallAnswer> answer(Caller caller) {
		List<String> segments = caller.call().pathSegments();
		String program = (segments.size() > 2) ? segments.get(2) : "";
		boolean history = (segments.size() == 4) && segments.get(3).equals(HISTORY);
		if (!Identifiers.isValid(program) || (!history && (segments.size() != 3))) {
			return Either.left(Refusal.notRun(404, "unknown_path", "path " + caller.call().path() + " does not exist"));
		}
		String method = caller.call().method();
		if (!method.equals("GET") && (history || !method.equals("DELETE"))) {
			return Either.left(Refusal.notRun(405, "method_not_allowed", "method " + method + " is not allowed here"));
		}
		return Either
			.right(this.router.routeCall(CallKind.PROGRAM, caller, new ProgramKey(caller.workspace().id(), program)));
	}

	// ---- On the owner of the shard

	CallAnswer answerTurn(OwnedShard<ShardContents> shard, CallOpen open, Runnable release) {
		CallRequest call = Forwarding.toCallRequest(open);
		WorkspaceId workspaceId = new WorkspaceId(open.getWorkspace());
		CacheFreshness.Age age = this.freshness.age();
		Optional<Workspace> workspace = this.configuration.current().workspace(workspaceId);
		Either<Refusal, TurnRequest> request = ChatEndpoint.parse(call.body())
			.flatMap((body) -> TurnRequest.read(workspaceId, call, body));
		if (request.isLeft() || workspace.isEmpty()) {
			release.run();
			Refusal refusal = request.isLeft() ? request.getLeft() : age.unavailableIfStale(
					Refusal.notRun(403, "unknown_workspace", "workspace \"" + workspaceId + "\" is not configured"));
			return CallAnswer.refusal(refusal, open.getRequestId());
		}
		Optional<String> rootOfSubAgent = subAgentRoot(shard, request.get().key(), open);
		if (rootOfSubAgent.isPresent()) {
			release.run();
			return ProgramRouter.redirectToRoot(rootOfSubAgent.get());
		}
		return this.turns
			.answer(shard.replica().programs(), request.get(), open.getRoot(), workspace.get(),
					this.guard.forCall(open), release)
			.mapLeft((refusal) -> refusal.code().equals(ProgramTable.TOO_MANY_TURNS) ? age.unavailableIfStale(refusal)
					: refusal)
			.fold((refusal) -> CallAnswer.refusal(refusal, open.getRequestId()), (answer) -> answer);
	}

	private CallAnswer answerProgram(OwnedShard<ShardContents> shard, CallOpen open, Runnable release) {
		try {
			CallRequest call = Forwarding.toCallRequest(open);
			List<String> segments = call.pathSegments();
			ProgramKey program = new ProgramKey(new WorkspaceId(open.getWorkspace()), segments.get(2));
			Optional<String> rootOfSubAgent = subAgentRoot(shard, program, open);
			if (rootOfSubAgent.isPresent()) {
				return ProgramRouter.redirectToRoot(rootOfSubAgent.get());
			}
			ProgramTable programs = shard.replica().programs();
			if (call.method().equals("DELETE")) {
				return end(programs, program, open.getRequestId());
			}
			return (segments.size() == 4) ? history(programs, program, open.getRequestId())
					: view(programs, program, open.getRequestId());
		}
		finally {
			release.run();
		}
	}

	private CallAnswer view(ProgramTable programs, ProgramKey program, String requestId) {
		return programs.view(program)
			.map((v) -> CallAnswer.json(200, v.toJson()))
			.orElseGet(() -> unknownProgram(program, requestId));
	}

	private CallAnswer history(ProgramTable programs, ProgramKey program, String requestId) {
		Optional<ProgramView> view = programs.view(program);
		Optional<List<JsonNode>> history = programs.history(program);
		if (view.isEmpty() || history.isEmpty()) {
			return unknownProgram(program, requestId);
		}
		ObjectNode json = Jsons.object();
		json.put("id", program.program());
		json.put("turns", view.get().turns());
		json.put("historyDigest", view.get().historyDigest());
		ArrayNode messages = json.putArray("messages");
		history.get().forEach(messages::add);
		return CallAnswer.json(200, json);
	}

	private CallAnswer end(ProgramTable programs, ProgramKey program, String requestId) {
		Either<Refusal, CompletableFuture<Void>> ended = programs.end(program, "deleted by its caller");
		if (ended.isLeft()) {
			return CallAnswer.refusal(ended.getLeft(), requestId);
		}
		WriteOutcome outcome = WriteOutcome.await(ended.get(), END_TIMEOUT, this.platformUnavailable);
		ObjectNode json = programs.view(program).map(ProgramView::toJson).orElseGet(Jsons::object);
		json.put("durable", outcome == WriteOutcome.DURABLE);
		return CallAnswer.json(200, json);
	}

	private static CallAnswer unknownProgram(ProgramKey program, String requestId) {
		return CallAnswer.refusal(
				Refusal.notRun(404, "unknown_program", "there is no program \"" + program.program() + "\""), requestId);
	}

	// Returns the root if the call was routed by the name of a sub-agent, whose state is
	// held by the owner of its root.
	private static Optional<String> subAgentRoot(OwnedShard<ShardContents> shard, ProgramKey program, CallOpen open) {
		if (!open.getRoot().equals(program.program())) {
			return Optional.empty();
		}
		return shard.replica().subAgentRoots().root(program).filter((root) -> !root.equals(program.program()));
	}

}
