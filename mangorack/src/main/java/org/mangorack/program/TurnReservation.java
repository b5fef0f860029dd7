package org.mangorack.program;

import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.mangorack.call.Refusal;

/**
 * The token limits of a turn.
 *
 * @param maxTokens the maximum number of tokens to generate, or 0 for no limit
 * @param reserved the tokens reserved from the budget
 */
record TurnReservation(long maxTokens, long reserved) {

	private static final int TOKENS_PER_MESSAGE = 16;

	/**
	 * Computes an upper bound of the tokens that a turn can use. A token is at least one
	 * byte long, so the size of the prompt in bytes, plus an allowance for each message,
	 * is an upper bound of its tokens.
	 * @param request the request
	 * @param prompt the complete prompt
	 * @param root the root program, which holds the budget
	 * @param reserved the tokens already reserved for turns in progress
	 * @return the reservation, or a refusal if the remaining budget is too small
	 */
	static Either<Refusal, TurnReservation> of(TurnRequest request, List<JsonNode> prompt, ProgramState root,
			long reserved) {
		long requestedTokens = request.body()
			.path("max_completion_tokens")
			.asLong(request.body().path("max_tokens").asLong(0));
		if (root.budget() == 0) {
			return Either.right(new TurnReservation(requestedTokens, 0));
		}
		long remaining = root.budget() - root.charged() - reserved;
		long promptBound = PromptSize.bytes(prompt) + ((long) TOKENS_PER_MESSAGE * prompt.size());
		long maxAvailable = remaining - promptBound;
		if (maxAvailable < 1) {
			return Either.left(Refusal.notRun(403, "budget_exhausted",
					"program \"" + root.key().program() + "\" has " + remaining + " of " + root.budget()
							+ " tokens left, and turn " + request.turn() + " may need " + (promptBound + 1)));
		}
		long maxTokens = (requestedTokens > 0) ? Math.min(requestedTokens, maxAvailable) : maxAvailable;
		return Either.right(new TurnReservation(maxTokens, promptBound + maxTokens));
	}

}
