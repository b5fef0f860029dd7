package org.mangorack.relay;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Encodes HTTP responses to callers, which have no body after a HEAD request.
 */
final class CallerEncoder extends HttpResponseEncoder {

	private boolean headRequest;

	void expectResponseTo(String method) {
		this.headRequest = method.equals("HEAD");
	}

	// A refusal may follow whose request could not be read.
	@Override
	public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) throws Exception {
		boolean last = (message instanceof LastHttpContent) && !isInterim(message);
		super.write(ctx, message, promise);
		this.headRequest &= !last;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse response) {
		return this.headRequest || super.isContentAlwaysEmpty(response);
	}

	private static boolean isInterim(Object message) {
		return (message instanceof HttpResponse response)
				&& (response.status().codeClass() == HttpStatusClass.INFORMATIONAL);
	}

}
