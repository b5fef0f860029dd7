package org.mangorack.relay;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes answers, which have no body after a HEAD request.
 */
final class UpstreamDecoder extends HttpResponseDecoder {

	private static final int MAX_HEAD_BYTES = 64 * 1024;

	private boolean bodiless;

	UpstreamDecoder() {
		super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES));
	}

	void expectAnswerTo(String method) {
		this.bodiless = method.equals("HEAD");
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.bodiless || super.isContentAlwaysEmpty(message);
	}

}
