package org.mangorack.keeper;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.mangorack.keeper.proto.Evacuations;
import org.mangorack.platform.KindCache;

/**
 * The evacuated data centres in a keeper's snapshot of the platform objects, for entries,
 * which do not watch the platform themselves. Versions are those of the platform, so that
 * an entry can compare the lists of several keepers. Each list is complete, as there are
 * only a few data centres, so no history of changes is needed. May be called by any
 * thread.
 */
final class EvacuationList {

	private final Supplier<KindCache.Snapshot> snapshots;

	/**
	 * Creates a list that has nothing to report until the first snapshot is available.
	 * @param snapshots supplies the current snapshot of the platform objects
	 */
	EvacuationList(Supplier<KindCache.Snapshot> snapshots) {
		this.snapshots = snapshots;
	}

	/**
	 * Returns the list of a keeper that does not watch evacuations.
	 * @return a list that never has anything to report
	 */
	static EvacuationList unwatched() {
		KindCache.Snapshot none = new KindCache.Snapshot(Map.of(), 0);
		return new EvacuationList(() -> none);
	}

	/**
	 * Returns the evacuated data centres unless the requesting entry knows them.
	 * @param known the version that the entry has; 0 if it has none
	 * @return the complete list, or empty if this keeper's is not newer
	 */
	Optional<Evacuations> newerThan(long known) {
		KindCache.Snapshot snapshot = this.snapshots.get();
		if (snapshot.version() <= known) {
			return Optional.empty();
		}
		return Optional.of(Evacuations.newBuilder()
			.setVersion(snapshot.version())
			.addAllDataCentre(snapshot.objects().keySet())
			.build());
	}

}
