package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.Jsons;
import org.mangorack.keeper.proto.Evacuations;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.observe.Metrics;
import org.mangorack.platform.ContactTracker;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectList;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;
import org.mangorack.platform.WatchListener;
import org.mangorack.relay.PlatformProbe.Needs;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlatformProbe}, with a simulated clock.
 */
class PlatformProbeTests {

	private static final Needs ALL = new Needs(true, true, true, false, 4);

	private long now = 1;

	private final CountingStore store = new CountingStore();

	private ContactTracker.Contact contact;

	private Throwable groupFailure;

	private final List<String> reported = new ArrayList<>();

	private final PlatformProbe probe = new PlatformProbe(this.store, () -> this.now, new Metrics(), new Listener());

	@Test
	void nothingIsQueriedWhileKeepersProvideEverything() {
		run(60_000);
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void nothingIsQueriedBeforeTheSeedTimeout() {
		this.probe.setNeeds(ALL);
		run((int) PlatformProbe.SEED_RESPONSE_TIMEOUT.toMillis() - 200);
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void neededObjectsAreQueriedAndReported() {
		this.probe.setNeeds(ALL);
		run(1300);
		assertThat(this.reported).containsExactly("group", "configuration", "upstreams of 42, whole");
		assertThat(this.probe.timeSinceResponse()).isLessThan(Duration.ofSeconds(1));
	}

	// Guards against an entry that starts while no keeper answers and sends requests to
	// an
	// evacuated data centre.
	@Test
	void evacuationsAreQueriedWithTheUpstreamsIfTheyAreIncluded() {
		this.probe.includeEvacuations();
		this.probe.setNeeds(ALL);
		run(1300);
		assertThat(this.reported).containsExactly("group", "configuration", "upstreams of 42, whole",
				"evacuations of 42: [main]");
	}

	@Test
	void onlyTheGroupIsQueriedWhileItIsBeingFormed() {
		this.store.group = false;
		this.probe.setNeeds(ALL);
		run(6000);
		assertThat(this.store.calls).containsExactly("keepergroups");
		run(1000);
		assertThat(this.store.calls).contains("fleetconfigurations", "upstreams");
	}

	@ParameterizedTest
	@CsvSource({ "4, 60, 150", "64, 8, 19", "350, 1, 4" })
	void queryRatePerEntryDecreasesWithFleetSize(int entries, int min, int max) {
		this.probe.setNeeds(new Needs(true, false, false, false, entries));
		run(60_000);
		assertThat(this.store.calls).hasSizeBetween(min, max);
	}

	// Guards against a schedule shared by all kinds of queries: with 79 entries that had
	// lost all keepers, the query for upstreams delayed the query for the configuration
	// by 4.4 to 7.4 s.
	@ParameterizedTest
	@CsvSource({ "4", "79", "350" })
	void aLaterNeedIsNotDelayedByAnEarlierOne(int entries) {
		run(5000);
		this.probe.setNeeds(new Needs(false, true, false, true, entries));
		run(1000);
		this.probe.setNeeds(new Needs(true, true, false, true, entries));
		run((int) PlatformProbe.MAX_INITIAL_DELAY.toMillis() + 100);
		assertThat(this.store.calls).contains("fleetconfigurations");
	}

	@ParameterizedTest
	@CsvSource({ "4", "79", "350" })
	void anEntryWithoutKeepersQueriesAtTheFullRate(int entries) {
		this.probe.setNeeds(new Needs(true, false, false, true, entries));
		run(60_000);
		assertThat(this.store.calls).hasSizeBetween(60, 150);
	}

	@Test
	void failedQueriesAreRetried() {
		this.probe.setNeeds(new Needs(true, true, false, false, 4));
		this.store.failing = true;
		run(5000);
		assertThat(this.reported).isEmpty();
		assertThat(this.probe.timeSinceResponse()).isGreaterThan(Duration.ofHours(1));
		this.store.failing = false;
		run(2000);
		assertThat(this.reported).contains("configuration", "upstreams of 42, whole");
		assertThat(this.contact.broken()).isTrue();
		assertThat(this.contact.length()).as("time since the platform responds again")
			.isLessThan(Duration.ofSeconds(2));
	}

	@Test
	void contactDurationExcludesPeriodsWithoutQueries() {
		Needs upstreams = new Needs(false, true, false, false, 4);
		this.probe.setNeeds(upstreams);
		run(10_000);
		assertThat(this.contact.length()).isGreaterThan(Duration.ofSeconds(5));
		this.probe.setNeeds(Needs.NONE);
		run(10_000);
		this.probe.setNeeds(upstreams);
		run(1000);
		assertThat(this.contact.broken()).isFalse();
		assertThat(this.contact.length()).isLessThan(Duration.ofSeconds(1));
	}

	@ParameterizedTest
	@ValueSource(classes = { IllegalStateException.class, StackOverflowError.class })
	void anUnexpectedFailureOfOneQueryDoesNotSkipTheOthers(Class<? extends Throwable> type) throws Exception {
		this.groupFailure = type.getConstructor().newInstance();
		this.probe.setNeeds(ALL);
		run(1300);
		assertThat(this.reported).containsExactly("configuration", "upstreams of 42, whole");
	}

	private void run(int millis) {
		for (int i = 0; i < millis; i += 100) {
			this.now += Duration.ofMillis(100).toNanos();
			this.probe.run();
		}
	}

	/**
	 * Records the reported results.
	 */
	private final class Listener implements PlatformProbe.Listener {

		@Override
		public void configuration(StoredObject object, long queriedAt) {
			PlatformProbeTests.this.reported.add("configuration");
		}

		@Override
		public void upstreams(UpstreamNews news, ContactTracker.Contact contact) {
			PlatformProbeTests.this.reported
				.add("upstreams of " + news.getVersion() + (news.getWhole() ? ", whole" : ", in part"));
			PlatformProbeTests.this.contact = contact;
		}

		@Override
		public void evacuations(Evacuations evacuations) {
			PlatformProbeTests.this.reported
				.add("evacuations of " + evacuations.getVersion() + ": " + evacuations.getDataCentreList());
		}

		@Override
		public void group(StoredObject object) {
			if (PlatformProbeTests.this.groupFailure instanceof RuntimeException failure) {
				throw failure;
			}
			if (PlatformProbeTests.this.groupFailure instanceof Error failure) {
				throw failure;
			}
			PlatformProbeTests.this.reported.add("group");
		}

	}

	/**
	 * Records the reads of objects.
	 */
	private static final class CountingStore implements ObjectStore {

		private final List<String> calls = new ArrayList<>();

		private boolean group = true;

		private boolean failing;

		private StoredObject read(ObjectKind kind) throws StoreException {
			this.calls.add(kind.plural());
			if (this.failing) {
				throw new StoreException(StoreException.Reason.UNREACHABLE, "refused");
			}
			return new StoredObject("main", "1", Jsons.object());
		}

		@Override
		public Optional<StoredObject> get(ObjectKind kind, String name) throws StoreException {
			StoredObject object = read(kind);
			return this.group ? Optional.of(object) : Optional.empty();
		}

		@Override
		public ObjectList list(ObjectKind kind) throws StoreException {
			return new ObjectList("42", List.of(read(kind)));
		}

		@Override
		public StoredObject create(ObjectKind kind, String name, JsonNode spec) {
			throw new UnsupportedOperationException("entries do not write");
		}

		@Override
		public StoredObject update(ObjectKind kind, String name, String version, JsonNode spec) {
			throw new UnsupportedOperationException("entries do not write");
		}

		@Override
		public void updateStatus(ObjectKind kind, String name, JsonNode status) {
			throw new UnsupportedOperationException("entries do not write");
		}

		@Override
		public void delete(ObjectKind kind, String name, String version) {
			throw new UnsupportedOperationException("entries do not write");
		}

		@Override
		public void watch(ObjectKind kind, String version, WatchListener listener) {
			throw new UnsupportedOperationException("entries do not watch");
		}

	}

}
