package org.mangorack.program;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.google.protobuf.ByteString;
import io.vavr.control.Either;

import org.mangorack.call.Jsons;
import org.mangorack.call.ProgramKey;
import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Workspace;
import org.mangorack.journal.Journal;
import org.mangorack.journal.proto.Entry;
import org.mangorack.journal.proto.ProgramEnded;
import org.mangorack.journal.proto.ProgramOpened;
import org.mangorack.journal.proto.ReleaseConfirmed;
import org.mangorack.journal.proto.TurnAbandoned;
import org.mangorack.journal.proto.TurnFinished;
import org.mangorack.journal.proto.TurnStarted;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Invariants;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.ownership.ShardLog;
import org.mangorack.program.ProgramState.RunningTurn;

/**
 * The programs of a shard. Each change is applied to the in-memory state and appended to
 * the journal under the same monitor, so that replaying the entries in journal order
 * produces the same state.
 */
public final class ProgramTable {

	/**
	 * Refusal code for a turn number above the workspace's limit of turns per program.
	 */
	public static final String TOO_MANY_TURNS = "too_many_turns";

	private static final Duration ENDED_RETENTION = Duration.ofMinutes(10);

	private static final Duration GAP_RETRY_AFTER = Duration.ofSeconds(1);

	private final Object monitor;

	private final ShardLog log;

	private final MonotonicClock clock;

	private final ProgramStates states;

	/**
	 * Creates an empty table.
	 * @param monitor guards the table and its part of the journal
	 * @param log the journal of the shard
	 * @param clock the time source
	 */
	public ProgramTable(Object monitor, ShardLog log, MonotonicClock clock) {
		this.monitor = monitor;
		this.log = log;
		this.clock = clock;
		this.states = new ProgramStates(clock);
	}

	// ---- Turns

	/**
	 * Decides how to process a requested turn. If the turn has to run, this marks the
	 * program as running and reserves tokens; the caller must then call {@link #finish}
	 * or {@link #abandon} exactly once.
	 * @param request the request
	 * @param root the name of the root program
	 * @param workspace the workspace
	 * @return how to process the turn, or the refusal
	 */
	public Either<Refusal, TurnDecision> begin(TurnRequest request, String root, Workspace workspace) {
		synchronized (this.monitor) {
			ProgramState program = this.states.get(request.key());
			if (program == null) {
				return openAndBegin(request, root, workspace);
			}
			program.touch(this.clock.nanoTime());
			TurnFinished recorded = program.turns().get(request.turn());
			if (recorded != null) {
				return repeat(program, recorded, request);
			}
			if (program.isEnded()) {
				return Either.left(Refusal.notRun(409, "program_ended",
						"program \"" + request.key().program() + "\" ended: " + program.endReason()));
			}
			if (program.running() != null) {
				return beginWhileRunning(program, request);
			}
			if (request.turn() > program.lastTurn() + 1) {
				return Either.left(turnGap(request, program.lastTurn()));
			}
			return reserveAndRun(program, request, workspace);
		}
	}

	/**
	 * Records that a turn is about to be sent to an upstream.
	 * @param run the turn
	 * @param upstream the upstream
	 * @return completes when the reservation is durable
	 */
	public CompletableFuture<Void> recordStart(TurnDecision.Run run, String upstream) {
		synchronized (this.monitor) {
			TurnRequest request = run.request();
			TurnStarted entry = TurnStarted.newBuilder()
				.setProgram(request.key().program())
				.setTurn(request.turn())
				.setRequestDigest(request.digest())
				.setReserved(run.reserved())
				.setUpstream(upstream)
				.build();
			this.states.apply(request.key(), entry);
			return append(request.key().workspace(), (b) -> b.setTurnStarted(entry));
		}
	}

