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
import org.mangorack.dispatch.ModelSlots;
import org.mangorack.dispatch.RetryBudget;
import org.mangorack.upstream.UpstreamClient;

/**
 * Answers the turns of programs that this instance owns.
 */
public final class TurnService {

	private static final Duration GAP_WAIT = Duration.ofMillis(1500);

	private static final Duration GAP_POLL = Duration.ofMillis(25);

	private static final Duration PENDING_LIMIT = Duration.ofMinutes(2);

	private final TurnExecution.Tools tools;

	private final ExecutorService traffic;

	/**
	 * Creates the service.
	 * @param models gets slots of model engines
	 * @param retries bounds retries
	 * @param client sends calls
	 * @param platformOut tells whether nothing can be made durable at present
	 * @param traffic runs turns
	 */
	public TurnService(ModelSlots models, RetryBudget retries, UpstreamClient client, BooleanSupplier platformOut,
			ExecutorService traffic) {
		this.tools = new TurnExecution.Tools(models, retries, client, platformOut);
		this.traffic = traffic;
	}

	/**
	 * Answers a turn. Repeats of a finished turn get the recorded answer, and repeats of
	 * a running one wait for it.
	 * @param table the programs of the shard
	 * @param request the request
	 * @param root the name of the root program
	 * @param workspace the workspace
	 * @param guard checked right before the turn is sent
	 * @param onDone runs once when the shard is not used any more
	 * @return the answer, or the refusal
	 */
	public Either<Refusal, CallAnswer> answer(ProgramTable table, TurnRequest request, String root, Workspace workspace,
			SendGuard guard, Runnable onDone) {
		Either<Refusal, TurnStart> start;
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
		if (start.get() instanceof TurnStart.Run run) {
			return execute(table, run, guard, onDone);
		}
		onDone.run();
		return repeat(request, (TurnStart.Recorded) start.get());
	}

	private Either<Refusal, TurnStart> begin(ProgramTable table, TurnRequest request, String root,
			Workspace workspace) {
		long gapDeadline = System.nanoTime() + GAP_WAIT.toNanos();
		while (true) {
			Either<Refusal, TurnStart> start = table.begin(request, root, workspace);
			boolean gap = start.isLeft() && start.getLeft().code().equals("turn_gap");
			if (gap && (System.nanoTime() < gapDeadline)) {
				pause();
				continue;
			}
			if (start.isRight() && (start.get() instanceof TurnStart.Pending pending)) {
				if (!Futures.awaitCompletion(pending.done(), PENDING_LIMIT)) {
					return Either.left(Refusal.unavailable("turn_under_way",
							"turn " + request.turn() + " is still under way", Duration.ofSeconds(5)));
				}
				continue;
			}
			return start;
		}
	}

	private Either<Refusal, CallAnswer> execute(ProgramTable table, TurnStart.Run run, SendGuard guard,
			Runnable onDone) {
		TurnOutput output = new TurnOutput();
		TurnExecution execution = new TurnExecution(table, run, output, this.tools, guard);
		this.traffic.execute(() -> {
			try {
				execution.run();
			}
			finally {
				onDone.run();
			}
		});
		if (run.request().isStream()) {
			return output.awaitHead().map((begun) -> CallAnswer.stream(200, "text/event-stream", output::copyTo));
		}
		return output.awaitAnswer().map((answer) -> CallAnswer.json(200, answer));
	}

	private Either<Refusal, CallAnswer> repeat(TurnRequest request, TurnStart.Recorded recorded) {
		Durability durability = Durability.await(recorded.durable(), TurnExecution.RECORD_LIMIT,
				this.tools.platformOut());
		if (durability == Durability.LOST) {
			return Either.left(TurnExecution.ownershipLost());
		}
		return Either.right(TurnNotes.recorded(request, recorded.finished(), durability == Durability.DURABLE));
	}

	private static void pause() {
		try {
			TimeUnit.MILLISECONDS.sleep(GAP_POLL.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
