package org.mangorack.member;

import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;

/**
 * Message framing of all links between the processes of a fleet: each message is prefixed
 * with its length as a varint.
 */
public final class MessageFrames {

	/**
	 * Maximum size of a message in bytes. A longer message closes the link.
	 */
	static final int MAX_BYTES = 128 * 1024 * 1024;

	private MessageFrames() {
	}

	/**
	 * Adds the handlers that decode and encode messages.
	 * @param pipeline the pipeline of a link
	 * @param received the prototype of inbound messages
	 */
	public static void addTo(ChannelPipeline pipeline, MessageLite received) {
		pipeline.addLast(new ProtobufVarint32FrameDecoder(MAX_BYTES), new ProtobufDecoder(received),
				new ProtobufVarint32LengthFieldPrepender(), new ProtobufEncoder());
	}

}
