package org.mangorack.member;

import java.io.IOException;

import org.mangorack.call.Verdict;

/**
 * A call to another instance that got no answer.
 */
public class PeerCallException extends IOException {

	private final Verdict verdict;

	public PeerCallException(String message, Verdict verdict) {
		super(message);
		this.verdict = verdict;
	}

	/**
	 * Tells whether the other instance may have begun the call.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
