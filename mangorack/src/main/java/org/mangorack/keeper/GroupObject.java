package org.mangorack.keeper;

import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * The platform object that holds the group. Besides what the watch reports, which is late
 * if its connection has gone silent, it takes the responses to the calls of this keeper.
 * If another keeper proves that the known object is outdated, the object is read again.
 * Confined to the thread that manages group membership.
 */
final class GroupObject {

	/**
	 * How long the watch may take to report a change that is known from another keeper,
	 * before the object is read. Also the time between two reads.
	 */
	static final Duration WATCH_DELAY = Duration.ofMillis(500);

	private final ObjectStore store;

	private final KindCache watched;

	private final MonotonicClock clock;

	private Optional<StoredObject> received = Optional.empty();

	private Optional<Long> outdatedSince = Optional.empty();

	/**
	 * Creates an object that is not known yet.
	 * @param store the object API of the platform
	 * @param watched the cache that follows the object
	 * @param clock the time source
	 */
	GroupObject(ObjectStore store, KindCache watched, MonotonicClock clock) {
		this.store = store;
		this.watched = watched;
		this.clock = clock;
	}

	/**
	 * Returns the newest known version of the object, and reads it if other keepers know
	 * a newer one.
	 * @param epoch the highest epoch of the group that is known to this keeper
	 * @return the object, or empty if none is known
	 */
	Optional<StoredObject> newest(long epoch) {
		Optional<StoredObject> known = newestKnown();
		if (known.isPresent() && (known.get().spec().path("epoch").asLong() >= epoch)) {
			this.outdatedSince = Optional.empty();
			return known;
		}
		if (known.isPresent() && this.outdatedSince.isEmpty()) {
			this.outdatedSince = Optional.of(this.clock.nanoTime());
		}
		if (this.outdatedSince.isPresent()
				&& (this.clock.elapsed(this.outdatedSince.get()).compareTo(WATCH_DELAY) > 0)) {
			this.outdatedSince = Optional.of(this.clock.nanoTime());
			read("epoch " + epoch + " is known from another keeper");
		}
		return newestKnown();
	}

	/**
	 * Creates the object.
	 * @param spec the spec of the object
	 * @throws StoreException if the object was not created, for example because another
	 * keeper created it, or if that is unknown
	 */
	void create(JsonNode spec) throws StoreException {
		write(() -> this.store.create(ObjectKind.KEEPER_GROUP, GroupDocument.NAME, spec));
	}

	/**
	 * Replaces the spec of the object.
	 * @param object the version to replace
	 * @param spec the new spec
	 * @throws StoreException if the object was not changed, for example because another
	 * keeper changed it, or if that is unknown
	 */
	void update(StoredObject object, JsonNode spec) throws StoreException {
		write(() -> this.store.update(ObjectKind.KEEPER_GROUP, GroupDocument.NAME, object.version(), spec));
	}

	// ---- Helpers

	private Optional<StoredObject> newestKnown() {
		Optional<StoredObject> reported = this.watched.object(GroupDocument.NAME);
		return (version(this.received) > version(reported)) ? this.received : reported;
	}

	private static long version(Optional<StoredObject> object) {
		return object.map((o) -> KindCache.number(o.version())).orElse(-1L);
	}

	private void write(Write write) throws StoreException {
		try {
			this.received = Optional.of(write.run());
		}
		catch (StoreException ex) {
			if (ex.reason() == StoreException.Reason.CONFLICT) {
				read("conflict");
			}
			throw ex;
		}
	}

	private void read(String cause) {
		try {
			Optional<StoredObject> current = this.store.get(ObjectKind.KEEPER_GROUP, GroupDocument.NAME);
			this.received = (version(current) > version(this.received)) ? current : this.received;
			EventLog.log(Event.GROUP_READ, "cause", cause, "version", version(current), "watched",
					version(this.watched.object(GroupDocument.NAME)));
		}
		catch (StoreException ex) {
			EventLog.log(Event.GROUP_CHANGE_FAILED, "cause", ex.getMessage());
		}
	}

	/**
	 * A call that writes the object.
	 */
	@FunctionalInterface
	private interface Write {

		/**
		 * Writes the object.
		 * @return the object as written
		 * @throws StoreException if it was not written, or if that is unknown
		 */
		StoredObject run() throws StoreException;

	}

}
