package org.mangorack.dispatch;

/**
 * Bounds retries to a share of the traffic, so that retries cannot multiply the load of
 * upstreams that fail.
 */
public final class RetryBudget {

	private static final double SHARE = 0.1;

	private static final double RESERVE = 20;

	private double tokens = RESERVE;

	/**
	 * Counts a first attempt.
	 */
	public synchronized void firstAttempt() {
		this.tokens = Math.min(RESERVE, this.tokens + SHARE);
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
