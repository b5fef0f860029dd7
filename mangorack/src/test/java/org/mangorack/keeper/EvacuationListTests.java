package org.mangorack.keeper;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.mangorack.call.Jsons;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.StoredObject;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link EvacuationList}.
 */
class EvacuationListTests {

	private KindCache.Snapshot snapshot = new KindCache.Snapshot(Map.of(), 0);

	private final EvacuationList list = new EvacuationList(() -> this.snapshot);

	// Guards against an entry that takes an empty list for the end of all evacuations.
	@Test
	void nothingIsReportedBeforeTheFirstSnapshot() {
		assertThat(this.list.newerThan(0)).isEmpty();
	}

	// Guards against bytes in each heartbeat reply while nothing changes.
	@Test
	void nothingIsReportedToAnEntryThatIsUpToDate() {
		publish(10, "dc");
		assertThat(this.list.newerThan(10)).isEmpty();
		assertThat(this.list.newerThan(11)).isEmpty();
	}

	// Guards against an evacuation that an entry does not hear of.
	@Test
	void theCompleteListIsReportedToAnEntryWithAnEarlierVersion() {
		publish(10, "dc");
		assertThat(this.list.newerThan(9).orElseThrow().getDataCentreList()).containsExactly("dc");
		assertThat(this.list.newerThan(0).orElseThrow().getVersion()).isEqualTo(10);
	}

	// Guards against an entry that keeps an evacuation which was created and deleted
	// between two snapshots of this keeper, and which another keeper reported.
	@Test
	void aListThatDidNotChangeIsReportedWithANewerVersion() {
		publish(10);
		publish(12);
		assertThat(this.list.newerThan(11).orElseThrow().getDataCentreList()).isEmpty();
	}

	private void publish(long version, String... dataCentres) {
		Map<String, StoredObject> objects = new HashMap<>();
		for (String name : dataCentres) {
			objects.put(name, new StoredObject(name, Long.toString(version), Jsons.object()));
		}
		this.snapshot = new KindCache.Snapshot(objects, version);
	}

}
