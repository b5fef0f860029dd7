package org.mangorack.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes HTTP responses from upstreams, which have no body after a HEAD request.
 */
final class UpstreamDecoder extends HttpResponseDecoder {

	private static final int MAX_HEAD_BYTES = 64 * 1024;

	private boolean headRequest;

	UpstreamDecoder() {
		super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES));
	}

	void expectResponseTo(String method) {
		this.headRequest = method.equals("HEAD");
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequest || super.isContentAlwaysEmpty(message);
	}

}
