package org.mangorack.program;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Refusal;

/**
 * Buffers the events of a running turn for its caller. The turn continues if the caller
 * disconnects, so that a repeated request can get the answer.
 */
final class TurnOutput {

	private static final Duration EVENT_TIMEOUT = Duration.ofMinutes(5);

	private static final String END_OF_STREAM = "";

	private final CompletableFuture<Either<Refusal, Void>> answerStart = new CompletableFuture<>();

	private final CompletableFuture<Either<Refusal, JsonNode>> answer = new CompletableFuture<>();

	private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

	/**
	 * Signals that the upstream has started to answer.
	 */
	void answerStarted() {
		this.answerStart.complete(Either.right(null));
	}

	/**
	 * Adds an event to the stream.
	 * @param event the event
	 */
	void event(JsonNode event) {
		this.events.add(frame(event.toString()));
	}

	/**
	 * Completes the turn. All events of the stream must have been added before.
	 * @param completeAnswer the complete answer
	 */
	void finished(JsonNode completeAnswer) {
		this.events.add(frame("[DONE]"));
		this.events.add(END_OF_STREAM);
		this.answer.complete(Either.right(completeAnswer));
	}

	/**
	 * Completes the turn with a refusal. If the stream has started, the refusal is sent
	 * as an error event.
	 * @param refusal the refusal
	 */
	void refused(Refusal refusal) {
		this.events.add("event: error\n" + frame(CallAnswer.problem(refusal).toString()));
		this.events.add(END_OF_STREAM);
		this.answerStart.complete(Either.left(refusal));
		this.answer.complete(Either.left(refusal));
	}

	/**
	 * Waits until the upstream has started to answer or the turn is refused.
	 * @return the refusal, if there is one
	 */
	Either<Refusal, Void> awaitAnswerStart() {
		return this.answerStart.join();
	}

	/**
	 * Waits for the complete answer.
	 * @return the answer or the refusal
	 */
	Either<Refusal, JsonNode> awaitAnswer() {
		return this.answer.join();
	}

	/**
	 * Writes the events as they arrive, until the turn is complete.
	 * @param out receives the events
	 * @throws IOException if the receiver has disconnected, or if no event arrives in
	 * time
	 */
	void copyTo(OutputStream out) throws IOException {
		for (String event = next(); !event.equals(END_OF_STREAM); event = next()) {
			out.write(event.getBytes(StandardCharsets.UTF_8));
			if (this.events.isEmpty()) {
				out.flush();
			}
		}
	}

	private String next() throws IOException {
		try {
			String event = this.events.poll(EVENT_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
			if (event == null) {
				throw new IOException("no event of the turn received within " + EVENT_TIMEOUT);
			}
			return event;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted while waiting for an event of the turn", ex);
		}
	}

	private static String frame(String data) {
		return "data: " + data + "\n\n";
	}

}
