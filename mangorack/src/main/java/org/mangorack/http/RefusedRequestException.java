package org.mangorack.http;

import org.apache.hc.core5.http.ProtocolException;

import org.mangorack.call.Refusal;

/**
 * Thrown when a request is refused before it has been fully read.
 */
final class RefusedRequestException extends ProtocolException {

	private final transient Refusal refusal;

	RefusedRequestException(Refusal refusal) {
		super(refusal.detail());
		this.refusal = refusal;
	}

	Refusal refusal() {
		return this.refusal;
	}

}
