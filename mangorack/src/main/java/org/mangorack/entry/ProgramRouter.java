package org.mangorack.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletionException;

import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.ProgramKey;
import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.ownership.OwnedShard;
import org.mangorack.ownership.ShardId;
import org.mangorack.program.TurnRequest;

/**
 * Routes calls for programs to the owner of the root program.
 */
final class ProgramRouter {

	private static final String ROOT = "Mangorack-Root";

	private static final String RECORD = "record";

	private static final String RESOLVE = "resolve";

	private final ShardRouter router;

	ProgramRouter(ShardRouter router) {
		this.router = router;
		router.register(CallKind.ALIAS, this::answerAlias);
	}

	// Returns the shard of a root program.
	static ShardId shard(ProgramKey root) {
		return ShardId.of("program|" + root);
	}

	// Routes a turn to the owner of its program.
	Either<Refusal, CallAnswer> routeTurn(Caller caller, TurnRequest request) {
		if (request.parent() == null) {
			return Either.right(routeCall(CallKind.TURN, caller, request.key()));
		}
		return resolveRoot(caller, request).map((root) -> this.router.route(CallKind.TURN,
				shard(request.key().withProgram(root)), Forwarding.toCallOpen(caller).setRoot(root)));
	}

	// Routes a call to the owner of a program. If the program is a sub-agent, the first
	// owner returns the root and the call is routed again by that root.
	CallAnswer routeCall(CallKind kind, Caller caller, ProgramKey program) {
		CallOpen.Builder open = Forwarding.toCallOpen(caller).setRoot(program.program());
		CallAnswer answer = this.router.route(kind, shard(program), open);
		String root = answer.headers().get(ROOT);
		if (root == null) {
			return answer;
		}
		return this.router.route(kind, shard(program.withProgram(root)), open.setRoot(root));
	}

	// Returns the response that redirects a call for a sub-agent to the owner of its
	// root.
	static CallAnswer redirectToRoot(String root) {
		return CallAnswer.text(421, "the root is " + root).withHeader(ROOT, root);
	}

	// ---- Roots of sub-agents

	// Looks up the root of the parent and records it as the root of the sub-agent.
	private Either<Refusal, String> resolveRoot(Caller caller, TurnRequest request) {
		ProgramKey parent = request.key().withProgram(request.parent());
		return callAlias(caller, parent, RESOLVE, parent.program())
			.flatMap((root) -> callAlias(caller, request.key(), RECORD, root));
	}

	private Either<Refusal, String> callAlias(Caller caller, ProgramKey program, String method, String root) {
		CallOpen.Builder open = CallOpen.newBuilder()
			.setRequestId(caller.call().requestId())
			.setWorkspace(program.workspace().value())
			.setMethod(method)
			.setPath(program.program())
			.setRoot(root);
		CallAnswer answer = this.router.route(CallKind.ALIAS, shard(program), open);
		String text;
		try {
			text = ResponseBodies.text(answer);
		}
		catch (IOException ex) {
			return Either.left(rootUnknown(program, ex.getMessage()));
		}
		if (answer.status() != 200) {
			return Either.left(rootUnknown(program, text));
		}
		if (method.equals(RECORD) && !text.equals(root)) {
			return Either.left(Refusal.notRun(409, "parent_conflict",
					"program \"" + program.program() + "\" belongs to root \"" + text + "\", not \"" + root + "\""));
		}
		return Either.right(text);
	}

	private static Refusal rootUnknown(ProgramKey program, String cause) {
		return Refusal.unavailable("owner_unavailable",
				"the root of program \"" + program.program() + "\" is not known at present: " + cause,
				Duration.ofSeconds(1));
	}

	private CallAnswer answerAlias(OwnedShard<ShardContents> shard, CallOpen open, Runnable release) {
		try {
			ProgramKey program = new ProgramKey(new WorkspaceId(open.getWorkspace()), open.getPath());
			ShardContents contents = shard.replica();
			if (open.getMethod().equals(RESOLVE)) {
				return CallAnswer.text(200, contents.subAgentRoots().root(program).orElse(program.program()));
			}
			if (contents.programs().view(program).map((v) -> v.parent() == null).orElse(false)) {
				return CallAnswer.text(200, program.program());
			}
			return CallAnswer.text(200, contents.subAgentRoots().record(program, open.getRoot()).join());
		}
		catch (CompletionException ex) {
			return CallAnswer.text(503, String.valueOf(ex.getCause().getMessage()));
		}
		finally {
			release.run();
		}
	}

}
