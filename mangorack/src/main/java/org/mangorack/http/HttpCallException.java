package org.mangorack.http;

import java.io.IOException;

import org.mangorack.call.Verdict;

/**
 * Thrown when a request receives no response. The verdict tells whether the request may
 * have reached the server.
 */
public class HttpCallException extends IOException {

	private final Verdict verdict;

	public HttpCallException(String message, Verdict verdict, Throwable cause) {
		super(message, cause);
		this.verdict = verdict;
	}

	/**
	 * Returns whether the server may have executed the request.
	 * @return the verdict, never {@link Verdict#RAN}
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
