package org.mangorack.relay;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encodes HTTP responses to callers, which have no body after a HEAD request.
 */
final class CallerEncoder extends HttpResponseEncoder {

	private boolean headRequest;

	void expectResponseTo(String method) {
		this.headRequest = method.equals("HEAD");
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse response) {
		return this.headRequest || super.isContentAlwaysEmpty(response);
	}

}
