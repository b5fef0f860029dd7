package org.mangorack.program;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.journal.proto.TurnFinished;

/**
 * What has to be done for a requested turn.
 */
public sealed interface TurnStart {

	/**
	 * The turn is recorded; the caller gets the recorded answer.
	 *
	 * @param finished the recorded turn
	 * @param durable completes when the record is durable
	 */
	record Recorded(TurnFinished finished, CompletableFuture<Void> durable) implements TurnStart {
	}

	/**
	 * The same turn, or the one before it, is under way; ask again when it is done.
	 *
	 * @param done completes when asking again makes sense
	 */
	record Pending(CompletableFuture<Void> done) implements TurnStart {
	}

	/**
	 * The turn has to run now.
	 *
	 * @param request the request
	 * @param newMessages the messages that the request adds to the history
	 * @param prompt the whole history with the new messages
	 * @param maxTokens the tokens that may be generated, or 0 when there is no bound
	 * @param reserved the tokens reserved from the budget
	 * @param attained the tokens that the whole program used so far
	 * @param lastUpstream the upstream that ran the turn before, or an empty text
	 */
	record Run(TurnRequest request, List<JsonNode> newMessages, List<JsonNode> prompt, long maxTokens, long reserved,
			long attained, String lastUpstream) implements TurnStart {
	}

}
