package org.mangorack.relay;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;

import org.mangorack.call.Jsons;
import org.mangorack.observe.Metrics;
import org.mangorack.relay.FleetConfiguration.CallerLimits;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationHolder}, on a clock that the tests advance.
 */
class ConfigurationHolderTests {

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private long now = 100 * SECOND;

	private final ConfigurationHolder holder = new ConfigurationHolder(protocol(), () -> this.now, new Metrics());

	@Test
	void theVersionNeverGoesBack() {
		this.holder.offer(document(5), this.now, "platform");
		this.holder.offer(document(4), this.now, "keeper");
		assertThat(this.holder.version()).isEqualTo(5);
	}

	@Test
	void aNewerVersionIsNoOlderThanWhatWasKnownOfTheOneBefore() {
		this.holder.offer(document(5), this.now, "platform");
		this.holder.offer(document(6), this.now - (4 * SECOND), "platform");
		assertThat(this.holder.version()).isEqualTo(6);
		assertThat(this.holder.age()).isZero();
	}

	@Test
	void onlyThePresentVersionIsConfirmed() {
		this.holder.offer(document(5), this.now, "platform");
		this.now += 3 * SECOND;
		this.holder.confirm(4, this.now);
		assertThat(this.holder.age()).isEqualTo(Duration.ofSeconds(3));
		this.holder.confirm(5, this.now - SECOND);
		assertThat(this.holder.age()).isEqualTo(Duration.ofSeconds(1));
		this.holder.confirm(5, this.now - (2 * SECOND));
		assertThat(this.holder.age()).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	void anUnknownConfigurationIsVeryOld() {
		assertThat(this.holder.current()).isNull();
		assertThat(this.holder.age()).isGreaterThan(Duration.ofHours(1));
	}

	private static JsonNode document(long version) {
		return Jsons.object().put("version", version);
	}

	// Reads documents that hold a version only.
	private static FleetProtocol protocol() {
		return (FleetProtocol) Proxy.newProxyInstance(FleetProtocol.class.getClassLoader(),
				new Class<?>[] { FleetProtocol.class }, (proxy, method, arguments) -> {
					long version = ((JsonNode) arguments[0]).path("version").asLong();
					return method.getName().equals("configurationVersion") ? (Object) version
							: new FleetConfiguration(version, List.of(), List.of(), null, CallerLimits.DEFAULT);
				});
	}

}
