package org.mangorack.http;

/**
 * Says which connections a request may use.
 */
public enum ConnectionUse {

	/**
	 * An idle connection may be used. If it proves closed, the request is sent once more
	 * on a new one, so the request must be idempotent.
	 */
	POOLED,

	/**
	 * As {@link #POOLED}, for a request that may wait long for its answer: it is sent
	 * once more only if the connection proves closed at once. A connection that breaks
	 * later cuts the wait, and the caller decides when to ask again.
	 */
	POOLED_WAIT,

	/**
	 * The request is sent once, on a new connection.
	 */
	FRESH

}
