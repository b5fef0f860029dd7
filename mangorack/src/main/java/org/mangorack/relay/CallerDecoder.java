package org.mangorack.relay;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests of callers without changing what they say of their length.
 */
final class CallerDecoder extends HttpRequestDecoder {

	private final Runnable onBytesReceived;

	/**
	 * Creates a decoder.
	 * @param maxHeadBytes the longest head
	 * @param onBytesReceived runs whenever bytes arrive
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
		// Both headers stay, so that the rules for heads refuse the request.
	}

}