	/**
	 * Records the answer of a turn.
	 * @param run the turn
	 * @param answer the complete answer
	 * @param message the message that the answer adds to the history
	 * @param used the number of tokens to charge
	 * @param upstream the upstream that ran it
	 * @return completes when the answer is durable
	 */
	public CompletableFuture<Void> finish(TurnDecision.Run run, JsonNode answer, JsonNode message, long used,
			String upstream) {
		synchronized (this.monitor) {
			TurnRequest request = run.request();
			ProgramState program = this.states.get(request.key());
			ArrayNode messages = Jsons.MAPPER.createArrayNode();
			messages.addAll(run.newMessages());
			messages.add(message);
			TurnFinished entry = TurnFinished.newBuilder()
				.setProgram(request.key().program())
				.setTurn(request.turn())
				.setRequestDigest(request.digest())
				.setMessages(ByteString.copyFrom(Jsons.bytes(messages)))
				.setAnswer(ByteString.copyFrom(Jsons.bytes(answer)))
				.setHistoryDigest(Digests.extend(program.historyDigest(), messages))
				.setCharged(used)
				.setUpstream(upstream)
				.build();
			ProgramState root = this.states.rootOf(program);
			Invariants.check(request.turn() == program.lastTurn() + 1, "turns-in-order", request.key());
			this.states.apply(request.key(), entry);
			Invariants.check((root.budget() == 0) || (root.charged() <= root.budget()), "budget-holds", root.key());
			CompletableFuture<Void> durable = append(request.key().workspace(), (b) -> b.setTurnFinished(entry));
			program.trackWrite(request.turn(), durable);
			completeRunningTurn(program);
			return durable;
		}
	}

	/**
	 * Records that a turn ended without an answer. The same turn may be requested again.
	 * @param run the turn
	 * @param used the number of tokens to charge: those that the turn used or may have
	 * used
	 * @return completes when the charge is durable
	 */
	public CompletableFuture<Void> abandon(TurnDecision.Run run, long used) {
		synchronized (this.monitor) {
			TurnRequest request = run.request();
			TurnAbandoned entry = TurnAbandoned.newBuilder()
				.setProgram(request.key().program())
				.setTurn(request.turn())
				.setCharged(used)
				.build();
			this.states.apply(request.key(), entry);
			CompletableFuture<Void> durable = append(request.key().workspace(), (b) -> b.setTurnAbandoned(entry));
			completeRunningTurn(this.states.get(request.key()));
			return durable;
		}
	}

	// ---- Programs

	/**
	 * Ends a program and all its descendants. Programs that have already ended are left
	 * unchanged.
	 * @param key the program
	 * @param reason the recorded reason
	 * @return completes when the end is durable, or the refusal
	 */
	public Either<Refusal, CompletableFuture<Void>> end(ProgramKey key, String reason) {
		synchronized (this.monitor) {
			ProgramState program = this.states.get(key);
			if (program == null) {
				return Either.left(unknownProgram(key));
			}
			List<ProgramState> subtree = new ArrayList<>();
			subtree.add(program);
			subtree.addAll(this.states.descendants(program));
			CompletableFuture<Void> last = CompletableFuture.completedFuture(null);
			for (ProgramState member : subtree) {
				if (!member.isEnded()) {
					last = endProgram(member, reason);
				}
			}
			return Either.right(last);
		}
	}

	/**
	 * Returns a view of a program.
	 * @param key the program
	 * @return the view, or empty if there is no such program
	 */
	public Optional<ProgramView> view(ProgramKey key) {
		synchronized (this.monitor) {
			return Optional.ofNullable(this.states.get(key)).map(this::view);
		}
	}

	/**
	 * Returns views of all programs.
	 * @return the views
	 */
	public List<ProgramView> views() {
		synchronized (this.monitor) {
			return this.states.all().stream().map(this::view).toList();
		}
	}

	/**
	 * Returns the history of a program.
	 * @param key the program
	 * @return the messages, or empty if there is no such program
	 */
	public Optional<List<JsonNode>> history(ProgramKey key) {
		synchronized (this.monitor) {
			return Optional.ofNullable(this.states.get(key)).map(ProgramState::history);
		}
	}

