package org.mangorack.dispatch;

/**
 * Limits retries to a fraction of the first attempts, so that retries cannot multiply the
 * load on failing upstreams. Implemented as a token bucket that first attempts refill.
 */
public final class RetryBudget {

	private static final double RETRY_RATIO = 0.1;

	private static final double MAX_TOKENS = 20;

	private double tokens = MAX_TOKENS;

	/**
	 * Records a first attempt.
	 */
	public synchronized void recordFirstAttempt() {
		this.tokens = Math.min(MAX_TOKENS, this.tokens + RETRY_RATIO);
	}

	/**
	 * Consumes a token for a retry if one is available.
	 * @return {@code true} if the call may be retried
	 */
	public synchronized boolean tryRetry() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
