package org.mangorack.relay;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Departure;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.keeper.proto.UpstreamObject;
import org.mangorack.observe.Metrics;
import org.mangorack.platform.ContactTracker;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link UpstreamTable}: how long an upstream is used after its entry is gone,
 * with a clock that the tests advance.
 */
class UpstreamTableTests {

	private static final String UNDECODABLE = "undecodable";

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private long now = 1;

	private final FleetProtocol protocol = protocol();

	private final UpstreamTable table = new UpstreamTable(this.channel.eventLoop(), this.protocol,
			new UpstreamClient(this.channel.eventLoop(), this.protocol, () -> this.now, new Metrics()), () -> this.now,
			"entry", "dc");

	private final ContactTracker first = new ContactTracker(() -> this.now);

	private final ContactTracker second = new ContactTracker(() -> this.now);

	private long version;

	@BeforeEach
	void announce() {
		this.first.answered();
		this.second.answered();
		this.table.apply(news().addUpstream(object()).build());
		advance(10_000);
		assertThat(isInUse()).isTrue();
	}

	@Test
	void anUpstreamWithoutAnEntryIsNotUsed() {
		remove();
		assertThat(isInUse()).isFalse();
	}

	@Test
	void lossOfContactByASingleKeeperKeepsNoUpstreamInUse() {
		this.second.failed();
		reportContacts();
		advance(8000);
		this.second.answered();
		remove();
		assertThat(isInUse()).isFalse();
	}

	@Test
	void afterAnOutageAMissingUpstreamMayRegisterAgain() {
		outage();
		remove();
		assertThat(isInUse()).isTrue();
		advance(1500);
		this.table.apply(news().addUpstream(object()).build());
		advance(5000);
		assertThat(isInUse()).isTrue();
	}

	@Test
	void anEntryThatCannotBeDecodedLeavesTheOthersInUse() {
		remove();
		this.table.apply(news().addUpstream(object().setName(UNDECODABLE)).addUpstream(object()).build());
		assertThat(isInUse()).isTrue();
	}

	@ParameterizedTest
	@ValueSource(strings = { "{", "{\"x\":1,\"x\":2}", "\u0000" })
	void anUpstreamWhoseEntryBecomesUnreadableIsNotUsedUntilItIsReadable(String document) {
		this.table.apply(news().addUpstream(object().setDocument(ByteString.copyFromUtf8(document))).build());
		assertThat(isInUse()).isFalse();
		this.table.apply(news().addUpstream(object()).build());
		assertThat(isInUse()).isTrue();
	}

	@Test
	void anUpstreamThatDoesNotRegisterAgainIsRemovedBeforeItMayStop() {
		outage();
		remove();
		advance(UpstreamTable.MAX_MISSING_TIME.toMillis() - 1);
		assertThat(isInUse()).isTrue();
		advance(3);
		assertThat(isInUse()).isFalse();
	}

	@Test
	void afterTheGracePeriodAMissingUpstreamIsRemovedAtOnce() {
		outage();
		for (int i = 0; i < 10; i++) {
			advance(300);
		}
		remove();
		assertThat(isInUse()).isFalse();
	}

	@Test
	void anUpstreamWhoseDepartureAnotherEntryReportsIsNotUsed() {
		this.table.applyDepartures(List.of(departure(1)));
		assertThat(isInUse()).isFalse();
		this.table.apply(news().addUpstream(object()).build());
		assertThat(isInUse()).isFalse();
	}

	@Test
	void aDepartureReceivedBeforeTheUpstreamEntryApplies() {
		remove();
		this.table.applyDepartures(List.of(departure(1)));
		this.table.apply(news().addUpstream(object()).build());
		assertThat(isInUse()).isFalse();
	}

	@Test
	void theDepartureOfAnEarlierIncarnationDoesNotApply() {
		this.table.applyDepartures(List.of(departure(0)));
		assertThat(isInUse()).isTrue();
	}

	@Test
	void departuresAnnouncedByTheUpstreamAreReportedForALimitedTime() {
		Upstream upstream = this.table.choose("pool", Set.of(), null).orElseThrow();
		upstream.setDeparting();
		assertThat(this.table.departures()).containsExactly(departure(1));
		advance(UpstreamTable.DEPARTURE_REPORT_PERIOD.toMillis() + 1);
		assertThat(this.table.departures()).isEmpty();
	}

	@Test
	void departuresReportedByOtherEntriesAreNotReportedAgain() {
		this.table.applyDepartures(List.of(departure(1)));
		assertThat(this.table.departures()).isEmpty();
	}

	private static Departure departure(long start) {
		return Departure.newBuilder().setUpstream("u-1").setAddress("127.0.0.1:9").setStartedAt(start).build();
	}

	private void outage() {
		this.first.failed();
		this.second.failed();
		reportContacts();
		advance(5000);
		this.second.answered();
	}

	private void remove() {
		reportContacts();
		this.table.apply(news().addGone("u-1").build());
	}

	private void reportContacts() {
		this.table.updatePlatformContact("first", this.first.contact());
		this.table.updatePlatformContact("second", this.second.contact());
	}

	private boolean isInUse() {
		return this.table.choose("pool", Set.of(), null).isPresent();
	}

	// Keepers continue to report meanwhile.
	private void advance(long millis) {
		for (long left = millis; left > 0; left -= 100) {
			long step = Math.min(left, 100);
			this.now += TimeUnit.MILLISECONDS.toNanos(step);
			reportContacts();
			this.channel.advanceTimeBy(step, TimeUnit.MILLISECONDS);
			this.channel.runScheduledPendingTasks();
		}
	}

	private UpstreamNews.Builder news() {
		return UpstreamNews.newBuilder().setVersion(++this.version);
	}

	private static UpstreamObject.Builder object() {
		return UpstreamObject.newBuilder().setName("u-1").setDocument(ByteString.copyFromUtf8("{}"));
	}

	// Parses upstream entries only.
	private static FleetProtocol protocol() {
		UpstreamRegistration entry = new UpstreamRegistration("u-1", "pool", new HttpAddress("127.0.0.1", 9), "dc", 8,
				false, 1);
		return (FleetProtocol) Proxy.newProxyInstance(FleetProtocol.class.getClassLoader(),
				new Class<?>[] { FleetProtocol.class }, (proxy, method, arguments) -> {
					if (method.getName().equals("upstream")) {
						if (arguments[0].equals(UNDECODABLE)) {
							throw new IllegalStateException("thrown by the protocol");
						}
						return Optional.of(entry);
					}
					throw new UnsupportedOperationException(method.getName());
				});
	}

}
