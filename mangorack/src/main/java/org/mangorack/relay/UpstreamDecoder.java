package org.mangorack.relay;

import java.util.function.IntConsumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

import org.mangorack.http.ResponseRules;

/**
 * Decodes HTTP responses from upstreams, which have no body after a HEAD request.
 */
final class UpstreamDecoder extends HttpResponseDecoder {

	private static final int MAX_HEAD_BYTES = 64 * 1024;

	private final IntConsumer onBytesReceived;

	private boolean headRequest;

	/**
	 * Creates a decoder.
	 * @param onBytesReceived receives the number of bytes received, before they are
	 * decoded
	 */
	UpstreamDecoder(IntConsumer onBytesReceived) {
		super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEAD_BYTES));
		this.onBytesReceived = onBytesReceived;
	}

	void expectResponseTo(String method) {
		this.headRequest = method.equals("HEAD");
	}

	/**
	 * Returns the number of bytes that were received after the last decoded message.
	 * @return the bytes that are not decoded yet
	 */
	int undecodedBytes() {
		return actualReadableBytes();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
		if (message instanceof ByteBuf bytes) {
			this.onBytesReceived.accept(bytes.readableBytes());
		}
		super.channelRead(ctx, message);
	}

	@Override
	protected HttpMessage createMessage(String[] statusLine) {
		if (!ResponseRules.isStatusCode(statusLine[1])) {
			throw new IllegalArgumentException("the status code is not a number from 100 to 599");
		}
		return super.createMessage(statusLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequest || super.isContentAlwaysEmpty(message);
	}

}
