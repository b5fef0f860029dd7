package org.mangorack.relay;

import org.mangorack.call.Verdict;

/**
 * What may be done again with the requests of a route, and how they are answered.
 */
public enum RepeatRule {

	/** Running a request twice equals running it once. */
	IDEMPOTENT(true, false),

	/** A request runs at most once. */
	ONCE(false, false),

	/** A request runs at most once and is answered by a stream of events. */
	STREAM(false, true),

	/**
	 * A request is answered by a stream of events and may run again, also from the middle
	 * of the stream.
	 */
	RESUMABLE_STREAM(true, true);

	private final boolean idempotent;

	private final boolean streamed;

	RepeatRule(boolean idempotent, boolean streamed) {
		this.idempotent = idempotent;
		this.streamed = streamed;
	}

	/**
	 * Tells whether running a request twice equals running it once.
	 * @return {@code true} if it may be repeated whatever became of it
	 */
	public boolean isIdempotent() {
		return this.idempotent;
	}

	/**
	 * Tells whether requests are answered by a stream of events.
	 * @return {@code true} for streams
	 */
	public boolean isStreamed() {
		return this.streamed;
	}

	/**
	 * Tells whether a request may be sent to another upstream.
	 * @param verdict what is known of the attempt before
	 * @return {@code true} if that cannot run the request twice against this rule
	 */
	public boolean allowsRetry(Verdict verdict) {
		return verdict.allowsRetry(this.idempotent);
	}

}
