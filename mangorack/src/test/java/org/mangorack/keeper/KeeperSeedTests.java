package org.mangorack.keeper;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.View;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the discovery of the group by {@link KeeperClient}, with a manual clock.
 */
class KeeperSeedTests {

	private static final int READ_LIMIT_MS = 20_000;

	private static final int QUERIES = 5;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	private final AtomicLong now = new AtomicLong(1);

	private final KeeperClient client = new KeeperClient(this.loop, this.now::get, "dc", 1);

	private final BlockingQueue<Long> replies = new LinkedBlockingQueue<>();

	private ServerSocket seed;

	@BeforeEach
	void listen() throws IOException {
		this.seed = new ServerSocket(0, 2 * QUERIES, InetAddress.getLoopbackAddress());
		this.seed.setSoTimeout(READ_LIMIT_MS);
	}

	@AfterEach
	void close() throws IOException {
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
		this.seed.close();
	}

	// Guards against a starting fleet that keeps its late keepers busy with connections.
	@Test
	void aSeedThatRepliesLateIsAskedOnce() throws Exception {
		query();
		try (Socket first = accept()) {
			Request asked = Request.parseDelimitedFrom(first.getInputStream());
			for (int i = 1; i < QUERIES; i++) {
				query();
			}
			assertThat(isNextConnectionOurs()).isTrue();
			reply(first, asked, 3);
			assertThat(this.replies.poll(READ_LIMIT_MS, TimeUnit.MILLISECONDS)).isEqualTo(3);
			assertThat(first.getInputStream().read()).isEqualTo(-1);
			assertThat(this.loop.submit(() -> this.client.view().epoch()).get()).isEqualTo(3);
		}
	}

	@Test
	void aSeedThatDoesNotKnowTheGroupYetIsAskedAgain() throws Exception {
		query();
		try (Socket first = accept()) {
			reply(first, Request.parseDelimitedFrom(first.getInputStream()), 0);
			assertThat(this.replies.poll(READ_LIMIT_MS, TimeUnit.MILLISECONDS)).isEqualTo(0);
		}
		query();
		try (Socket second = accept()) {
			assertThat(Request.parseDelimitedFrom(second.getInputStream()).hasBeat()).isTrue();
		}
	}

	@Test
	@Tag("known-red")
	@Timeout(READ_LIMIT_MS / 1000)
	void aSeedThatStaysSilentIsConnectedAgain() throws Exception {
		query();
		try (Socket first = accept()) {
			Request.parseDelimitedFrom(first.getInputStream());
			this.loop.scheduleWithFixedDelay(() -> this.now.addAndGet(KeeperLink.CHECK_INTERVAL.toNanos()), 1, 1,
					TimeUnit.MILLISECONDS);
			assertThat(first.getInputStream().read()).isEqualTo(-1);
			assertThat(Duration.ofNanos(this.now.get())).isGreaterThanOrEqualTo(KeeperLink.PROBE_TIMEOUT);
		}
		query();
		try (Socket second = accept()) {
			assertThat(Request.parseDelimitedFrom(second.getInputStream()).hasBeat()).isTrue();
		}
	}

	// The queue of connections is in the order of arrival.
	private boolean isNextConnectionOurs() throws IOException {
		try (Socket own = new Socket(this.seed.getInetAddress(), this.seed.getLocalPort()); Socket next = accept()) {
			return next.getPort() == own.getLocalPort();
		}
	}

	private Socket accept() throws IOException {
		Socket accepted = this.seed.accept();
		accepted.setSoTimeout(READ_LIMIT_MS);
		return accepted;
	}

	private void query() throws InterruptedException {
		HttpAddress address = new HttpAddress(this.seed.getInetAddress().getHostAddress(), this.seed.getLocalPort());
		this.loop.submit(() -> this.client.querySeeds(List.of(address), Beat.newBuilder().setInstance("e").build(),
				(member, pulse, source) -> this.replies.add(pulse.getTimeMs())))
			.sync();
		// A connection is established by later tasks of the loop.
		for (int i = 0; i < QUERIES; i++) {
			this.loop.submit(() -> {
			}).sync();
		}
	}

	private static void reply(Socket to, Request request, long epoch) throws IOException {
		Reply.newBuilder()
			.setId(request.getId())
			.setDurable(true)
			.setPulse(Pulse.newBuilder().setTimeMs(epoch))
			.setView(View.newBuilder().setEpoch(epoch))
			.build()
			.writeDelimitedTo(to.getOutputStream());
	}

}
