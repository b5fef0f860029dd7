package org.mangorack.dispatch;

import java.util.Set;

/**
 * The status codes that tell a caller that its request has not run and never will. An
 * upstream may use the same codes for a request that it has begun, so the status alone
 * does not make a response of an upstream such a statement.
 */
public final class NotRunStatus {

	/**
	 * The status of a turn whose budget is spent.
	 */
	public static final int BUDGET_SPENT = 402;

	private static final Set<Integer> STATUSES = Set.of(408, 421, 429, 503);

	private NotRunStatus() {
	}

	/**
	 * Returns whether a caller takes a status as the statement that its request has not
	 * run.
	 * @param status the HTTP status code
	 * @param turn whether the request is a turn of a program, of which
	 * {@link #BUDGET_SPENT} states it too
	 * @return {@code true} if a caller sends the request again after that status
	 */
	public static boolean isStatedBy(int status, boolean turn) {
		return STATUSES.contains(status) || (turn && (status == BUDGET_SPENT));
	}

}
