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
 * Tracks the entries that send heartbeats, with their load. The list of entries is
 * versioned; the reply to a heartbeat ({@link Pulse}) contains the changes since the
 * version that the sender has. Not thread-safe.
 */
final class LiveEntries {

	/**
	 * An entry is removed if it sends no heartbeat for this long, which is two and a half
	 * times the longest heartbeat interval.
	 */
	static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(1000);

	/**
	 * The maximum number of removed entries that are remembered. A sender whose version
	 * is older than the remembered removals gets the full list.
	 */
	static final int MAX_REMOVALS = 500;

	private final MonotonicClock clock;

	private final Metrics metrics;

	// Identifies this keeper incarnation, within which versions are comparable.
	private final long incarnation = newIncarnation();

	private final Map<String, EntryState> entries = new TreeMap<>();

	// The removed entries and the versions in which they were removed, oldest first.
	private final Map<String, Long> removed = new LinkedHashMap<>();

	private final UpstreamLatencies upstreamLatencies;

	private long version = 1;

	// All removals after this version are remembered.
	private long removalsCompleteSince = this.version;

	LiveEntries(MonotonicClock clock, Metrics metrics) {
		this.clock = clock;
		this.metrics = metrics;
		this.upstreamLatencies = new UpstreamLatencies(clock);
	}

	private static long newIncarnation() {
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
	 * Returns how many removed entries are remembered.
	 * @return the number, at most {@link #MAX_REMOVALS}
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
		beat.getLoadList().forEach(this.upstreamLatencies::add);
		long now = this.clock.nanoTime();
		this.entries.put(beat.getInstance(), new EntryState(entry, listed, changedAt, now, beat.getLoadList(),
				now - TimeUnit.MILLISECONDS.toNanos(beat.getContactAgeMs())));
	}

	/**
	 * Removes the entries whose heartbeats have stopped.
	 */
	void expire() {
		long now = this.clock.nanoTime();
		Predicate<EntryState> timedOut = (e) -> now - e.lastHeartbeatAt() > HEARTBEAT_TIMEOUT.toNanos();
		List<EntryState> expired = this.entries.values().stream().filter(timedOut.and(EntryState::listed)).toList();
		if (!expired.isEmpty()) {
			this.version++;
			expired.forEach((e) -> recordRemoval(e.entry().getInstance(), this.version));
		}
		this.entries.values().removeIf(timedOut);
	}

	private void recordRemoval(String instance, long at) {
		this.removed.remove(instance);
		this.removed.put(instance, at);
		if (this.removed.size() > MAX_REMOVALS) {
			Map.Entry<String, Long> oldest = this.removed.entrySet().iterator().next();
			this.removalsCompleteSince = oldest.getValue();
			this.removed.remove(oldest.getKey());
		}
	}

	/**
	 * Adds the changes of the list since the version that a heartbeat reports to its
	 * reply, or the full list if that version belongs to another keeper incarnation or is
	 * too old.
	 * @param beat the heartbeat
	 * @param pulse the reply to the heartbeat
	 */
	void addChanges(Beat beat, Pulse.Builder pulse) {
		long knownVersion = beat.getEntries();
		boolean known = (beat.getEntriesStart() == this.incarnation) && (knownVersion >= this.removalsCompleteSince)
				&& (knownVersion <= this.version);
		long since = known ? knownVersion : 0;
		pulse.setEntriesStart(this.incarnation).setEntries(this.version).setEntriesSince(since);
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
	 * Returns the time since the platform last responded to any of the entries.
	 * @return the shortest time of all entries, or one day if there are none
	 */
	Duration timeSinceContact() {
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
	 * Returns the calls in flight at each upstream, summed over the entries, and the
	 * latency ratios of the responses.
	 * @param except the entry whose calls are excluded; its responses do count towards
	 * the latency ratios
	 * @return the load of each upstream
	 */
	List<Load> loadOfOtherEntries(String except) {
		Map<String, Integer> sums = new HashMap<>();
		Map<String, Long> good = new HashMap<>();
		Map<String, Long> bad = new HashMap<>();
		this.entries.forEach((instance, known) -> {
			if (!instance.equals(except)) {
				known.load().forEach((l) -> {
					sums.merge(l.getUpstream(), l.getCalls(), Integer::sum);
					good.merge(l.getUpstream(), l.getGood(), Long::sum);
					bad.merge(l.getUpstream(), l.getBad(), Long::sum);
				});
			}
		});
		Map<String, Double> known = this.upstreamLatencies.all();
		known.keySet().forEach((upstream) -> sums.putIfAbsent(upstream, 0));
		List<Load> load = new ArrayList<>();
		sums.forEach((upstream,
				calls) -> load.add(Load.newBuilder()
					.setUpstream(upstream)
					.setCalls(calls)
					.setPace(known.getOrDefault(upstream, 0.0))
					.setGood(good.getOrDefault(upstream, 0L))
					.setBad(bad.getOrDefault(upstream, 0L))
					.build()));
		return load;
	}

	/**
	 * The last known state of an entry.
	 *
	 * @param entry the entry
	 * @param listed whether it accepts callers; the calls in flight at an entry that is
	 * stopping still count towards the load
	 * @param changedAt the version in which it was last listed or changed; 0 if it was
	 * never listed
	 * @param lastHeartbeatAt when its last heartbeat arrived, on the monotonic clock
	 * @param load its calls in flight
	 * @param contactAt when the platform last responded to it, on the monotonic clock
	 */
	private record EntryState(Entry entry, boolean listed, long changedAt, long lastHeartbeatAt, List<Load> load,
			long contactAt) {
	}

}
