package org.mangorack.relay;

import org.mangorack.call.Verdict;

/**
 * Whether the requests of a route may be retried, and the kind of their response.
 */
public enum RetryPolicy {

	/** Running a request twice has the same effect as running it once. */
	IDEMPOTENT(true, false),

	/** A request runs at most once. */
	ONCE(false, false),

	/** A request runs at most once; the response is an event stream. */
	STREAM(false, true),

	/**
	 * The response is an event stream, and a request may run again, also from the middle
	 * of the stream.
	 */
	RESUMABLE_STREAM(true, true);

	private final boolean idempotent;

	private final boolean streamed;

	RetryPolicy(boolean idempotent, boolean streamed) {
		this.idempotent = idempotent;
		this.streamed = streamed;
	}

	/**
	 * Returns whether running a request twice has the same effect as running it once.
	 * @return {@code true} if it may be retried regardless of the outcome
	 */
	public boolean isIdempotent() {
		return this.idempotent;
	}

	/**
	 * Returns whether responses are event streams.
	 * @return {@code true} for streams
	 */
	public boolean isStreamed() {
		return this.streamed;
	}

	/**
	 * Returns whether a request may be sent to another upstream.
	 * @param verdict whether the previous attempt may have run it
	 * @return {@code true} if a retry cannot violate this rule
	 */
	public boolean allowsRetry(Verdict verdict) {
		return verdict.allowsRetry(this.idempotent);
	}

}
