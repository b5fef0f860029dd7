package org.mangorack.member;

import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;

/**
 * How messages are framed on all links between processes of the fleet.
 */
public final class MessageFrames {

	/**
	 * The most bytes of a message. A longer one closes the link.
	 */
	static final int MAX_BYTES = 128 * 1024 * 1024;

	private MessageFrames() {
	}

	/**
	 * Adds the handlers that read and write messages.
	 * @param pipeline the pipeline of a link
	 * @param received the prototype of the messages that arrive
	 */
	public static void addTo(ChannelPipeline pipeline, MessageLite received) {
		pipeline.addLast(new ProtobufVarint32FrameDecoder(MAX_BYTES), new ProtobufDecoder(received),
				new ProtobufVarint32LengthFieldPrepender(), new ProtobufEncoder());
	}

}
