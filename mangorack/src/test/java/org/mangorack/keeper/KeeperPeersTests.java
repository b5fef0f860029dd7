package org.mangorack.keeper;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.mangorack.keeper.proto.Copy;
import org.mangorack.keeper.proto.Inventory;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeeperPeers} with a clock that advances at each reading.
 */
class KeeperPeersTests {

	private static final int READ_LIMIT_MS = 20_000;

	private static final Duration LIMIT = Duration.ofMillis(READ_LIMIT_MS);

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final AtomicLong now = new AtomicLong(1);

	private final KeeperPeers peers = new KeeperPeers(this.loops.next(),
			() -> this.now.addAndGet(KeeperLink.CHECK_INTERVAL.toNanos()));

	@AfterEach
	void close() {
		this.peers.close();
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
	}

	// Guards against sending the first request of a link again each time its keeper is
	// late.
	@Test
	void aRequestIsNotSentAgainWhenItsKeeperIsReachedAgain() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 2, InetAddress.getLoopbackAddress())) {
			server.setSoTimeout(READ_LIMIT_MS);
			Member member = Member.newBuilder()
				.setDisk("d")
				.setHost(server.getInetAddress().getHostAddress())
				.setPort(server.getLocalPort())
				.build();
			CompletableFuture<Boolean> first = call(member,
					Request.newBuilder().setInventory(Inventory.getDefaultInstance()));
			try (Socket keeper = accept(server); Socket replacement = accept(server)) {
				Request inventory = Request.parseDelimitedFrom(keeper.getInputStream());
				Request.parseDelimitedFrom(replacement.getInputStream());
				// A part of a reply shows that the keeper is only late.
				keeper.getOutputStream().write(replyTo(inventory), 0, 1);
				assertThat(replacement.getInputStream().read()).isEqualTo(-1);
				CompletableFuture<Boolean> second = call(member,
						Request.newBuilder().setCopy(Copy.getDefaultInstance()));
				Request next = Request.parseDelimitedFrom(keeper.getInputStream());
				assertThat(next.hasCopy()).isTrue();
				keeper.getOutputStream().write(replyTo(inventory), 1, replyTo(inventory).length - 1);
				keeper.getOutputStream().write(replyTo(next));
				assertThat(first.get()).isTrue();
				assertThat(second.get()).isTrue();
			}
		}
	}

	private CompletableFuture<Boolean> call(Member member, Request.Builder request) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return this.peers.call(member, request, LIMIT).isPresent();
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private static Socket accept(ServerSocket server) throws IOException {
		Socket accepted = server.accept();
		accepted.setSoTimeout(READ_LIMIT_MS);
		return accepted;
	}

	private static byte[] replyTo(Request request) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		Reply.newBuilder().setId(request.getId()).setDurable(true).build().writeDelimitedTo(bytes);
		return bytes.toByteArray();
	}

}
