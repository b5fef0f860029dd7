package org.mangorack.relay;

import org.mangorack.call.Verdict;

/**
 * What may be done again with the requests of a route.
 */
public enum RepeatRule {

	/** Running a request twice equals running it once. */
	IDEMPOTENT {
		@Override
		public boolean allowsRetry(Verdict verdict) {
			return verdict.allowsRetry(true);
		}
	},

	/** A request runs at most once. */
	ONCE {
		@Override
		public boolean allowsRetry(Verdict verdict) {
			return verdict.allowsRetry(false);
		}
	},

	/** A request runs at most once and is answered by a stream of events. */
	STREAM {
		@Override
		public boolean allowsRetry(Verdict verdict) {
			return verdict.allowsRetry(false);
		}
	};

	/**
	 * Tells whether a request may be sent to another upstream.
	 * @param verdict what is known of the attempt before
	 * @return {@code true} if that cannot run the request twice against this rule
	 */
	public abstract boolean allowsRetry(Verdict verdict);

}
