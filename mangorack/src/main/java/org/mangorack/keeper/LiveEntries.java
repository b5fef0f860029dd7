package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;

/**
 * The entries whose beats arrive, with their load. Pulses hold what changed in the list
 * since the version that their receiver has. Used by one thread.
 */
final class LiveEntries {

	/**
	 * An entry without a beat for this long is left out: two and a half of the longest
	 * intervals of beats.
	 */
	static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1000);

	/**
	 * Entries that left which are remembered. A receiver that missed an older one gets
	 * the whole list.
	 */
	static final int MAX_REMOVED = 500;

	private final MonotonicClock clock;

	private final Metrics metrics;

	// Versions of another start of the keeper mean nothing to this one.
	private final long startId = newStartId();

	private final Map<String, EntryState> entries = new TreeMap<>();

	// The entries that left, with the version by which they did, oldest first.
	private final Map<String, Long> removed = new LinkedHashMap<>();

	private final UpstreamPaces paces;

	private long version = 1;

	// All entries that left after this version are remembered.
	private long removalsCompleteSince = this.version;

	LiveEntries(MonotonicClock clock, Metrics metrics) {
		this.clock = clock;
		this.metrics = metrics;
		this.paces = new UpstreamPaces(clock);
	}

	private static long newStartId() {
		long id = 0;
		while (id == 0) {
			id = ThreadLocalRandom.current().nextLong();
		}
		return id;
	}

	long version() {
		return this.version;
	}

	/**
	 * Returns how many entries that left are remembered.
	 * @return the number, at most {@link #MAX_REMOVED}
	 */
	int removedCount() {
		return this.removed.size();
	}

	void recordHeartbeat(Beat beat) {
		EntryState before = this.entries.get(beat.getInstance());
		Entry entry = Entry.newBuilder()
			.setInstance(beat.getInstance())
			.setCallerAddress(beat.getCallerAddress())
			.setZone(beat.getZone())
			.build();
		boolean listed = beat.getAccepting();
		boolean wasListed = (before != null) && before.listed();
		long changedAt = (before != null) ? before.changedAt() : 0;
		if (listed && (!wasListed || !before.entry().equals(entry))) {
			changedAt = ++this.version;
			this.removed.remove(beat.getInstance());
		}
		else if (wasListed && !listed) {
			recordRemoval(beat.getInstance(), ++this.version);
		}
		beat.getLoadList().forEach(this.paces::add);
		long now = this.clock.nanoTime();
		this.entries.put(beat.getInstance(), new EntryState(entry, listed, changedAt, now, beat.getLoadList(),
				now - TimeUnit.MILLISECONDS.toNanos(beat.getContactAgeMs())));
	}

	/**
	 * Leaves out entries that fell silent.
	 */
	void expire() {
		long now = this.clock.nanoTime();
		Predicate<EntryState> silent = (e) -> now - e.lastHeartbeatAt() > HEARTBEAT_TIMEOUT.toNanos();
		List<EntryState> expired = this.entries.values().stream().filter(silent.and(EntryState::listed)).toList();
		if (!expired.isEmpty()) {
			this.version++;
			expired.forEach((e) -> recordRemoval(e.entry().getInstance(), this.version));
		}
		this.entries.values().removeIf(silent);
	}

	private void recordRemoval(String instance, long at) {
		this.removed.remove(instance);
		this.removed.put(instance, at);
		if (this.removed.size() > MAX_REMOVED) {
			Map.Entry<String, Long> oldest = this.removed.entrySet().iterator().next();
			this.removalsCompleteSince = oldest.getValue();
			this.removed.remove(oldest.getKey());
		}
	}

	/**
	 * Adds to a pulse what changed in the list since the version that a beat names, or
	 * the whole list if that version is not one of this start or is too old.
	 * @param beat the beat
	 * @param pulse the pulse that answers it
	 */
	void addChanges(Beat beat, Pulse.Builder pulse) {
		long knownVersion = beat.getEntries();
		boolean known = (beat.getEntriesStart() == this.startId) && (knownVersion >= this.removalsCompleteSince)
				&& (knownVersion <= this.version);
		long since = known ? knownVersion : 0;
		pulse.setEntriesStart(this.startId).setEntries(this.version).setEntriesSince(since);
		if (since == this.version) {
			return;
		}
		this.entries.values()
			.stream()
			.filter((e) -> e.listed() && (e.changedAt() > since))
			.forEach((e) -> pulse.addEntry(e.entry()));
		if (known) {
			this.removed.forEach((instance, at) -> {
				if (at > since) {
					pulse.addEntryGone(instance);
				}
			});
		}
		String kind = known ? "changes" : "whole";
		this.metrics.count("mangorack.keeper.entry.lists", 1, "kind", kind);
		this.metrics.count("mangorack.keeper.entry.lists.entries", pulse.getEntryCount() + pulse.getEntryGoneCount(),
				"kind", kind);
	}

	/**
	 * Returns how long ago the platform last answered any of the entries.
	 * @return the shortest time; a day when there are none
	 */
	Duration sinceContact() {
		long now = this.clock.nanoTime();
		return this.entries.values()
			.stream()
			.map((e) -> Duration.ofNanos(now - e.contactAt()))
			.min(Comparator.naturalOrder())
			.orElse(Duration.ofDays(1));
	}

	int count() {
		return this.entries.size();
	}

	List<Entry> entries() {
		return this.entries.values().stream().filter(EntryState::listed).map(EntryState::entry).toList();
	}

	/**
	 * Returns the calls under way at upstreams, and the paces of their answers.
	 * @param except the entry whose calls are left out; its answers count
	 * @return the sums by upstream
	 */
	List<Load> loadExcluding(String except) {
		Map<String, Integer> sums = new HashMap<>();
		this.entries.forEach((instance, known) -> {
			if (!instance.equals(except)) {
				known.load().forEach((l) -> sums.merge(l.getUpstream(), l.getCalls(), Integer::sum));
			}
		});
		Map<String, Double> known = this.paces.all();
		known.keySet().forEach((upstream) -> sums.putIfAbsent(upstream, 0));
		List<Load> load = new ArrayList<>();
		sums.forEach((upstream,
				calls) -> load.add(Load.newBuilder()
					.setUpstream(upstream)
					.setCalls(calls)
					.setPace(known.getOrDefault(upstream, 0.0))
					.build()));
		return load;
	}

	/**
	 * An entry and when it was heard.
	 *
	 * @param entry the entry
	 * @param listed whether callers may be sent to it; the calls of one that stops count
	 * as well
	 * @param changedAt the version by which it was listed or changed last; 0 if it never
	 * was listed
	 * @param lastHeartbeatAt when its last beat came, on the monotonic clock
	 * @param load its calls under way
	 * @param contactAt when the platform last answered it, on the monotonic clock
	 */
	private record EntryState(Entry entry, boolean listed, long changedAt, long lastHeartbeatAt, List<Load> load,
			long contactAt) {
	}

}
