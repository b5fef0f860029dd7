package org.mangorack.relay;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.ByteString;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mangorack.call.Prompt;
import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.proto.Evacuations;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.keeper.proto.UpstreamObject;
import org.mangorack.limit.ColdRate;
import org.mangorack.observe.Metrics;
import org.mangorack.relay.FleetConfiguration.Pool;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for cold upstreams in {@link UpstreamTable}, with a clock that the tests advance.
 */
class ColdUpstreamTests {

	private static final String POOL = "pool";

	private static final int PERMITS = 6;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final Map<String, Duration> coldRemaining = new HashMap<>();

	private final Map<String, Long> startedAt = new HashMap<>();

	private final FleetProtocol protocol = protocol();

	private long now = 1;

	private final UpstreamTable table = new UpstreamTable(this.channel.eventLoop(), this.protocol,
			new UpstreamClient(this.channel.eventLoop(), this.protocol, () -> this.now, new Metrics()), () -> this.now,
			"entry", "dc");

	private final ColdRate rate = new ColdRate(() -> this.now, "entry", 1, 2);

	private double coldPerSecond = 4;

	private long version;

	@BeforeEach
	void settle() {
		this.table.setColdRate(this.rate,
				(name) -> new Pool(name, 100, 0, null, this.coldPerSecond, Duration.ofSeconds(3)));
		register("u-1");
		for (int i = 0; i < 40; i++) {
			advance(100);
		}
	}

	// Guards against more requests to a cold upstream than its share.
	@Test
	void aColdUpstreamGetsItsShareOnly() {
		register("u-1", 60_000);
		assertThat(sends()).isEqualTo(PERMITS);
	}

	// Guards against an upstream that stays limited after the announced time.
	@Test
	void anUpstreamIsNotLimitedOnceTheTimeIsOver() {
		register("u-1", 1000);
		assertThat(sends()).isEqualTo(PERMITS);
		advance(1001);
		assertThat(sends()).isEqualTo(100);
	}

	// Guards against a turn that is refused although another upstream is warm.
	@Test
	void aColdUpstreamBeyondItsShareIsPassedOver() {
		register("u-1", 60_000);
		sends();
		this.now += 1;
		this.coldPerSecond = 0;
		register("u-2");
		this.coldPerSecond = 4;
		assertThat(this.table.choose(POOL, Set.of(), "key")).map(Upstream::id).contains("u-2");
		assertThat(this.table.choosePreferred(POOL, Set.of())).map(Upstream::id).contains("u-2");
	}

	// Guards against requests of turns that are placed by their prompt and not counted.
	@Test
	void turnsPlacedByTheirPromptCount() {
		register("u-1", 60_000);
		int sent = 0;
		while ((sent < 100) && this.table.chooseByPrompt(POOL, Set.of(), Prompt.UNKNOWN, null, false).isPresent()) {
			sent++;
		}
		assertThat(sent).isEqualTo(PERMITS);
	}

	// Guards against an upstream that gets its full share of the load before its
	// registration says that it is cold.
	@Test
	void anUpstreamThatStartsIsColdForTheConfiguredTime() {
		this.startedAt.put("u-1", 2L);
		register("u-1");
		assertThat(sends()).isEqualTo(PERMITS);
		for (int i = 0; i < 31; i++) {
			advance(100);
		}
		assertThat(sends()).isEqualTo(100);
	}

	// Guards against a restart under the same id that is charged with what the former
	// start
	// got.
	@Test
	void aRestartUnderTheSameIdStartsAnew() {
		register("u-1", 60_000);
		assertThat(sends()).isEqualTo(PERMITS);
		assertThat(sends()).isZero();
		this.startedAt.put("u-1", 2L);
		register("u-1", 60_000);
		assertThat(sends()).isEqualTo(PERMITS);
	}

	// Guards against a limit in deployments whose configuration names none.
	@Test
	void withoutARateInTheConfigurationNothingIsLimited() {
		this.coldPerSecond = 0;
		this.startedAt.put("u-1", 2L);
		register("u-1", 60_000);
		assertThat(sends()).isEqualTo(100);
	}

	// Guards against a turn that is refused at once although a permit is free again
	// before
	// its wait ends, and against one that waits for an evacuated data centre.
	@Test
	void turnsWaitForAPermitOfAColdUpstream() {
		register("u-1", 60_000);
		assertThat(this.table.hasRoom(POOL)).isTrue();
		sends();
		assertThat(this.table.hasRoom(POOL)).isFalse();
		this.table.applyEvacuations(Evacuations.newBuilder().setVersion(1).addDataCentre("dc").build());
		assertThat(this.table.hasRoom(POOL)).isTrue();
	}

	private int sends() {
		int sent = 0;
		while ((sent < 100) && this.table.choose(POOL, Set.of(), null).isPresent()) {
			sent++;
		}
		return sent;
	}

	// The keepers confirm the list of entries meanwhile.
	private void advance(long millis) {
		this.now += Duration.ofMillis(millis).toNanos();
		this.rate.setEntries(Set.of("entry"), this.now);
	}

	private void register(String id, long coldMillis) {
		this.coldRemaining.put(id, Duration.ofMillis(coldMillis));
		register(id);
	}

	private void register(String id) {
		this.table.apply(UpstreamNews.newBuilder()
			.setVersion(++this.version)
			.addUpstream(UpstreamObject.newBuilder().setName(id).setDocument(ByteString.copyFromUtf8("{}")))
			.build());
	}

	private FleetProtocol protocol() {
		return (FleetProtocol) Proxy.newProxyInstance(FleetProtocol.class.getClassLoader(),
				new Class<?>[] { FleetProtocol.class }, (proxy, method, arguments) -> {
					if (method.getName().equals("upstream")) {
						String id = (String) arguments[0];
						return Optional.of(new UpstreamRegistration(id, POOL, new HttpAddress("127.0.0.1", 9), "dc", 8,
								false, this.startedAt.getOrDefault(id, 1L),
								this.coldRemaining.getOrDefault(id, Duration.ZERO)));
					}
					throw new UnsupportedOperationException(method.getName());
				});
	}

}
