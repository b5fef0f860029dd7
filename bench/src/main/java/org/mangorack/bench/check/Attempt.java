package org.mangorack.bench.check;

/**
 * One request of a caller and its outcome.
 *
 * @param subject the program or idempotency key
 * @param turn the turn number, or 0 for a service call
 * @param text the text that the caller sent
 * @param outcome the outcome
 * @param answer the text of the response, empty if there is none
 */
public record Attempt(String subject, int turn, String text, Outcome outcome, String answer) {

	/**
	 * The outcome of a request.
	 */
	public enum Outcome {

		/**
		 * A response whose turn is durable, so that it survives the loss of an instance.
		 */
		ANSWERED,

		/** A response marked as not yet durable. */
		ANSWERED_NOT_DURABLE,

		/** An error response with the verdict {@code not_run}. */
		NOT_RUN,

		/** An error response with the verdict {@code may_have_run} or {@code ran}. */
		MAY_HAVE_RUN,

		/** No response, or an incomplete one. */
		BROKEN

	}

}
