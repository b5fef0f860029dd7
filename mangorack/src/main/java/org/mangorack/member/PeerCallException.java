package org.mangorack.member;

import java.io.IOException;

import org.mangorack.call.Verdict;

/**
 * Thrown when a call to another instance received no response.
 */
public class PeerCallException extends IOException {

	private final Verdict verdict;

	public PeerCallException(String message, Verdict verdict) {
		super(message);
		this.verdict = verdict;
	}

	/**
	 * Returns whether the other instance may have started to execute the call.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