	/**
	 * Ends programs that have been idle for longer than their workspace allows, and
	 * evicts ended programs after the retention period. A program is not idle while a
	 * sub-agent of it is in use, which needs its budget and to which it will return. An
	 * ended program with unconfirmed releases is kept.
	 * @param workspaces the configured workspaces
	 */
	public void expire(Collection<Workspace> workspaces) {
		Map<WorkspaceId, Duration> limits = new HashMap<>();
		workspaces.forEach((w) -> limits.put(w.id(), w.programIdle()));
		synchronized (this.monitor) {
			List<ProgramState> expired = new ArrayList<>();
			Map<ProgramKey, Long> lastUses = this.states.lastUses(this.clock.nanoTime());
			for (ProgramState program : this.states.all()) {
				Duration idle = this.clock.elapsed(lastUses.get(program.key()));
				Duration limit = limits.get(program.key().workspace());
				if (program.isEnded()) {
					if (program.unreleased().isEmpty() && (idle.compareTo(ENDED_RETENTION) > 0)) {
						expired.add(program);
					}
				}
				else if ((limit != null) && (program.running() == null) && (idle.compareTo(limit) > 0)) {
					endProgram(program, "expired after " + limit);
				}
			}
			expired.forEach((program) -> this.states.remove(program.key()));
		}
	}

	/**
	 * Returns the unconfirmed releases of engine memory.
	 * @return a release for each ended program and upstream that may still hold memory
	 * for it
	 */
	public List<Release> unconfirmedReleases() {
		synchronized (this.monitor) {
			List<Release> releases = new ArrayList<>();
			for (ProgramState program : this.states.all()) {
				program.unreleased().forEach((upstream) -> releases.add(new Release(program.key(), upstream)));
			}
			return releases;
		}
	}

	/**
	 * Records that an upstream confirmed the release of a program's memory.
	 * @param release the confirmed release
	 */
	public void confirmRelease(Release release) {
		synchronized (this.monitor) {
			ReleaseConfirmed entry = ReleaseConfirmed.newBuilder()
				.setProgram(release.program().program())
				.setUpstream(release.upstream())
				.build();
			this.states.apply(release.program(), entry);
			append(release.program().workspace(), (b) -> b.setReleaseConfirmed(entry));
		}
	}

	// ---- Journal

	/**
	 * Applies a journal entry. Entries of other tables are ignored.
	 * @param entry the entry
	 */
	public void replay(Entry entry) {
		this.states.replay(entry);
	}

	/**
	 * Completes the replay. Turns whose outcome the previous owner did not record are
	 * charged with all the tokens reserved for them.
	 */
	public void replayCompleted() {
		this.states.chargeUnknownOutcomes();
	}

	/**
	 * Returns a snapshot of the table as journal entries.
	 * @return the entries that rebuild the table when replayed, roots before their
	 * sub-agents
	 */
	public List<Entry> liveEntries() {
		return this.states.liveEntries();
	}

	// ---- Helpers: turns

	private Either<Refusal, TurnDecision> openAndBegin(TurnRequest request, String root, Workspace workspace) {
		if (request.turn() != 1) {
			return Either.left(turnGap(request, 0));
		}
		ProgramKey rootKey = request.key().withProgram(root);
		ProgramState rootState = this.states.get(rootKey);
		boolean isRoot = root.equals(request.key().program());
		if (!isRoot && ((rootState == null) || rootState.isEnded())) {
			return Either.left(Refusal.notRun(409, "parent_ended",
					"parent \"" + request.parent() + "\" of program \"" + request.key().program() + "\" is not alive"));
		}
		long budget = 0;
		if (isRoot) {
			budget = (request.budget() > 0) ? request.budget() : workspace.budgetTokens();
		}
		ProgramOpened entry = ProgramOpened.newBuilder()
			.setProgram(request.key().program())
			.setRoot(root)
			.setParent((request.parent() != null) ? request.parent() : "")
			.setBudget(budget)
			.build();
		ProgramState program = this.states.open(request.key(), entry);
		Either<Refusal, TurnDecision> started = reserveAndRun(program, request, workspace);
		if (started.isLeft()) {
			this.states.remove(request.key());
			return started;
		}
		append(request.key().workspace(), (b) -> b.setProgramOpened(entry));
		return started;
	}

	private static Either<Refusal, TurnDecision> repeat(ProgramState program, TurnFinished recorded,
			TurnRequest request) {
		if (!recorded.getRequestDigest().equals(request.digest())) {
			return Either.left(Refusal.notRun(409, "turn_conflict", "turn " + request.turn() + " of program \""
					+ request.key().program() + "\" is recorded with another request"));
		}
		return Either.right(new TurnDecision.Recorded(recorded, program.pendingWrite(recorded.getTurn())));
	}

