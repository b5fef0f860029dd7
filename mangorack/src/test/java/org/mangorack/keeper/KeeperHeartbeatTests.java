package org.mangorack.keeper;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Departure;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Usage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the heartbeats of {@link KeeperClient} to a keeper that replies late.
 */
class KeeperHeartbeatTests {

	private static final int READ_LIMIT_MS = 20_000;

	private static final int HEARTBEATS = 5;

	private static final Beat UNCHANGED = Beat.newBuilder().setInstance("e").build();

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	private final KeeperClient client = new KeeperClient(this.loop, () -> 1, "dc", 1);

	private final CountDownLatch connected = new CountDownLatch(1);

	private ServerSocket server;

	private Socket keeper;

	@BeforeEach
	void connect() throws Exception {
		this.server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		this.server.setSoTimeout(READ_LIMIT_MS);
		Member member = Member.newBuilder()
			.setName("k")
			.setDisk("d")
			.setHost(this.server.getInetAddress().getHostAddress())
			.setPort(this.server.getLocalPort())
			.build();
		this.loop.submit(() -> {
			this.client.setConnectionListener(this.connected::countDown);
			this.client.adopt(new GroupView(1, List.of(member), List.of(), 1));
		}).sync();
		this.keeper = this.server.accept();
		this.keeper.setSoTimeout(READ_LIMIT_MS);
		assertThat(this.connected.await(READ_LIMIT_MS, TimeUnit.MILLISECONDS)).isTrue();
	}

	@AfterEach
	void close() throws IOException {
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
		this.keeper.close();
		this.server.close();
	}

	// Guards against a late keeper that has to serve each heartbeat of the time it was
	// late.
	@ParameterizedTest
	@MethodSource("news")
	void unansweredHeartbeatsAreRepeatedOnlyWithNews(UnaryOperator<Beat.Builder> news) throws Exception {
		for (int i = 0; i < HEARTBEATS; i++) {
			send(UNCHANGED);
		}
		Beat changed = news.apply(UNCHANGED.toBuilder()).build();
		send(changed);
		for (int i = 0; i < KeeperClient.MAX_REPEATED_HEARTBEATS; i++) {
			assertThat(receive().getBeat()).isEqualTo(UNCHANGED);
		}
		assertThat(receive().getBeat()).isEqualTo(changed);
	}

	static Stream<UnaryOperator<Beat.Builder>> news() {
		return Stream.of((b) -> b.setAccepting(true), (b) -> b.setConfiguration(2),
				(b) -> b.addUsage(Usage.newBuilder().setWorkspace("w").setCalls(1)),
				(b) -> b.addLoad(Load.newBuilder().setCalls(1)),
				(b) -> b.addDeparture(Departure.newBuilder().setUpstream("u")), (b) -> b.setWithLists(true));
	}

	@Test
	void heartbeatsContinueAfterAReply() throws Exception {
		for (int i = 0; i < HEARTBEATS; i++) {
			send(UNCHANGED);
		}
		long last = 0;
		for (int i = 0; i < KeeperClient.MAX_REPEATED_HEARTBEATS; i++) {
			last = receive().getId();
		}
		CountDownLatch replied = new CountDownLatch(1);
		this.loop.submit(() -> this.client.sendHeartbeats((disk) -> UNCHANGED.toBuilder().setAccepting(true).build(),
				(member, pulse, source) -> replied.countDown()))
			.sync();
		for (long id = 1; id <= last + 1; id++) {
			Reply.newBuilder().setId(id).setDurable(true).build().writeDelimitedTo(this.keeper.getOutputStream());
		}
		assertThat(replied.await(READ_LIMIT_MS, TimeUnit.MILLISECONDS)).isTrue();
		assertThat(receive().getBeat().getAccepting()).isTrue();
		send(UNCHANGED);
		assertThat(receive().getBeat()).isEqualTo(UNCHANGED);
	}

	private void send(Beat beat) throws InterruptedException {
		this.loop.submit(() -> this.client.sendHeartbeats((disk) -> beat, (member, pulse, source) -> {
		})).sync();
	}

	private Request receive() throws IOException {
		return Request.parseDelimitedFrom(this.keeper.getInputStream());
	}

}
