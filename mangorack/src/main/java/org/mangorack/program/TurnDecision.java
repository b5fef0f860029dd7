package org.mangorack.program;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.journal.proto.TurnFinished;

/**
 * Tells how to process a requested turn.
 */
public sealed interface TurnDecision {

	/**
	 * The turn has finished; the caller gets the recorded answer.
	 *
	 * @param finished the recorded turn
	 * @param durable completes when the record is durable
	 */
	record Recorded(TurnFinished finished, CompletableFuture<Void> durable) implements TurnDecision {
	}

	/**
	 * The requested turn, or the one before it, is in progress. The request has to be
	 * tried again when that turn is done.
	 *
	 * @param done completes when the turn in progress has finished or was abandoned
	 */
	record Pending(CompletableFuture<Void> done) implements TurnDecision {
	}

	/**
	 * The turn has to run now.
	 *
	 * @param request the request
	 * @param newMessages the messages that the request adds to the history
	 * @param prompt the complete history, including the new messages
	 * @param maxTokens the maximum number of tokens to generate, or 0 for no limit
	 * @param reserved the tokens reserved from the budget
	 * @param attained the tokens charged so far to the root program and its descendants
	 * @param lastUpstream the upstream that ran the previous turn, or an empty string
	 */
	record Run(TurnRequest request, List<JsonNode> newMessages, List<JsonNode> prompt, long maxTokens, long reserved,
			long attained, String lastUpstream) implements TurnDecision {
	}

}