	private Either<Refusal, TurnDecision> beginWhileRunning(ProgramState program, TurnRequest request) {
		RunningTurn running = program.running();
		if ((request.turn() == running.turn()) && !running.digest().equals(request.digest())) {
			return Either.left(Refusal.notRun(409, "turn_conflict", "turn " + request.turn() + " of program \""
					+ request.key().program() + "\" is under way with another request"));
		}
		if (request.turn() > running.turn() + 1) {
			return Either.left(turnGap(request, program.lastTurn()));
		}
		return Either.right(new TurnDecision.Pending(running.done()));
	}

	private Either<Refusal, TurnDecision> reserveAndRun(ProgramState program, TurnRequest request,
			Workspace workspace) {
		if (request.turn() > workspace.maxTurns()) {
			return Either.left(Refusal.notRun(403, TOO_MANY_TURNS, "turn " + request.turn() + " of program \""
					+ request.key().program() + "\" exceeds the limit of " + workspace.maxTurns()));
		}
		Either<Refusal, List<JsonNode>> added = request.mode().newMessages(program, request.messages());
		if (added.isLeft()) {
			return Either.left(added.getLeft());
		}
		if (PromptSize.bytes(added.get()) > Journal.MAX_ENTRY_BYTES / 2) {
			return Either.left(Refusal.notRun(413, "turn_too_large",
					"the new messages of one turn are longer than " + Journal.MAX_ENTRY_BYTES / 2 + " bytes"));
		}
		List<JsonNode> prompt = program.history();
		prompt.addAll(added.get());
		ProgramState root = this.states.rootOf(program);
		return TurnReservation.of(request, prompt, root, this.states.reservedTokens(root)).map((tokens) -> {
			program.setRunning(new RunningTurn(request.turn(), request.digest(), new CompletableFuture<>()));
			program.reservations().put(request.turn(), tokens.reserved());
			return new TurnDecision.Run(request, added.get(), prompt, tokens.maxTokens(), tokens.reserved(),
					root.charged(), program.lastUpstream());
		});
	}

	private static Refusal turnGap(TurnRequest request, int lastTurn) {
		return Refusal
			.notRun(409, "turn_gap",
					"turn " + request.turn() + " of program \"" + request.key().program()
							+ "\" was requested, but the last finished turn is " + lastTurn)
			.withRetryAfter(GAP_RETRY_AFTER);
	}

	private void completeRunningTurn(ProgramState program) {
		RunningTurn running = program.running();
		program.setRunning(null);
		touch(program);
		if (running != null) {
			running.done().complete(null);
		}
	}

	// ---- Helpers: programs

	private CompletableFuture<Void> endProgram(ProgramState program, String reason) {
		ProgramEnded entry = ProgramEnded.newBuilder()
			.setProgram(program.key().program())
			.setReason(reason)
			.addAllUpstreams(program.upstreams())
			.build();
		this.states.apply(program.key(), entry);
		touch(program);
		EventLog.log(Event.PROGRAM_ENDED, "program", program.key(), "reason", reason);
		return append(program.key().workspace(), (b) -> b.setProgramEnded(entry));
	}

	private void touch(ProgramState program) {
		program.touch(this.clock.nanoTime());
		this.states.rootOf(program).touch(this.clock.nanoTime());
	}

	private ProgramView view(ProgramState program) {
		ProgramState root = this.states.rootOf(program);
		String state = (program.running() != null) ? "running" : "idle";
		return new ProgramView(program.key().workspace().value(), program.key().program(),
				program.isEnded() ? "ended" : state, program.endReason(), program.lastTurn(), program.historyDigest(),
				program.root(), program.parent(), root.budget(), root.charged(), this.states.reservedTokens(root));
	}

	private static Refusal unknownProgram(ProgramKey key) {
		return Refusal.notRun(404, "unknown_program", "there is no program \"" + key.program() + "\"");
	}

	private CompletableFuture<Void> append(WorkspaceId workspace, UnaryOperator<Entry.Builder> body) {
		return this.log.append(List.of(ProgramEntries.entry(workspace, body)));
	}

	/**
	 * A release of the engine memory that an upstream may hold for a program.
	 *
	 * @param program the program
	 * @param upstream the upstream
	 */
	public record Release(ProgramKey program, String upstream) {
	}

}
