package org.mangorack.dispatch;

/**
 * Bounds retries to a share of the traffic, so that retries cannot multiply the load of
 * upstreams that fail.
 */
public final class RetryBudget {

	private static final double RETRY_RATIO = 0.1;

	private static final double MAX_TOKENS = 20;

	private double tokens = MAX_TOKENS;

	/**
	 * Counts a first attempt.
	 */
	public synchronized void firstAttempt() {
		this.tokens = Math.min(MAX_TOKENS, this.tokens + RETRY_RATIO);
	}

	/**
	 * Asks for a retry.
	 * @return {@code true} if the call may be sent once more
	 */
	public synchronized boolean tryRetry() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
