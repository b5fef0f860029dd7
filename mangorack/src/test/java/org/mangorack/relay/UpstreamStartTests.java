package org.mangorack.relay;

import java.lang.reflect.Proxy;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.keeper.proto.UpstreamObject;
import org.mangorack.observe.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the limits of {@link UpstreamTable} on upstreams that start or recover.
 */
class UpstreamStartTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private long now = 1;

	private long start = 1;

	private final FleetProtocol protocol = protocol();

	private final UpstreamTable table = new UpstreamTable(this.channel.eventLoop(), this.protocol,
			new UpstreamClient(this.channel.eventLoop(), this.protocol, () -> this.now, new Metrics()), () -> this.now,
			"entry", "dc");

	private long version;

	private boolean limited = true;

	UpstreamStartTests() {
		this.table.setStartsLimited(() -> this.limited);
	}

	@Test
	void upstreamsKnownFromTheStartOfTheEntryAreNotLimited() {
		announce("u-1", "u-2");
		assertThat(starting()).isZero();
	}

	@Test
	void anUpstreamThatAppearsLaterGetsSingleCalls() {
		announce("u-1", "u-2");
		announce("u-3");
		assertThat(starting()).isOne();
		upstream("u-3").callStarted();
		assertThat(chosen()).containsExactly("u-1", "u-2");
		upstream("u-3").callEnded();
		assertThat(chosen()).containsExactly("u-1", "u-2", "u-3");
	}

	@Test
	void aRestartUnderTheSameIdIsAStart() {
		announce("u-1", "u-2");
		this.start = 2;
		announce("u-2");
		upstream("u-2").callStarted();
		assertThat(chosen()).containsExactly("u-1");
	}

	/**
	 * Guards against limits after an outage of the platform in which registrations were
	 * lost.
	 */
	@Test
	void anUpstreamThatRegistersAgainDidNotStart() {
		announce("u-1", "u-2");
		this.table.apply(news().addGone("u-2").build());
		advance(5000);
		this.table.apply(news().build());
		assertThat(chosen()).containsExactly("u-1");
		announce("u-2");
		assertThat(starting()).isZero();
	}

	/**
	 * Guards against refusals where no upstream has answered yet.
	 */
	@Test
	void aPoolThatRestartsAsAWholeIsUsedInFull() {
		announce("u-1", "u-2");
		this.start = 2;
		announce("u-1", "u-2");
		assertThat(starting()).isEqualTo(2);
		for (int i = 0; i < 12; i++) {
			this.table.choose("pool", Set.of(), null).orElseThrow().callStarted();
		}
		assertThat(chosen()).containsExactly("u-1", "u-2");
	}

	@Test
	void theLimitDoesNotHoldWhileAllOthersAreAvoided() {
		announce("u-1");
		announce("u-2");
		upstream("u-2").callStarted();
		assertThat(chosen()).containsExactly("u-1");
		upstream("u-1").unreachable(this.now, "no connection");
		assertThat(chosen()).containsExactly("u-2");
	}

	@Test
	void anUpstreamThatFailedIsLimitedUntilItAnswersWell() {
		announce("u-1", "u-2");
		Upstream failed = upstream("u-2");
		failed.unreachable(this.now, "no connection");
		advance(5000);
		assertThat(starting()).isOne();
		failed.callStarted();
		assertThat(chosen()).containsExactly("u-1");
		for (int i = 0; i < 14; i++) {
			failed.responseReceived(1);
		}
		failed.callEnded();
		assertThat(starting()).isZero();
		assertThat(chosen()).containsExactly("u-1", "u-2");
	}

	@Test
	void answersToOtherEntriesEndTheLimit() {
		announce("u-1");
		announce("u-2");
		advance(1000);
		this.table.setLoadOfOtherEntries(List.of(Load.newBuilder().setUpstream("u-2").setGood(14).build()));
		assertThat(starting()).isZero();
	}

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void goodAndBadAnswersAreReportedOnlyWhereStartsAreLimited(boolean on) {
		this.limited = on;
		announce("u-1");
		upstream("u-1").responseReceived(1);
		upstream("u-1").capacityExceeded(this.now);
		Load load = this.table.drainLoad().get(0);
		assertThat(load.getAnswers()).isEqualTo(2);
		assertThat(load.getGood()).isEqualTo(on ? 1 : 0);
		assertThat(load.getBad()).isEqualTo(on ? 1 : 0);
		assertThat(this.table.drainLoad()).isEmpty();
	}

	/**
	 * Guards deployments without large models: they take the former path.
	 */
	@Test
	void withoutTheSwitchNothingIsLimited() {
		this.limited = false;
		announce("u-1");
		announce("u-2");
		upstream("u-1").unreachable(this.now, "no connection");
		advance(5000);
		assertThat(upstream("u-1").startPace().isLimited()).isFalse();
		assertThat(upstream("u-2").startPace().isLimited()).isFalse();
		assertThat(starting()).isZero();
		upstream("u-1").callStarted();
		upstream("u-2").callStarted();
		assertThat(chosen()).containsExactly("u-1", "u-2");
	}

	private Upstream upstream(String id) {
		return this.table.upstream(id);
	}

	// The upstreams that a call may go to, as each of them is left when the others were
	// tried.
	private Set<String> chosen() {
		Set<String> chosen = new TreeSet<>();
		for (int i = 0; i < 200; i++) {
			Upstream first = this.table.choose("pool", Set.of(), null).orElseThrow();
			chosen.add(first.id());
		}
		return chosen;
	}

	private int starting() {
		advance(600);
		return this.table.startingCount();
	}

	private void announce(String... ids) {
		UpstreamNews.Builder news = news();
		Arrays.stream(ids)
			.forEach((id) -> news.addUpstream(
					UpstreamObject.newBuilder().setName(id).setDocument(ByteString.copyFromUtf8("{}")).build()));
		this.table.apply(news.build());
	}

	private void advance(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private UpstreamNews.Builder news() {
		return UpstreamNews.newBuilder().setVersion(++this.version);
	}

	// Parses upstream entries only.
	private FleetProtocol protocol() {
		return (FleetProtocol) Proxy.newProxyInstance(FleetProtocol.class.getClassLoader(),
				new Class<?>[] { FleetProtocol.class }, (proxy, method, arguments) -> {
					if (method.getName().equals("upstream")) {
						return Optional.of(new UpstreamRegistration((String) arguments[0], "pool",
								new HttpAddress("127.0.0.1", 9), "dc", 8, false, this.start));
					}
					throw new UnsupportedOperationException(method.getName());
				});
	}

}
