package org.mangorack.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.Test;

import org.mangorack.call.Prompt;
import org.mangorack.http.HttpAddress;
import org.mangorack.relay.FleetProtocol.ResponseHead;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamConnection}.
 */
class UpstreamConnectionTests {

	private final Upstream upstream = new Upstream(
			new UpstreamRegistration("u-1", "pool", HttpAddress.parse("127.0.0.1:1"), "dc", 1, false, 1), 0);

	private final UpstreamConnection connection = new UpstreamConnection(null, this.upstream, null);

	@Test
	void aRequestThatCannotBeWrittenFailsAtOnce() {
		EmbeddedChannel channel = new EmbeddedChannel(new FailingWrites(),
				new UpstreamDecoder(this.connection::onBytesReceived), new HttpRequestEncoder(), this.connection);
		Outcome outcome = new Outcome();
		CallHead head = new CallHead("POST", "/write/1", "check.example", "r1", null, null, null, null, 0, null, null,
				null, null, null, Prompt.UNKNOWN, new DefaultHttpHeaders());
		this.connection.send(head, new DefaultHttpHeaders(), Unpooled.copiedBuffer(new byte[] { 'x' }), outcome);
		channel.runPendingTasks();
		assertThat(outcome.causes).containsExactly("the request could not be written: connection reset");
		assertThat(channel.isOpen()).isFalse();
	}

	/**
	 * Fails each write, as a connection does that was reset while it was idle.
	 */
	private static final class FailingWrites extends ChannelOutboundHandlerAdapter {

		@Override
		public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
			ReferenceCountUtil.release(message);
			promise.setFailure(new IOException("connection reset"));
		}

	}

	/**
	 * Records how a response ended.
	 */
	private static final class Outcome implements ResponseListener {

		private final List<String> causes = new ArrayList<>();

		@Override
		public void head(ResponseHead head) {
			this.causes.add("head");
		}

		@Override
		public void data(ByteBuf bytes) {
			this.causes.add("data");
		}

		@Override
		public void end() {
			this.causes.add("end");
		}

		@Override
		public void incomplete(String cause) {
			this.causes.add(cause);
		}

	}

}
