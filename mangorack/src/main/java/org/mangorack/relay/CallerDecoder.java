package org.mangorack.relay;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes HTTP requests from callers and leaves conflicting length headers in place for
 * validation.
 */
final class CallerDecoder extends HttpRequestDecoder {

	private final Runnable onBytesReceived;

	/**
	 * Creates a decoder.
	 * @param maxHeadBytes the maximum size of the request line and of the headers, in
	 * bytes
	 * @param onBytesReceived runs whenever bytes are received
	 */
	CallerDecoder(int maxHeadBytes, Runnable onBytesReceived) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(maxHeadBytes).setMaxHeaderSize(maxHeadBytes));
		this.onBytesReceived = onBytesReceived;
	}

	@Override
	protected void decode(ChannelHandlerContext ctx, ByteBuf buffer, List<Object> out) throws Exception {
		this.onBytesReceived.run();
		super.decode(ctx, buffer, out);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		// Keep both headers, so that the validation of the head refuses the request.
	}

}
