package org.mangorack.relay;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.mangorack.call.Refusal;
import org.mangorack.fuzz.Mutations;
import org.mangorack.http.RequestRules;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fuzz tests for {@link CallerDecoder} and {@link UpstreamDecoder} with corrupted
 * requests and responses.
 */
class HeadFuzzTests {

	private static final int MAX_HEAD_BYTES = 1024;

	private static final int MAX_BODY_BYTES = 4096;

	@Property(seed = "2107", tries = 3000)
	void aCorruptedRequestIsParsedWithAnUnambiguousLengthOrRefused(@ForAll("requests") byte[] bytes) {
		EmbeddedChannel channel = new EmbeddedChannel(new CallerDecoder(MAX_HEAD_BYTES, () -> {
		}));
		channel.writeInbound(Unpooled.wrappedBuffer(bytes));
		for (Object read = channel.readInbound(); read != null; read = channel.readInbound()) {
			if ((read instanceof HttpRequest head) && head.decoderResult().isSuccess()) {
				checkRequest(head);
			}
			ReferenceCountUtil.release(read);
		}
		channel.finishAndReleaseAll();
	}

	@Property(seed = "2108", tries = 3000)
	void aCorruptedResponseIsParsedOrRejected(@ForAll("answers") byte[] bytes) {
		UpstreamDecoder decoder = new UpstreamDecoder((count) -> {
		});
		decoder.expectResponseTo("GET");
		EmbeddedChannel channel = new EmbeddedChannel(decoder);
		channel.writeInbound(Unpooled.wrappedBuffer(bytes));
		long body = 0;
		for (Object read = channel.readInbound(); read != null; read = channel.readInbound()) {
			if (read instanceof HttpContent content) {
				body += content.content().readableBytes();
			}
			if ((read instanceof HttpResponse head) && head.decoderResult().isSuccess()) {
				assertThat(head.status().code()).isNotNegative();
			}
			ReferenceCountUtil.release(read);
		}
		assertThat(body).isLessThanOrEqualTo(bytes.length);
		channel.finishAndReleaseAll();
	}

	private static void checkRequest(HttpRequest head) {
		Optional<Refusal> refusal = RequestRules.check(head.protocolVersion().text(), head.method().name(), head.uri(),
				head.headers(), MAX_BODY_BYTES);
		assertThat(head.uri().length()).isLessThanOrEqualTo(MAX_HEAD_BYTES);
		if (refusal.isEmpty()) {
			assertThat(
					head.headers().getAll("Content-Length").size() + head.headers().getAll("Transfer-Encoding").size())
				.isLessThanOrEqualTo(1);
			assertThat(head.headers().getAll("Host")).hasSize(1);
		}
		else {
			assertThat(refusal.get().status()).isIn(400, 413);
		}
	}

	@Provide
	Arbitrary<byte[]> requests() {
		return Mutations.of(bytes(
				"POST /a?b=c HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nCookie: a=b\r\n\r\nhiGET / HTTP/1.1\r\n"),
				bytes("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\nT: v\r\n\r\n"));
	}

	@Provide
	Arbitrary<byte[]> answers() {
		return Mutations.of(bytes("HTTP/1.1 200 OK\r\nRequest-Id: r\r\nContent-Length: 2\r\n\r\nhi"), bytes(
				"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"));
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
