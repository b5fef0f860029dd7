package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.mangorack.keeper.proto.Beat;
import org.mangorack.keeper.proto.Entry;
import org.mangorack.keeper.proto.Load;
import org.mangorack.observe.MonotonicClock;

/**
 * The entries whose beats arrive, with their load. Used by one thread.
 */
final class LiveEntries {

	/**
	 * An entry without a beat for this long is left out: two and a half of the longest
	 * intervals of beats.
	 */
	static final Duration SILENCE_LIMIT = Duration.ofMillis(1000);

	private final MonotonicClock clock;

	private final Map<String, Known> entries = new TreeMap<>();

	private final UpstreamPaces paces;

	// Starts at a time, so that a keeper's list after a restart differs from before.
	private long version = System.currentTimeMillis();

	LiveEntries(MonotonicClock clock) {
		this.clock = clock;
		this.paces = new UpstreamPaces(clock);
	}

	long version() {
		return this.version;
	}

	void heard(Beat beat) {
		Known before = this.entries.get(beat.getInstance());
		Entry entry = Entry.newBuilder()
			.setInstance(beat.getInstance())
			.setCallerAddress(beat.getCallerAddress())
			.setZone(beat.getZone())
			.build();
		boolean listed = beat.getAccepting();
		boolean wasListed = (before != null) && before.listed();
		if ((listed != wasListed) || (listed && !before.entry().equals(entry))) {
			this.version++;
		}
		beat.getLoadList().forEach(this.paces::add);
		long now = this.clock.nanoTime();
		this.entries.put(beat.getInstance(), new Known(entry, listed, now, beat.getLoadList(),
				now - TimeUnit.MILLISECONDS.toNanos(beat.getContactAgeMs())));
	}

	/**
	 * Leaves out entries that fell silent.
	 */
	void expire() {
		long now = this.clock.nanoTime();
		Predicate<Known> silent = (e) -> now - e.heardAt() > SILENCE_LIMIT.toNanos();
		if (this.entries.values().stream().anyMatch(silent.and(Known::listed))) {
			this.version++;
		}
		this.entries.values().removeIf(silent);
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
		return this.entries.values().stream().filter(Known::listed).map(Known::entry).toList();
	}

	/**
	 * Returns the calls under way at upstreams, and the paces of their answers.
	 * @param except the entry whose calls are left out; its answers count
	 * @return the sums by upstream
	 */
	List<Load> loadBeside(String except) {
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
	 * @param heardAt when its last beat came, on the monotonic clock
	 * @param load its calls under way
	 * @param contactAt when the platform last answered it, on the monotonic clock
	 */
	private record Known(Entry entry, boolean listed, long heardAt, List<Load> load, long contactAt) {
	}

}
