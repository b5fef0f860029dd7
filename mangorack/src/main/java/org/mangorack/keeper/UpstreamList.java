package org.mangorack.keeper;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.mangorack.keeper.proto.PlatformContact;
import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.platform.ContactTracker;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.StoredObject;

/**
 * The upstreams in a keeper's snapshot of the platform objects, for entries, which do not
 * watch the platform themselves. Versions are those of the platform, so that an entry can
 * apply changes from one keeper after those from another. Not thread-safe.
 */
final class UpstreamList {

	/**
	 * The maximum number of removals that are retained. An entry that missed an older one
	 * gets the full list.
	 */
	static final int MAX_REMOVALS = 500;

	private final Supplier<KindCache.Snapshot> snapshots;

	private final Supplier<ContactTracker.Contact> contact;

	// The removed upstreams, with the version in which each was found to be gone.
	private final Map<String, Long> removals = new LinkedHashMap<>();

	private Map<String, StoredObject> known = Map.of();

	private long version;

	// All removals after this version are retained.
	private long completeSince;

	/**
	 * Creates a list that is empty until the first snapshot is available.
	 * @param snapshots supplies the current snapshot of the platform objects
	 * @param contact supplies the state of the contact that keeps the snapshot up to date
	 */
	UpstreamList(Supplier<KindCache.Snapshot> snapshots, Supplier<ContactTracker.Contact> contact) {
		this.snapshots = snapshots;
		this.contact = contact;
	}

	/**
	 * Returns the state of the contact to the platform.
	 * @return the current state
	 */
	PlatformContact contact() {
		ContactTracker.Contact now = this.contact.get();
		return PlatformContact.newBuilder()
			.setAnswering(now.answering())
			.setLengthMs(now.length().toMillis())
			.setBroken(now.broken())
			.build();
	}

	/**
	 * Returns the changes after a version.
	 * @param since the version that the requesting entry has; 0 if it has none
	 * @return the changes, or the full list if they are no longer retained
	 */
	UpstreamNews.Builder changesSince(long since) {
		refresh();
		UpstreamNews.Builder news = UpstreamNews.newBuilder().setVersion(this.version);
		if (since >= this.version) {
			return news;
		}
		boolean full = since < this.completeSince;
		news.setWhole(full);
		this.known.forEach((name, object) -> {
			if (full || (KindCache.number(object.version()) > since)) {
				news.addUpstream(UpstreamObjects.of(object));
			}
		});
		if (!full) {
			this.removals.forEach((name, at) -> {
				if (at > since) {
					news.addGone(name);
				}
			});
		}
		return news;
	}

	private void refresh() {
		KindCache.Snapshot snapshot = this.snapshots.get();
		long newest = snapshot.version();
		if (newest == this.version) {
			return;
		}
		Map<String, StoredObject> objects = snapshot.objects();
		if (this.version == 0) {
			this.completeSince = newest;
		}
		Map<String, StoredObject> gone = new HashMap<>(this.known);
		gone.keySet().removeAll(objects.keySet());
		this.removals.keySet().removeAll(objects.keySet());
		gone.keySet().forEach((name) -> this.removals.put(name, newest));
		while (this.removals.size() > MAX_REMOVALS) {
			Map.Entry<String, Long> oldest = this.removals.entrySet().iterator().next();
			this.completeSince = Math.max(this.completeSince, oldest.getValue());
			this.removals.remove(oldest.getKey());
		}
		this.known = objects;
		this.version = newest;
	}

}
