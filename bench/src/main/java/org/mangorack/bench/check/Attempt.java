package org.mangorack.bench.check;

/**
 * One request of a caller and what came back.
 *
 * @param subject the program or idempotency key
 * @param turn the number of the turn, or 0 for a call of a service
 * @param text what the caller sent
 * @param outcome what came back
 * @param answer the text of the answer, or an empty text
 */
public record Attempt(String subject, int turn, String text, Outcome outcome, String answer) {

	/**
	 * What came back.
	 */
	public enum Outcome {

		/** An answer that survives the loss of an instance. */
		ANSWERED,

		/** An answer that said that it is not durable yet. */
		ANSWERED_NOT_DURABLE,

		/** A refusal that said {@code not_run}. */
		NOT_RUN,

		/** A refusal that said {@code may_have_run} or {@code ran}. */
		MAY_HAVE_RUN,

		/** No answer, or half of one. */
		BROKEN

	}

}
