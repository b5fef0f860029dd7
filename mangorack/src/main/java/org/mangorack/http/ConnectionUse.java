package org.mangorack.http;

/**
 * Selects the connections that a request may use and whether it may be retried.
 */
public enum ConnectionUse {

	/**
	 * An idle connection from the pool may be used. If that connection turns out to be
	 * closed, the request is retried once on a new one, so it must be idempotent.
	 */
	POOLED,

	/**
	 * Like {@link #POOLED}, but for long polls: the request is retried only if the pooled
	 * connection fails immediately. A connection that fails later ends the poll, and the
	 * caller decides when to repeat it.
	 */
	POOLED_LONG_POLL,

	/**
	 * A new connection is opened, and the request is never retried.
	 */
	FRESH

}
