package org.mangorack.program;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.call.SendGuard;
import org.mangorack.call.UpstreamId;
import org.mangorack.call.Verdict;
import org.mangorack.config.Upstream;
import org.mangorack.dispatch.CallMeasurements;
import org.mangorack.dispatch.ModelSlotClient;
import org.mangorack.dispatch.NotRunStatus;
import org.mangorack.dispatch.RetryBudget;
import org.mangorack.dispatch.Slot;
import org.mangorack.http.HttpCallException;
import org.mangorack.http.HttpReply;
import org.mangorack.member.proto.SlotRequest;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.upstream.AnswerAssembler;
import org.mangorack.upstream.EventReader;
import org.mangorack.upstream.UpstreamClient;

/**
 * Runs one turn: sends it to a model engine, forwards the events and records the answer.
 * Runs on its own thread, independent of the caller's connection.
 */
final class TurnExecution implements Runnable {

	private static final Duration SLOT_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration RESERVATION_TIMEOUT = Duration.ofSeconds(3);

	static final Duration RECORD_TIMEOUT = Duration.ofSeconds(10);

	private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofSeconds(60);

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final int MAX_ATTEMPTS = 3;

	private static final int MAX_ANSWER_BYTES = 150 * 1024;

	private final ProgramTable table;

	private final TurnDecision.Run run;

	private final TurnOutput output;

	private final ModelSlotClient models;

	private final RetryBudget retries;

	private final UpstreamClient client;

	private final BooleanSupplier platformUnavailable;

	private final SendGuard guard;

	private final Set<UpstreamId> failedUpstreams = new HashSet<>();

	private Refusal lastFailure;

	/**
	 * Creates the execution of a turn.
	 * @param table records the turn
	 * @param run the turn
	 * @param output receives the events
	 * @param collaborators the collaborators that are needed to call upstreams
	 * @param guard checked immediately before the turn is sent
	 */
	TurnExecution(ProgramTable table, TurnDecision.Run run, TurnOutput output, Collaborators collaborators,
			SendGuard guard) {
		this.table = table;
		this.run = run;
		this.output = output;
		this.models = collaborators.models();
		this.retries = collaborators.retries();
		this.client = collaborators.client();
		this.platformUnavailable = collaborators.platformUnavailable();
		this.guard = guard;
	}

