package org.mangorack.http;

import java.io.IOException;

import org.mangorack.call.Verdict;

/**
 * A request that got no answer. Its verdict says whether the request may have reached the
 * server.
 */
public class HttpCallException extends IOException {

	private final Verdict verdict;

	public HttpCallException(String message, Verdict verdict, Throwable cause) {
		super(message, cause);
		this.verdict = verdict;
	}

	/**
	 * Tells whether the request may have run.
	 * @return the verdict, never {@link Verdict#RAN}
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
