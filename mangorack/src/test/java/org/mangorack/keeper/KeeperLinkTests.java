package org.mangorack.keeper;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.mangorack.keeper.proto.ConfigurationDocument;
import org.mangorack.keeper.proto.FetchConfiguration;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Settle;
import org.mangorack.keeper.proto.Turn;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KeeperLink} with a manual clock.
 */
class KeeperLinkTests {

	private static final Duration STEP = KeeperLink.INACTIVITY_TIMEOUT.minusMillis(100);

	private static final int READ_LIMIT_MS = 20_000;

	private static final int PARTS = 5;

	private static final int RECEIVE_BUFFER = 64 * 1024;

	// The large request is several times the size of the kernel buffers of a connection,
	// so some bytes are still unwritten after this many of its parts have been read.
	private static final int PARTS_READ = 3;

	private static final int LARGE = 32 * 1024 * 1024;

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.loops.next();

	private final AtomicLong now = new AtomicLong(1);

	private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

	private ServerSocket server;

	private Socket keeper;

	private KeeperLink link;

	@BeforeEach
	void connect() throws Exception {
		this.server = new ServerSocket();
		this.server.setReceiveBufferSize(RECEIVE_BUFFER);
		this.server.setSoTimeout(READ_LIMIT_MS);
		this.server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1);
		Member member = Member.newBuilder()
			.setName("k")
			.setDisk("d")
			.setHost(this.server.getInetAddress().getHostAddress())
			.setPort(this.server.getLocalPort())
			.build();
		this.link = new KeeperLink(this.loop, member, this.now::get, () -> this.outcomes.add("up"));
		this.loop.submit(this.link::connect).sync();
		this.keeper = this.server.accept();
		this.keeper.setSoTimeout(READ_LIMIT_MS);
		assertThat(awaitOutcome()).isEqualTo("up");
		this.loop.submit(() -> this.link.send(fetch(), new RecordingListener())).sync();
		assertThat(Request.parseDelimitedFrom(this.keeper.getInputStream()).hasFetchConfiguration()).isTrue();
	}

	@AfterEach
	void close() throws Exception {
		this.loop.submit(this.link::close).sync();
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
		this.keeper.close();
		this.server.close();
	}

	@Test
	void aLargeReplyThatArrivesSlowlyIsNotInactivity() throws Exception {
		byte[] reply = replyTo(1);
		OutputStream out = this.keeper.getOutputStream();
		for (int i = 0; i < PARTS; i++) {
			int from = reply.length * i / PARTS;
			out.write(reply, from, (reply.length * (i + 1) / PARTS) - from);
			out.flush();
			awaitActivity(1 + (i * STEP.toNanos()));
			this.now.addAndGet(STEP.toNanos());
			this.loop.submit(this.link::checkInactivity).sync();
		}
		assertThat(awaitOutcome()).isEqualTo("replied");
	}

	// Guards against losing the requests of a process that was itself not running.
	@Test
	void aStallOfTheOwnProcessIsNotInactivity() throws Exception {
		this.now.addAndGet(KeeperLink.INACTIVITY_TIMEOUT.toNanos() * 10);
		this.loop.submit(this.link::checkInactivity).sync();
		assertThat(isConnected()).isTrue();
		this.keeper.getOutputStream().write(replyTo(1));
		assertThat(awaitOutcome()).isEqualTo("replied");
	}

	// Guards against losing requests that a busy keeper answers late.
	@Test
	void aLateReplyIsDeliveredAndTheConnectionIsKept() throws Exception {
		passTime(KeeperLink.INACTIVITY_TIMEOUT);
		assertThat(isConnected()).isFalse();
		this.keeper.getOutputStream().write(replyTo(1));
		assertThat(List.of(awaitOutcome(), awaitOutcome())).containsExactly("up", "replied");
		this.loop.submit(() -> this.link.send(fetch(), new RecordingListener())).sync();
		assertThat(Request.parseDelimitedFrom(this.keeper.getInputStream()).getId()).isEqualTo(2);
	}

	@Test
	void aConnectionOnWhichNoByteArrivesIsReplacedByOneThatIsAnswered() throws Exception {
		passTime(KeeperLink.INACTIVITY_TIMEOUT);
		try (Socket replacement = accept()) {
			long probe = Request.parseDelimitedFrom(replacement.getInputStream()).getId();
			assertThat(isConnected()).isFalse();
			replacement.getOutputStream().write(replyTo(probe));
			assertThat(List.of(awaitOutcome(), awaitOutcome())).containsExactly("broke", "up");
			assertThat(this.keeper.getInputStream().read()).isEqualTo(-1);
			this.loop.submit(() -> this.link.send(fetch(), new RecordingListener())).sync();
			long id = Request.parseDelimitedFrom(replacement.getInputStream()).getId();
			replacement.getOutputStream().write(replyTo(id));
			assertThat(awaitOutcome()).isEqualTo("replied");
		}
	}

	// Guards against taking a connection that the kernel accepted for one that is served.
	@Test
	void aConnectionIsNotReplacedByOneThatIsOnlyAccepted() throws Exception {
		passTime(KeeperLink.INACTIVITY_TIMEOUT);
		try (Socket unserved = accept()) {
			Request.parseDelimitedFrom(unserved.getInputStream());
			passTime(KeeperLink.PROBE_TIMEOUT);
			assertThat(unserved.getInputStream().read()).isEqualTo(-1);
		}
		try (Socket next = accept()) {
			Request.parseDelimitedFrom(next.getInputStream());
			this.keeper.getOutputStream().write(replyTo(1));
			assertThat(List.of(awaitOutcome(), awaitOutcome())).containsExactly("up", "replied");
			assertThat(next.getInputStream().read()).isEqualTo(-1);
		}
	}

	@Test
	void aConnectionThatStaysSilentIsClosed() throws Exception {
		passTime(KeeperLink.MAX_SILENCE);
		assertThat(awaitOutcome()).isEqualTo("broke");
		assertThat(this.keeper.getInputStream().read()).isEqualTo(-1);
	}

	@Test
	void aKeeperThatClosesASilentConnectionIsReachedAgain() throws Exception {
		passTime(KeeperLink.INACTIVITY_TIMEOUT);
		try (Socket replacement = accept()) {
			Request.parseDelimitedFrom(replacement.getInputStream());
			this.keeper.close();
			assertThat(List.of(awaitOutcome(), awaitOutcome())).containsExactly("broke", "up");
			assertThat(isConnected()).isTrue();
		}
	}

	// Guards against calls that are sent to a keeper that has not replied for seconds.
	@Test
	void aSilentConnectionThatIsClosedIsNotReplacedByOneThatIsOnlyAccepted() throws Exception {
		Duration rest = KeeperLink.PROBE_TIMEOUT.dividedBy(2);
		passTime(KeeperLink.INACTIVITY_TIMEOUT);
		try (Socket unserved = accept()) {
			Request.parseDelimitedFrom(unserved.getInputStream());
			passTime(KeeperLink.MAX_SILENCE.minus(KeeperLink.INACTIVITY_TIMEOUT).minus(rest));
			assertThat(unserved.getInputStream().read()).isEqualTo(-1);
		}
		try (Socket next = accept()) {
			long probe = Request.parseDelimitedFrom(next.getInputStream()).getId();
			passTime(rest);
			assertThat(awaitOutcome()).isEqualTo("broke");
			assertThat(isConnected()).isFalse();
			next.getOutputStream().write(replyTo(probe));
			assertThat(awaitOutcome()).isEqualTo("up");
			assertThat(isConnected()).isTrue();
		}
	}

	@Test
	void aLargeRequestThatIsReadSlowlyIsNotInactivity() throws Exception {
		byte[] reply = replyTo(2);
		byte[] large = new byte[LARGE];
		this.loop.submit(() -> this.link.send(settle(large), new RecordingListener())).sync();
		InputStream in = this.keeper.getInputStream();
		for (int i = 0; i < PARTS_READ; i++) {
			in.readNBytes(LARGE / PARTS);
			awaitActivity(1 + (i * STEP.toNanos()));
			this.now.addAndGet(STEP.toNanos());
			this.loop.submit(this.link::checkInactivity).sync();
		}
		this.keeper.getOutputStream().write(reply);
		assertThat(awaitOutcome()).isEqualTo("replied");
	}

	@Test
	@Timeout(READ_LIMIT_MS / 1000)
	void smallRequestsBehindAnUnreadLargeOneAreNotActivity() throws Exception {
		byte[] large = new byte[LARGE];
		this.loop.submit(() -> this.link.send(settle(large), new RecordingListener())).sync();
		while (this.outcomes.isEmpty()) {
			this.now.addAndGet(STEP.toNanos());
			this.loop.submit(() -> this.link.send(fetch(), new RecordingListener())).sync();
			this.loop.submit(this.link::checkInactivity).sync();
		}
		assertThat(awaitOutcome()).isEqualTo("broke");
	}

	// Lets time pass as it does for an event loop that runs when it should.
	private void passTime(Duration time) throws InterruptedException {
		long end = this.now.get() + time.toNanos();
		while (this.now.get() <= end) {
			this.now.addAndGet(KeeperLink.CHECK_INTERVAL.toNanos());
			this.loop.submit(this.link::checkInactivity).sync();
		}
	}

	private Socket accept() throws IOException {
		Socket accepted = this.server.accept();
		accepted.setSoTimeout(READ_LIMIT_MS);
		return accepted;
	}

	private boolean isConnected() throws Exception {
		return this.loop.submit(this.link::isConnected).get();
	}

	private static Request.Builder settle(byte[] content) {
		return Request.newBuilder()
			.setSettle(Settle.newBuilder().setTurn(Turn.newBuilder().setInput(ByteString.copyFrom(content))));
	}

	private String awaitOutcome() throws InterruptedException {
		return this.outcomes.poll(READ_LIMIT_MS, TimeUnit.MILLISECONDS);
	}

	// The kernel may deliver the bytes with a delay.
	private void awaitActivity(long since) throws InterruptedException {
		for (int i = 0; (i < READ_LIMIT_MS) && (this.link.lastActivity() < since); i++) {
			TimeUnit.MILLISECONDS.sleep(1);
		}
	}

	private static Request.Builder fetch() {
		return Request.newBuilder().setFetchConfiguration(FetchConfiguration.getDefaultInstance());
	}

	private static byte[] replyTo(long id) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		Reply.newBuilder()
			.setId(id)
			.setDurable(true)
			.setConfiguration(
					ConfigurationDocument.newBuilder().setVersion(1).setContent(ByteString.copyFrom(new byte[100_000])))
			.build()
			.writeDelimitedTo(bytes);
		return bytes.toByteArray();
	}

	/**
	 * Records the outcome of a request.
	 */
	private final class RecordingListener implements ReplyListener {

		@Override
		public void replied(Reply reply) {
			KeeperLinkTests.this.outcomes.add("replied");
		}

		@Override
		public void connectionLost() {
			KeeperLinkTests.this.outcomes.add("broke");
		}

	}

}