	@Override
	public void run() {
		try {
			execute();
		}
		catch (RuntimeException ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "program", this.run.request().key());
			abort(Refusal.mayHaveRun(500, "internal_error", "the turn failed unexpectedly"), this.run.reserved());
		}
	}

	// ---- Attempts

	private void execute() {
		this.retries.recordFirstAttempt();
		for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
			Either<Refusal, Slot> slot = this.models.acquire(slotRequest(), this.failedUpstreams, SLOT_TIMEOUT);
			if (slot.isLeft()) {
				abort((this.lastFailure != null) ? this.lastFailure : slot.getLeft(), tokensToCharge(this.lastFailure));
				return;
			}
			try (Slot taken = slot.get()) {
				if (attempt(taken)) {
					return;
				}
			}
			boolean retryAllowed = this.lastFailure.verdict().allowsRetry(this.run.reserved() == 0);
			if (!retryAllowed || !this.retries.tryRetry()) {
				break;
			}
			EventLog.log(Event.CALL_RETRIED, "program", this.run.request().key(), "cause", this.lastFailure.detail());
		}
		abort(this.lastFailure, tokensToCharge(this.lastFailure));
	}

	// Returns true if the turn is complete, and false if it may be retried.
	private boolean attempt(Slot slot) {
		Upstream upstream = slot.upstream();
		CompletableFuture<Void> reserved = this.table.recordStart(this.run, upstream.id().value());
		if ((this.run.reserved() > 0) && (WriteOutcome.await(reserved, RESERVATION_TIMEOUT,
				this.platformUnavailable) != WriteOutcome.DURABLE)) {
			abort(Refusal.unavailable("platform_unavailable",
					"the budget of program \"" + this.run.request().key().program() + "\" cannot be reserved",
					RETRY_AFTER), 0);
			return true;
		}
		Optional<Refusal> refusal = this.guard.check();
		if (refusal.isPresent()) {
			Refusal combined = refusal.get().withEarlierAttempts(this.lastFailure);
			abort(combined, tokensToCharge(combined));
			return true;
		}
		return call(slot);
	}

	private boolean call(Slot slot) {
		Upstream upstream = slot.upstream();
		boolean answerStarted = false;
		try (HttpReply reply = this.client.send(upstream, "POST", "/v1/chat/completions", headers(),
				Jsons.bytes(upstreamBody()), FIRST_EVENT_TIMEOUT, true)) {
			if (reply.status() != 200) {
				return handleErrorStatus(slot, reply);
			}
			try (EventReader events = new EventReader(this.client, upstream, reply, IDLE_TIMEOUT)) {
				AnswerAssembler assembler = new AnswerAssembler();
				JsonNode last = null;
				Stopwatch watch = new Stopwatch();
				for (Optional<JsonNode> e = events.next(); e.isPresent(); e = events.next()) {
					assembler.add(e.get());
					watch.recordEvent();
					answerStarted = true;
					this.output.answerStarted();
					last = forward(e.get(), last);
				}
				slot.recordSuccess();
				slot.recordMeasurements(watch.times(assembler));
				record(upstream, assembler, last);
				return true;
			}
		}
		catch (HttpCallException ex) {
			slot.recordFailure();
			return handleFailure(upstream, ex.verdict(), ex.getMessage(), answerStarted);
		}
		catch (IOException ex) {
			slot.recordFailure();
			return handleFailure(upstream, Verdict.MAY_HAVE_RUN, ex.getMessage(), answerStarted);
		}
	}

	private boolean handleErrorStatus(Slot slot, HttpReply reply) throws IOException {
		String text = new String(reply.readAll(MAX_ANSWER_BYTES), StandardCharsets.UTF_8);
		if ((reply.status() >= 500) || NotRunStatus.isStatedBy(reply.status(), true)) {
			slot.recordFailure();
			return handleFailure(slot.upstream(), Verdict.MAY_HAVE_RUN, "status " + reply.status() + ": " + text,
					false);
		}
		this.lastFailure = new Refusal(reply.status(), "upstream_refused", text, Verdict.RAN, null)
			.withEarlierAttempts(this.lastFailure);
		abort(this.lastFailure, 0);
		return true;
	}

	private boolean handleFailure(Upstream upstream, Verdict verdict, String cause, boolean answerStarted) {
		EventLog.log(Event.UPSTREAM_FAILED, "upstream", upstream.id(), "verdict", verdict, "cause", cause);
		this.failedUpstreams.add(upstream.id());
		this.lastFailure = new Refusal(502, "upstream_failed", "upstream \"" + upstream.id() + "\": " + cause, verdict,
				RETRY_AFTER)
			.withEarlierAttempts(this.lastFailure);
		if (answerStarted) {
			abort(this.lastFailure, tokensToCharge(this.lastFailure));
		}
		return answerStarted;
	}

	// ---- Events

	// Forwards an event to the caller and returns the finishing event, if it has been
	// received. The finishing event is withheld until the answer is recorded, and later
	// events are not forwarded. Events that carry only token usage are not forwarded
	// either.
	private JsonNode forward(JsonNode event, JsonNode finishingEvent) {
		boolean finishing = event.path("choices").path(0).hasNonNull("finish_reason");
		if (finishing) {
			return event;
		}
		boolean usageOnly = event.path("choices").isEmpty();
		if (finishingEvent == null && !usageOnly) {
			this.output.event(event);
		}
		return finishingEvent;
	}

	private void record(Upstream upstream, AnswerAssembler assembler, JsonNode finishing) {
		ObjectNode answer = assembler.answer();
		if (!assembler.isComplete() || (answer.toString().length() > MAX_ANSWER_BYTES)) {
			abort(new Refusal(502, "unusable_answer",
					"upstream \"" + upstream.id() + "\" gave an answer that is incomplete or longer than "
							+ MAX_ANSWER_BYTES + " characters",
					Verdict.RAN, null), Math.max(assembler.totalTokens(), this.run.reserved()));
			return;
		}
		long used = (assembler.totalTokens() > 0) ? assembler.totalTokens() : this.run.reserved();
		CompletableFuture<Void> write = this.table.finish(this.run, answer, assembler.message(), used,
				upstream.id().value());
		WriteOutcome outcome = WriteOutcome.await(write, RECORD_TIMEOUT, this.platformUnavailable);
		if (outcome == WriteOutcome.LOST) {
			this.output.refused(Refusal
				.mayHaveRun(503, "ownership_lost",
						"the turn ran, but another instance took over the program before the answer was recorded")
				.withRetryAfter(RETRY_AFTER));
			return;
		}
		ObjectNode metadata = TurnAnswers.metadata(this.run.request(), outcome == WriteOutcome.DURABLE);
		this.output.event(((ObjectNode) finishing).set("mangorack", metadata));
		if (this.run.request().body().path("stream_options").path("include_usage").asBoolean()) {
			this.output.event(usageEvent(answer));
		}
		this.output.finished(answer.set("mangorack", metadata));
	}

	private static ObjectNode usageEvent(ObjectNode answer) {
		ObjectNode event = Jsons.object();
		event.put("id", answer.path("id").asText());
		event.put("object", "chat.completion.chunk");
		event.put("created", answer.path("created").asLong());
		event.put("model", answer.path("model").asText());
		event.putArray("choices");
		event.set("usage", answer.path("usage"));
		return event;
	}

	// ---- Helpers

	/**
	 * Returns the refusal of a turn that ran, but whose answer could not be recorded
	 * because another instance took over the program.
	 * @return the refusal
	 */
	static Refusal ownershipLost() {
		return Refusal
			.mayHaveRun(503, "ownership_lost",
					"the turn ran, but another instance took over the program before the answer was recorded")
			.withRetryAfter(RETRY_AFTER);
	}

	private void abort(Refusal refusal, long used) {
		this.table.abandon(this.run, used);
		this.output.refused(refusal);
	}

	private long tokensToCharge(Refusal failure) {
		boolean knownNotRun = (failure == null) || (failure.verdict() == Verdict.NOT_RUN);
		return knownNotRun ? 0 : this.run.reserved();
	}

	private SlotRequest.Builder slotRequest() {
		long prompt = PromptSize.tokens(this.run.prompt());
		long added = PromptSize.tokens(this.run.newMessages());
		return SlotRequest.newBuilder()
			.setPool(this.run.request().body().path("model").asText())
			.setWorkspace(this.run.request().key().workspace().value())
			.setProgram(this.run.request().key().program())
			.setPromptTokens(prompt)
			.setCachedTokens(this.run.lastUpstream().isEmpty() ? 0 : prompt - added)
			.setMaxTokens(this.run.maxTokens())
			.setAttainedTokens(this.run.attained())
			.setPreferred(this.run.lastUpstream());
	}

	private Map<String, String> headers() {
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Content-Type", "application/json");
		headers.put("Accept", "text/event-stream");
		headers.put(UpstreamClient.PROGRAM, this.run.request().key().toString());
		return headers;
	}

	private ObjectNode upstreamBody() {
		ObjectNode body = this.run.request().body().deepCopy();
		ArrayNode messages = body.putArray("messages");
		this.run.prompt().forEach(messages::add);
		body.put("stream", true);
		body.putObject("stream_options").put("include_usage", true);
		if (this.run.maxTokens() > 0) {
			body.remove("max_completion_tokens");
			body.put("max_tokens", this.run.maxTokens());
		}
		return body;
	}

	/**
	 * The collaborators that are needed to call upstreams.
	 *
	 * @param models allocates slots of model engines
	 * @param retries limits the rate of retries
	 * @param client sends calls
	 * @param platformUnavailable returns whether the platform is unavailable, so that
	 * journal writes cannot become durable
	 */
	record Collaborators(ModelSlotClient models, RetryBudget retries, UpstreamClient client,
			BooleanSupplier platformUnavailable) {
	}

	/**
	 * Measures the time to the first event of a stream and from the first event to the
	 * last.
	 */
	private static final class Stopwatch {

		private final long startedAt = System.nanoTime();

		private long firstAt;

		private long lastAt;

		private void recordEvent() {
			this.lastAt = System.nanoTime();
			this.firstAt = (this.firstAt == 0) ? this.lastAt : this.firstAt;
		}

		private CallMeasurements times(AnswerAssembler answer) {
			return new CallMeasurements(answer.promptTokens(), answer.cachedTokens(), answer.generatedTokens(),
					(this.firstAt - this.startedAt) / 1000, (this.lastAt - this.firstAt) / 1000);
		}

	}

}
