package org.mangorack.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.call.SendGuard;
import org.mangorack.call.UpstreamId;
import org.mangorack.call.Verdict;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Upstream;
import org.mangorack.dispatch.ModelSlotClient;
import org.mangorack.dispatch.RetryBudget;
import org.mangorack.dispatch.Slot;
import org.mangorack.http.HttpCallException;
import org.mangorack.http.HttpReply;
import org.mangorack.member.proto.SlotRequest;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.program.PromptSize;
import org.mangorack.upstream.EventReader;
import org.mangorack.upstream.UpstreamClient;

/**
 * Handles chat completions that belong to no program. They are not written to the
 * journal.
 */
final class DirectChat {

	private static final Duration SLOT_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(120);

	private static final Duration FIRST_EVENT_TIMEOUT = Duration.ofSeconds(60);

	private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(5);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final int MAX_ATTEMPTS = 3;

	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	private static final Map<String, String> HEADERS = Map.of("Content-Type", "application/json");

	private final ModelSlotClient models;

	private final RetryBudget retries;

	private final UpstreamClient client;

	DirectChat(ModelSlotClient models, RetryBudget retries, UpstreamClient client) {
		this.models = models;
		this.retries = retries;
		this.client = client;
	}

	/**
	 * Sends a chat completion to an upstream, and retries it on another upstream if the
	 * first one fails.
	 * @param workspace the workspace of the caller
	 * @param body the request body
	 * @param guard checked immediately before each attempt
	 * @return the response, or the refusal
	 */
	Either<Refusal, CallAnswer> answer(WorkspaceId workspace, ObjectNode body, SendGuard guard) {
		Set<UpstreamId> failed = new HashSet<>();
		Refusal lastRefusal = null;
		this.retries.recordFirstAttempt();
		for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
			if ((lastRefusal != null) && !this.retries.tryRetry()) {
				break;
			}
			Either<Refusal, Slot> slot = this.models.acquire(slotRequest(workspace, body), failed, SLOT_TIMEOUT);
			Optional<Refusal> refusal = guard.check();
			if (slot.isLeft() || refusal.isPresent()) {
				slot.forEach(Slot::close);
				Refusal current = slot.isLeft() ? slot.getLeft() : refusal.get();
				return Either.left((lastRefusal != null) ? lastRefusal : current);
			}
			Refusal earlier = lastRefusal;
			Either<Refusal, CallAnswer> answer = attempt(slot.get(), body)
				.mapLeft((failure) -> failure.withEarlierAttempts(earlier));
			if (answer.isRight() || !answer.getLeft().code().equals("upstream_failed")) {
				return answer;
			}
			lastRefusal = answer.getLeft();
			failed.add(slot.get().upstream().id());
		}
		return Either.left(lastRefusal);
	}

	private static SlotRequest.Builder slotRequest(WorkspaceId workspace, ObjectNode body) {
		List<JsonNode> messages = new ArrayList<>();
		body.path("messages").forEach(messages::add);
		return SlotRequest.newBuilder()
			.setPool(body.path("model").asText())
			.setWorkspace(workspace.value())
			.setPromptTokens(PromptSize.tokens(messages))
			.setMaxTokens(body.path("max_tokens").asLong());
	}

	private Either<Refusal, CallAnswer> attempt(Slot slot, ObjectNode body) {
		Upstream upstream = slot.upstream();
		boolean stream = body.path("stream").asBoolean();
		HttpReply reply = null;
		try {
			reply = this.client.send(upstream, "POST", "/v1/chat/completions", HEADERS, Jsons.bytes(body),
					stream ? FIRST_EVENT_TIMEOUT : RESPONSE_TIMEOUT, true);
			if (stream && (reply.status() == 200)) {
				EventReader events = new EventReader(this.client, upstream, reply, IDLE_TIMEOUT);
				return Either.right(CallAnswer.stream(200, "text/event-stream", (out) -> copy(events, slot, out)));
			}
			byte[] bytes = reply.readAll(MAX_RESPONSE_BYTES);
			slot.recordSuccess();
			reply.close();
			slot.close();
			return Either.right(CallAnswer.of(reply.status(), reply.header("Content-Type", "application/json"), bytes));
		}
		catch (HttpCallException ex) {
			return failed(slot, ex.verdict(), ex);
		}
		catch (IOException ex) {
			reply.close();
			return failed(slot, Verdict.MAY_HAVE_RUN, ex);
		}
	}

	private static Either<Refusal, CallAnswer> failed(Slot slot, Verdict verdict, IOException cause) {
		slot.recordFailure();
		slot.close();
		UpstreamId upstream = slot.upstream().id();
		EventLog.log(Event.UPSTREAM_FAILED, "upstream", upstream, "verdict", verdict, "cause", cause.getMessage());
		return Either.left(new Refusal(502, "upstream_failed", "upstream \"" + upstream + "\": " + cause.getMessage(),
				verdict, RETRY_AFTER));
	}

	// Forwards events to the caller. If the caller disconnects or the upstream fails, the
	// call is cancelled at the engine.
	private static void copy(EventReader events, Slot slot, OutputStream out) throws IOException {
		boolean complete = false;
		try {
			for (Optional<JsonNode> e = next(events, out); e.isPresent(); e = next(events, out)) {
				write(out, "data: " + e.get() + "\n\n");
			}
			write(out, "data: [DONE]\n\n");
			slot.recordSuccess();
			complete = true;
		}
		finally {
			if (!complete) {
				events.cancel();
			}
			events.close();
			slot.close();
		}
	}

	private static Optional<JsonNode> next(EventReader events, OutputStream out) throws IOException {
		try {
			return events.next();
		}
		catch (IOException ex) {
			Refusal refusal = new Refusal(502, "upstream_failed", String.valueOf(ex.getMessage()), Verdict.MAY_HAVE_RUN,
					RETRY_AFTER);
			write(out, "event: error\ndata: " + CallAnswer.problem(refusal) + "\n\n");
			throw ex;
		}
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

}
