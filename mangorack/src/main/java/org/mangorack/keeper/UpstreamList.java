package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.mangorack.keeper.proto.UpstreamNews;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.StoredObject;

/**
 * The upstreams as a keeper's copy of the platform shows them, for entries, which do not
 * watch the platform. Versions are those of the platform, so that entries can take the
 * changes of one keeper after those of another. Used by one thread.
 */
final class UpstreamList {

	/**
	 * Removals that are remembered. An entry that missed an older one gets the whole
	 * list.
	 */
	static final int MAX_REMOVALS = 500;

	private final Supplier<KindCache.Copy> copies;

	private final Supplier<Duration> sinceRegained;

	// What is gone, with the version by which it was.
	private final Map<String, Long> removals = new LinkedHashMap<>();

	private Map<String, StoredObject> known = Map.of();

	private long version;

	// All removals after this version are remembered.
	private long completeSince;

	/**
	 * Creates a list that is empty until the copy is.
	 * @param copies the copy of the platform
	 * @param sinceRegained how long ago the platform answered again after a break
	 */
	UpstreamList(Supplier<KindCache.Copy> copies, Supplier<Duration> sinceRegained) {
		this.copies = copies;
		this.sinceRegained = sinceRegained;
	}

	/**
	 * Returns what changed after a version.
	 * @param since the version that the asking entry has; 0 if it has none
	 * @return the changes, or the whole list if they are not known
	 */
	UpstreamNews.Builder news(long since) {
		refresh();
		UpstreamNews.Builder news = UpstreamNews.newBuilder()
			.setVersion(this.version)
			.setRegainedMs(this.sinceRegained.get().toMillis());
		if (since >= this.version) {
			return news;
		}
		boolean whole = since < this.completeSince;
		news.setWhole(whole);
		this.known.forEach((name, object) -> {
			if (whole || (KindCache.number(object.version()) > since)) {
				news.addUpstream(UpstreamObjects.of(object));
			}
		});
		if (!whole) {
			this.removals.forEach((name, at) -> {
				if (at > since) {
					news.addGone(name);
				}
			});
		}
		return news;
	}

	private void refresh() {
		KindCache.Copy copy = this.copies.get();
		long newest = copy.version();
		if (newest == this.version) {
			return;
		}
		Map<String, StoredObject> objects = copy.objects();
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
