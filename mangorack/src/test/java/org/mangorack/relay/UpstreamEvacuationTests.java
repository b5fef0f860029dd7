package org.mangorack.relay;

import java.lang.reflect.Proxy;
import java.util.List;
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
import org.mangorack.observe.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the evacuations that {@link UpstreamTable} applies.
 */
class UpstreamEvacuationTests {

	private static final String POOL = "pool";

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final FleetProtocol protocol = protocol();

	private final UpstreamTable table = new UpstreamTable(this.channel.eventLoop(), this.protocol,
			new UpstreamClient(this.channel.eventLoop(), this.protocol, () -> 1, new Metrics()), () -> 1, "entry",
			"near");

	@BeforeEach
	void register() {
		this.table.apply(
				UpstreamNews.newBuilder().setVersion(1).addUpstream(object("near")).addUpstream(object("far")).build());
	}

	// Guards against requests, by whichever way they are placed, to an upstream whose
	// data centre is evacuated.
	@Test
	void anEvacuatedDataCentreGetsNoRequests() {
		evacuate(5, "near");
		for (int i = 0; i < 20; i++) {
			assertThat(this.table.choose(POOL, Set.of(), null)).map(Upstream::id).contains("far");
			assertThat(this.table.choose(POOL, Set.of(), "key-" + i)).map(Upstream::id).contains("far");
			assertThat(this.table.choosePreferred(POOL, Set.of())).map(Upstream::id).contains("far");
			assertThat(this.table.chooseByPrompt(POOL, Set.of(), Prompt.UNKNOWN, null, false))
				.map((placed) -> placed.upstream().id())
				.contains("far");
		}
	}

	// Guards against a retry or a resumed stream that goes to an evacuated data centre
	// for
	// lack of another upstream.
	@Test
	void aRetryDoesNotGoToAnEvacuatedDataCentre() {
		Upstream near = this.table.choose(POOL, Set.of(), null).orElseThrow();
		String other = near.id().equals("near") ? "far" : "near";
		evacuate(5, other);
		assertThat(this.table.choose(POOL, Set.of(near), null)).isEmpty();
	}

	// Guards against an evacuation that outlives its deletion.
	@Test
	void aDeletedEvacuationEnds() {
		evacuate(5, "near", "far");
		evacuate(6);
		assertThat(this.table.choose(POOL, Set.of(), null)).isPresent();
		assertThat(this.table.isEvacuated(POOL)).isFalse();
	}

	// Guards against a keeper that lags behind and brings back an earlier state.
	@Test
	void anOlderListIsIgnored() {
		evacuate(5, "near", "far");
		evacuate(4);
		evacuate(5);
		this.table.applyEvacuations(Evacuations.getDefaultInstance());
		assertThat(this.table.choose(POOL, Set.of(), null)).isEmpty();
		assertThat(this.table.evacuationsVersion()).isEqualTo(5);
	}

	// Guards against a new upstream that gets requests as its evacuation came first.
	@Test
	void anUpstreamThatRegistersDuringAnEvacuationGetsNoRequests() {
		evacuate(5, "other");
		this.table.apply(UpstreamNews.newBuilder().setVersion(2).setWhole(true).addUpstream(object("other")).build());
		assertThat(this.table.choose(POOL, Set.of(), null)).isEmpty();
	}

	// Guards against a refusal that names an evacuation where another cause holds.
	@Test
	void onlyAPoolWithAllUpstreamsInEvacuatedDataCentresIsEvacuated() {
		assertThat(this.table.isEvacuated(POOL)).isFalse();
		evacuate(5, "near");
		assertThat(this.table.isEvacuated(POOL)).isFalse();
		evacuate(6, "near", "far");
		assertThat(this.table.isEvacuated(POOL)).isTrue();
		assertThat(this.table.isEvacuated("pool without upstreams")).isFalse();
	}

	private void evacuate(long version, String... dataCentres) {
		this.table.applyEvacuations(
				Evacuations.newBuilder().setVersion(version).addAllDataCentre(List.of(dataCentres)).build());
	}

	// The upstream is named after its data centre.
	private static UpstreamObject object(String dataCentre) {
		return UpstreamObject.newBuilder().setName(dataCentre).setDocument(ByteString.copyFromUtf8("{}")).build();
	}

	private static FleetProtocol protocol() {
		return (FleetProtocol) Proxy.newProxyInstance(FleetProtocol.class.getClassLoader(),
				new Class<?>[] { FleetProtocol.class }, (proxy, method, arguments) -> {
					if (method.getName().equals("upstream")) {
						String id = (String) arguments[0];
						return Optional
							.of(new UpstreamRegistration(id, POOL, new HttpAddress("127.0.0.1", 9), id, 8, false, 1));
					}
					throw new UnsupportedOperationException(method.getName());
				});
	}

}
