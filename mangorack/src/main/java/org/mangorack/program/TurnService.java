package org.mangorack.program;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Futures;
import org.mangorack.call.Refusal;
import org.mangorack.call.SendGuard;
import org.mangorack.config.Workspace;
import org.mangorack.dispatch.ModelSlotClient;
import org.mangorack.dispatch.RetryBudget;
import org.mangorack.upstream.UpstreamClient;

/**
 * Processes turns of programs that this instance owns.
 */
public final class TurnService {

	private static final Duration GAP_TIMEOUT = Duration.ofMillis(1500);

	private static final Duration GAP_POLL_INTERVAL = Duration.ofMillis(25);

	private static final Duration PENDING_TIMEOUT = Duration.ofMinutes(2);

	private final TurnExecution.Collaborators collaborators;

	private final ExecutorService turnExecutor;

	/**
	 * Creates the service.
	 * @param models allocates slots of model engines
	 * @param retries limits the rate of retries
	 * @param client sends calls
	 * @param platformUnavailable returns whether the platform is unavailable, so that
	 * journal writes cannot become durable
	 * @param turnExecutor runs turns
	 */
	public TurnService(ModelSlotClient models, RetryBudget retries, UpstreamClient client,
			BooleanSupplier platformUnavailable, ExecutorService turnExecutor) {
		this.collaborators = new TurnExecution.Collaborators(models, retries, client, platformUnavailable);
		this.turnExecutor = turnExecutor;
	}

	/**
	 * Answers a turn. A repeated request for a finished turn gets the recorded answer,
	 * and one for a running turn waits for it.
	 * @param table the programs of the shard
	 * @param request the request
	 * @param root the name of the root program
	 * @param workspace the workspace
	 * @param guard checked immediately before the turn is sent
	 * @param onDone called once when the shard is no longer in use
	 * @return the answer, or the refusal
	 */
	public Either<Refusal, CallAnswer> answer(ProgramTable table, TurnRequest request, String root, Workspace workspace,
			SendGuard guard, Runnable onDone) {
		Either<Refusal, TurnDecision> start;
		try {
			start = begin(table, request, root, workspace);
		}
		catch (RuntimeException ex) {
			onDone.run();
			throw ex;
		}
		if (start.isLeft()) {
			onDone.run();
			return Either.left(start.getLeft());
		}
		if (start.get() instanceof TurnDecision.Run run) {
			return execute(table, run, guard, onDone);
		}
		onDone.run();
		return repeat(request, (TurnDecision.Recorded) start.get());
	}

	private Either<Refusal, TurnDecision> begin(ProgramTable table, TurnRequest request, String root,
			Workspace workspace) {
		long gapDeadline = System.nanoTime() + GAP_TIMEOUT.toNanos();
		while (true) {
			Either<Refusal, TurnDecision> start = table.begin(request, root, workspace);
			boolean gap = start.isLeft() && start.getLeft().code().equals("turn_gap");
			if (gap && (System.nanoTime() < gapDeadline)) {
				pause();
				continue;
			}
			if (start.isRight() && (start.get() instanceof TurnDecision.Pending pending)) {
				if (!Futures.awaitCompletion(pending.done(), PENDING_TIMEOUT)) {
					return Either.left(Refusal.unavailable("turn_under_way",
							"turn " + request.turn() + " is still under way", Duration.ofSeconds(5)));
				}
				continue;
			}
			return start;
		}
	}

	private Either<Refusal, CallAnswer> execute(ProgramTable table, TurnDecision.Run run, SendGuard guard,
			Runnable onDone) {
		TurnOutput output = new TurnOutput();
		TurnExecution execution = new TurnExecution(table, run, output, this.collaborators, guard);
		this.turnExecutor.execute(() -> {
			try {
				execution.run();
			}
			finally {
				onDone.run();
			}
		});
		if (run.request().isStream()) {
			return output.awaitAnswerStart()
				.map((answerStarted) -> CallAnswer.stream(200, "text/event-stream", output::copyTo));
		}
		return output.awaitAnswer().map((answer) -> CallAnswer.json(200, answer));
	}

	private Either<Refusal, CallAnswer> repeat(TurnRequest request, TurnDecision.Recorded recorded) {
		WriteOutcome outcome = WriteOutcome.await(recorded.durable(), TurnExecution.RECORD_TIMEOUT,
				this.collaborators.platformUnavailable());
		if (outcome == WriteOutcome.LOST) {
			return Either.left(TurnExecution.ownershipLost());
		}
		return Either.right(TurnAnswers.recorded(request, recorded.finished(), outcome == WriteOutcome.DURABLE));
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(GAP_POLL_INTERVAL.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
