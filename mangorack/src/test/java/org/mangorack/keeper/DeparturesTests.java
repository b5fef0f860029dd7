package org.mangorack.keeper;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import org.mangorack.keeper.proto.Departure;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Departures} with a manual clock.
 */
class DeparturesTests {

	private long now = 1;

	private final Departures departures = new Departures(() -> this.now);

	@Test
	void aReceivedDepartureKeepsAging() {
		this.departures.add(departure(1, 500));
		advance(Duration.ofMillis(250));
		assertThat(this.departures.all(Departures.RETENTION)).extracting(Departure::getAgeMs).containsExactly(750L);
	}

	@Test
	void aDepartureIsAddedOnlyOnce() {
		assertThat(this.departures.add(departure(1, 0))).isTrue();
		long version = this.departures.version();
		assertThat(this.departures.add(departure(1, 0))).isFalse();
		assertThat(this.departures.version()).isEqualTo(version);
		assertThat(this.departures.all(Departures.RETENTION)).hasSize(1);
	}

	@Test
	void anotherIncarnationWithTheSameIdIsNotDeparting() {
		this.departures.add(departure(1, 0));
		assertThat(this.departures.contains(departure(1, 0))).isTrue();
		assertThat(this.departures.contains(departure(2, 0))).isFalse();
		assertThat(this.departures.contains(departure(1, 0).toBuilder().setAddress("b:1").build())).isFalse();
	}

	@Test
	void expiredDeparturesAreNeitherRetainedNorAdded() {
		this.departures.add(departure(1, 0));
		long version = this.departures.version();
		advance(Departures.RETENTION.plusMillis(1));
		assertThat(this.departures.add(departure(2, Departures.RETENTION.toMillis()))).isFalse();
		assertThat(this.departures.all(Departures.RETENTION)).isEmpty();
		assertThat(this.departures.version()).isGreaterThan(version);
	}

	private void advance(Duration time) {
		this.now += time.toNanos();
	}

	private static Departure departure(long start, long ageMillis) {
		return Departure.newBuilder()
			.setUpstream("u")
			.setAddress("a:1")
			.setStartedAt(start)
			.setAgeMs(ageMillis)
			.build();
	}

}
