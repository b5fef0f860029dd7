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
	 * The request is sent once, on a new connection.
	 */
	FRESH

}
