package org.mangorack.relay;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import com.google.protobuf.ByteString;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.Jsons;
import org.mangorack.call.Prompt;
import org.mangorack.call.Refusal;
import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.KeeperClient;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.keeper.proto.UpstreamObject;
import org.mangorack.observe.Metrics;
import org.mangorack.relay.FleetConfiguration.CallerLimits;
import org.mangorack.relay.FleetConfiguration.EngineMemory;
import org.mangorack.relay.FleetConfiguration.Pool;
import org.mangorack.relay.FleetConfiguration.Workspace;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for turns that wait for room, with the real server on an event loop whose time
 * the tests advance. No connection to an upstream succeeds, so each attempt shows as a
 * response of its upstream.
 */
class WaitingTurnsTests {

	private static final HttpAddress ADDRESS = new HttpAddress("127.0.0.1", 9);

	private static final Pool POOL = new Pool("pool", 8, 1, new EngineMemory(50_000, 163_840), 0, Duration.ZERO);

	private static final Duration TIMEOUT = Duration.ofSeconds(4);

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final Metrics metrics = new Metrics();

	private final List<String> refusals = new ArrayList<>();

	private long now = 1_000_000_000L;

	private FleetConfiguration next;

	private final FleetProtocol protocol = (FleetProtocol) Proxy.newProxyInstance(FleetProtocol.class.getClassLoader(),
			new Class<?>[] { FleetProtocol.class }, (proxy, method, arguments) -> switch (method.getName()) {
				case "upstream" ->
					Optional.of(new UpstreamRegistration((String) arguments[0], "pool", ADDRESS, "dc", 8, false, 1));
				case "configuration" -> this.next;
				case "configurationVersion" -> this.next.version();
				case "refusal" -> {
					Refusal refusal = (Refusal) arguments[0];
					this.refusals.add(arguments[1] + " " + refusal.status() + " " + refusal.code());
					yield new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE,
							Unpooled.wrappedBuffer(new byte[10]));
				}
				default -> throw new UnsupportedOperationException(method.getName());
			});

	private final UpstreamClient client = new UpstreamClient(this.channel.eventLoop(), this.protocol, () -> this.now,
			this.metrics);

	private final UpstreamTable table = new UpstreamTable(this.channel.eventLoop(), this.protocol, this.client,
			() -> this.now, "entry", "dc");

	private final ConfigurationHolder holder = new ConfigurationHolder(this.protocol, () -> this.now, this.metrics,
			Runnable::run);

	private final KeeperClient keepers = new KeeperClient(this.channel.eventLoop(), () -> this.now, "dc", 1);

	private final RelayServer server = new RelayServer(this.channel.eventLoop(), this.protocol, () -> this.now,
			this.metrics, this.holder,
			new EntrySettings("entry", "dc", ADDRESS, ADDRESS, ADDRESS, ADDRESS, ADDRESS, List.of(ADDRESS), 1,
					Duration.ofSeconds(100), Duration.ofSeconds(100), Duration.ofSeconds(8), 65536, null, 1, 0, false),
			new PlatformOutageDetector(() -> this.now, this.keepers::view, () -> Duration.ZERO), this.table,
			this.client, this.keepers,
			new WorkspaceRateLimiter(this.keepers, this.holder::version, this.channel.eventLoop(), () -> this.now));

	@Test
	void aTurnIsSentAtOnceWhileThereIsRoom() {
		configure(1, TIMEOUT, true, null);
		addUpstreams(1, 1);
		call("a");
		assertThat(attempts()).isPositive();
	}

	@Test
	void aTurnWaitsWhileAllEnginesAreFullAndIsSentOnceThereIsRoom() {
		fillPool(TIMEOUT, true, null);
		RelayCall call = call("a");
		advance(200);
		assertThat(call.isEnded()).isFalse();
		assertThat(attempts()).isZero();
		this.table.setLoadOfOtherEntries(List.of());
		advance(40);
		assertThat(attempts()).isPositive();
	}

	/**
	 * Guards against a request that runs although its caller was told that it did not.
	 */
	@Test
	void aTurnThatHasEndedIsNotSent() {
		fillPool(TIMEOUT, true, null);
		RelayCall call = call("a");
		EngineTurn turn = new EngineTurn(this.server, call, POOL);
		assertThat(turn.awaitRoom()).isTrue();
		call.endForStop();
		assertThat(this.refusals).containsExactly("a 503 instance_stopping");
		this.table.setLoadOfOtherEntries(List.of());
		turn.waitExpired();
		turn.waitEnded();
		advance(1100);
		assertThat(attempts()).isZero();
		assertThat(this.refusals).hasSize(1);
	}

	/**
	 * Guards against an answer after the time limit, as each confirmation of the
	 * configuration lets waiting turns be judged again.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 4000, 2000 })
	void aTurnIsAnsweredWithinTheNewestTimeLimit(int limitMillis) {
		fillPool(TIMEOUT, true, null);
		RelayCall call = call("a");
		advance(900);
		configure(2, Duration.ofMillis(limitMillis), true, null);
		this.server.turns().reconsider();
		advance(limitMillis - 900);
		assertThat(call.isEnded()).isTrue();
	}

	@Test
	void aTimeLimitThatHasPassedEndsTheTurnAtOnce() {
		fillPool(TIMEOUT, true, null);
		call("a");
		advance(900);
		configure(2, Duration.ofMillis(500), true, null);
		this.server.turns().reconsider();
		advance(10);
		assertThat(this.refusals).containsExactly("a 503 time_over");
		assertThat(attempts()).isZero();
	}

	/**
	 * Guards against a turn that is sent for another workspace than the one that admitted
	 * it.
	 */
	@Test
	void aTurnWhoseKeyMovesToAnotherWorkspaceIsNotSent() {
		fillPool(TIMEOUT, false, List.of(new Workspace("w1", List.of("k"), null, null)));
		RelayCall call = call("a");
		configure(2, TIMEOUT, false, List.of(new Workspace("w2", List.of("k"), null, null)));
		this.server.turns().reconsider();
		advance(1100);
		assertThat(call.forwardedWorkspace()).isEqualTo("w1");
		assertThat(call.isEnded()).isTrue();
		assertThat(attempts()).isZero();
	}

	@Test
	void aTurnWhoseKeyIsWithdrawnIsNotSent() {
		fillPool(TIMEOUT, false, List.of(new Workspace("w1", List.of("k"), null, null)));
		call("a");
		configure(2, TIMEOUT, false, List.of(new Workspace("w1", List.of("other"), null, null)));
		this.server.turns().reconsider();
		this.table.setLoadOfOtherEntries(List.of());
		advance(1100);
		assertThat(this.refusals).singleElement().asString().startsWith("a 4");
		assertThat(attempts()).isZero();
	}

	/**
	 * Guards against waiting turns that get no answer because another one failed.
	 */
	@Test
	void aTurnWhoseRouteBeginsToRequireAKeyIsRefused() {
		fillPool(TIMEOUT, true, List.of(new Workspace("w1", List.of("k"), null, null)));
		call("a");
		call("b");
		configure(2, TIMEOUT, false, List.of(new Workspace("w1", List.of("k"), null, null)));
		this.server.turns().reconsider();
		assertThat(this.refusals).containsExactlyInAnyOrder("a 503 route_changed", "b 503 route_changed");
	}

	@Test
	void aChangedPriorityOfTheWorkspaceCounts() {
		fillPool(TIMEOUT, false, List.of(new Workspace("w1", List.of("k"), 2, null)));
		RelayCall call = call("a");
		assertThat(call.priority()).isEqualTo(2);
		configure(2, TIMEOUT, false, List.of(new Workspace("w1", List.of("k"), -7, null)));
		this.server.turns().reconsider();
		assertThat(call.priority()).isZero();
	}

	/**
	 * Guards against turns that wait although their engines have become idle.
	 */
	@Test
	void manyWaitingTurnsAreSentSoonAfterThereIsRoom() {
		fillPool(TIMEOUT, true, null);
		List<RelayCall> calls = IntStream.range(0, 60).mapToObj((i) -> call("c" + i)).toList();
		addUpstreams(2, 32);
		this.table.setLoadOfOtherEntries(List.of());
		advance(600);
		assertThat(calls).allMatch(RelayCall::isEnded);
	}

	/**
	 * Guards against turns that overtake those that wait, because the queue is full.
	 */
	@Test
	void aFullQueueSendsItsFirstTurnInsteadOfTheNewest() {
		fillPool(TIMEOUT, true, null);
		List<RelayCall> calls = IntStream.range(0, WaitingTurns.CAPACITY).mapToObj((i) -> call("c" + i)).toList();
		RelayCall late = call("late");
		assertThat(late.isEnded()).isFalse();
		assertThat(attempts()).isPositive();
		advance(20);
		assertThat(calls.get(0).isEnded()).isTrue();
		assertThat(late.isEnded()).isFalse();
	}

	/**
	 * Guards against one dead engine that lets all turns pass to the full ones.
	 */
	@Test
	void anAvoidedEngineIsNoRoom() {
		fillPool(TIMEOUT, true, null);
		Upstream full = this.table.choose("pool", Set.of(), null).orElseThrow();
		addUpstreams(2, 2);
		assertThat(this.table.hasRoom("pool")).isTrue();
		this.table.choose("pool", Set.of(full), null).orElseThrow().unreachable(this.now, "no connection");
		assertThat(this.table.hasRoom("pool")).isFalse();
	}

	/**
	 * Guards against a pool that counts as empty while all of its engines refuse turns.
	 */
	@Test
	void aPoolWhoseEnginesAllRefuseIsFull() {
		fillPool(TIMEOUT, true, null);
		this.table.choose("pool", Set.of(), null).orElseThrow().capacityExceeded(this.now);
		assertThat(this.table.fill("pool")).isGreaterThan(1);
	}

	// ---- Helpers

	private void fillPool(Duration timeout, boolean open, List<Workspace> workspaces) {
		configure(1, timeout, open, workspaces);
		addUpstreams(1, 1);
		this.table.setLoadOfOtherEntries(List.of(Load.newBuilder().setUpstream("u-1").setCalls(100).build()));
	}

	private void configure(long version, Duration timeout, boolean open, List<Workspace> workspaces) {
		RelayRoute route = new RelayRoute("r", "h", "/", RetryPolicy.STREAM, timeout, 2, 1,
				List.of(new RelayRoute.Share("pool", 1)), null, open, false);
		this.next = new FleetConfiguration(version, List.of(route), List.of(POOL), workspaces, CallerLimits.DEFAULT);
		this.holder.offer(Jsons.object().put("v", version), this.now, "platform");
		assertThat(this.holder.current()).isSameAs(this.next);
	}

	private void addUpstreams(int first, int last) {
		this.server.gate().open();
		UpstreamNews.Builder news = UpstreamNews.newBuilder().setVersion(last);
		IntStream.rangeClosed(first, last)
			.forEach((i) -> news
				.addUpstream(UpstreamObject.newBuilder().setName("u-" + i).setDocument(ByteString.copyFromUtf8("{}"))));
		this.table.apply(news.build());
	}

	private RelayCall call(String id) {
		CallerConnection connection = new CallerConnection(this.server, CallerLimits.DEFAULT);
		new EmbeddedChannel(connection);
		CallHead head = new CallHead("POST", "/x", "h", id, null, "k", "program", null, 10, null, null, null, "program",
				null, Prompt.parse("a:512,b:654"), new DefaultHttpHeaders());
		RelayCall call = new RelayCall(this.server, connection, head, new byte[0]);
		call.start();
		return call;
	}

	private void advance(long millis) {
		for (long i = 0; i < millis; i += 10) {
			this.now += TimeUnit.MILLISECONDS.toNanos(10);
			this.channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

	private int attempts() {
		this.channel.runPendingTasks();
		return this.table.drainLoad().stream().mapToInt(Load::getAnswers).sum();
	}

}
