package org.mangorack.relay;

import java.time.Duration;

import io.netty.handler.codec.http.HttpHeaders;

import org.mangorack.call.Prompt;

/**
 * The head of a caller's request.
 *
 * @param method the HTTP method
 * @param target the path with the query, as sent
 * @param host the host that the caller requested
 * @param requestId the caller's id of this attempt, or {@code null}
 * @param remainingTime the remaining time until the caller's deadline, or {@code null} if
 * it sent none
 * @param key the caller's key, or {@code null}
 * @param program the program of the request, or {@code null}
 * @param budget the token budget of all turns of the program, or {@code null}
 * @param maxTokens the largest number of tokens that this turn generates; 0 if not
 * specified
 * @param previousTurn the turn that this one continues, or {@code null}
 * @param lastEventId the last event that the caller received of an interrupted stream, or
 * {@code null}
 * @param affinity the affinity key, which identifies the object that the request
 * concerns, or {@code null}
 * @param session the session of the turn, which differs between a program and its
 * sub-agents, or {@code null}
 * @param programTime the time until the program should be finished, or {@code null}
 * @param prompt the parts of the prompt
 * @param headers all headers
 */
public record CallHead(String method, String target, String host, String requestId, Duration remainingTime, String key,
		String program, Long budget, int maxTokens, String previousTurn, String lastEventId, String affinity,
		String session, Duration programTime, Prompt prompt, HttpHeaders headers) {

	/**
	 * Returns the path without the query.
	 * @return the path as sent
	 */
	public String path() {
		int queryStart = this.target.indexOf('?');
		return (queryStart < 0) ? this.target : this.target.substring(0, queryStart);
	}

}
