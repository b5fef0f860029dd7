package org.mangorack.keeper;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Path;
import java.util.HexFormat;

import com.google.protobuf.ByteString;
import com.google.protobuf.MessageLite;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.fuzz.Mutations;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.member.MessageFrames;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.member.proto.Frame;
import org.mangorack.member.proto.Hello;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fuzz tests with damaged frames for the links to keepers and between instances.
 */
class FrameFuzzTests {

	private static final int CLOSE_LIMIT_MILLIS = 20_000;

	@Property(seed = "2111", tries = 2000)
	void aDamagedFrameIsDecodedOrFailsInTheDecoder(@ForAll("frames") byte[] bytes) {
		decode(bytes, Frame.getDefaultInstance());
		decode(bytes, Request.getDefaultInstance());
		decode(bytes, Reply.getDefaultInstance());
	}

	// Lengths of 129 MiB and -1.
	@ParameterizedTest
	@ValueSource(strings = { "80808041", "ffffffff0f" })
	void aRequestOfTooManyBytesClosesItsConnection(String length, @TempDir Path folder) throws IOException {
		try (TestKeeper keeper = new TestKeeper("k", "d", folder, new FixedConfiguration(null)).start();
				Socket socket = new Socket(keeper.member().getHost(), keeper.member().getPort())) {
			socket.setSoTimeout(CLOSE_LIMIT_MILLIS);
			socket.getOutputStream().write(HexFormat.of().parseHex(length));
			socket.getOutputStream().write(new byte[100]);
			assertThat(readToEnd(socket)).isEmpty();
		}
	}

	@Provide
	Arbitrary<byte[]> frames() {
		Hello hello = Hello.newBuilder().setProtocol(1).setInstance("i").setSecret("s").build();
		CallOpen open = CallOpen.newBuilder().setKind("k").setRequestId("r").build();
		return Mutations.of(framed(Frame.newBuilder().setHello(hello).build()),
				framed(Frame.newBuilder().setCall(3).setOpen(open).build()),
				framed(Frame.newBuilder().setCall(4).setData(ByteString.copyFromUtf8("data")).build()),
				framed(Request.newBuilder().setId(5).setDisk("d").build()),
				framed(Reply.newBuilder().setId(5).build()));
	}

	private static void decode(byte[] bytes, MessageLite prototype) {
		EmbeddedChannel channel = new EmbeddedChannel();
		MessageFrames.addTo(channel.pipeline(), prototype);
		channel.pipeline().addLast(new ChannelInboundHandlerAdapter());
		try {
			channel.writeInbound(Unpooled.wrappedBuffer(bytes));
			channel.finishAndReleaseAll();
		}
		catch (DecoderException ex) {
			assertThat(ex).isNotNull();
			channel.releaseInbound();
		}
	}

	private static byte[] framed(MessageLite message) {
		byte[] bytes = message.toByteArray();
		byte[] frame = new byte[bytes.length + 1];
		frame[0] = (byte) bytes.length;
		System.arraycopy(bytes, 0, frame, 1, bytes.length);
		return frame;
	}

	private static byte[] readToEnd(Socket socket) throws IOException {
		try {
			return socket.getInputStream().readAllBytes();
		}
		catch (SocketException ex) {
			// The connection was reset because the keeper closed it with unread bytes.
			return new byte[0];
		}
	}

}
