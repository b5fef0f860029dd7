package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.mangorack.keeper.EntryList;
import org.mangorack.keeper.proto.Load;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.observe.MonotonicClock;

/**
 * What the keepers said last, and which of them are asked for lists. Used by the thread
 * for traffic only.
 */
final class KeeperPulses {

	/**
	 * A pulse that is older says nothing about the present: three of the longest
	 * intervals of beats.
	 */
	static final Duration PULSE_LIFE = Duration.ofMillis(1200);

	/**
	 * A keeper that the platform has not answered for this long may have old lists. Its
	 * watch of the configuration is answered more often than that.
	 */
	static final Duration CONTACT_LIMIT = Duration.ofMillis(2500);

	/**
	 * Lists that are older are no longer passed on to callers: this entry may be cut off
	 * alone, and callers do better to ask another one. Keepers that were all killed send
	 * lists again within this time.
	 */
	static final Duration LIST_LIFE = Duration.ofMillis(2000);

	/**
	 * Lists that came within this time answer the same beat.
	 */
	static final Duration SAME_BEAT = Duration.ofMillis(100);

	private final MonotonicClock clock;

	private final String dataCentre;

	private final Map<String, Known> pulses = new HashMap<>();

	private List<String> lastAddresses = List.of();

	private int turn;

	KeeperPulses(MonotonicClock clock, String dataCentre) {
		this.clock = clock;
		this.dataCentre = dataCentre;
	}

	// ---- Beats

	/**
	 * Chooses the keepers that are asked for lists with the next beat: the nearest one
	 * that the platform answers, and one of the others in turn, so that what one keeper
	 * misses is heard from the next.
	 * @param connected the keepers that are connected
	 * @return their disks
	 */
	Set<String> listSources(List<Member> connected) {
		Set<String> sources = new HashSet<>();
		connected.stream()
			.min(Comparator.comparing((Member m) -> !isInContact(m))
				.thenComparing((m) -> !m.getZone().equals(this.dataCentre))
				.thenComparing(Member::getDisk))
			.ifPresent((nearest) -> sources.add(nearest.getDisk()));
		if (!connected.isEmpty()) {
			List<Member> ordered = connected.stream().sorted(Comparator.comparing(Member::getDisk)).toList();
			this.turn = (this.turn + 1) % ordered.size();
			sources.add(ordered.get(this.turn).getDisk());
		}
		return sources;
	}

	private boolean isInContact(Member member) {
		Known known = this.pulses.get(member.getDisk());
		return (known == null) || (known.contactAge().compareTo(CONTACT_LIMIT) < 0);
	}

	/**
	 * Returns what a keeper said last.
	 * @param disk the keeper
	 * @return its last pulse, or {@code null} before the first
	 */
	Known known(String disk) {
		return this.pulses.get(disk);
	}

	/**
	 * Takes over what a keeper says.
	 * @param disk the keeper
	 * @param pulse its pulse
	 */
	void heard(String disk, Pulse pulse) {
		Known before = this.pulses.get(disk);
		long now = this.clock.nanoTime();
		long listedAt = (before != null) ? before.listedAt() : (now - LIST_LIFE.toNanos());
		long departures = (before != null) ? before.departuresVersion() : 0;
		EntryList entries = (before != null) ? before.entries() : EntryList.NONE;
		List<Load> load = (before != null) ? before.load() : List.of();
		if (pulse.getWithLists()) {
			entries = entries.after(pulse);
			departures = pulse.getDepartures();
			// A pulse that does not lead to its list confirms none.
			if (entries.isAsOf(pulse)) {
				load = pulse.getLoadList();
				listedAt = now;
			}
		}
		this.pulses.put(disk, new Known(now, listedAt, departures, entries, load, pulse.getTimeMs(),
				Duration.ofMillis(pulse.getContactAgeMs())));
		if (pulse.getWithLists()) {
			refreshAddresses();
		}
	}

	// ---- Accessors

	/**
	 * Returns the calls of other entries, by the newest lists only: load changes within a
	 * fraction of a second.
	 * @return calls under way by upstream, once for each keeper that listed them
	 */
	List<Load> loadElsewhere() {
		long newest = this.pulses.values().stream().mapToLong(Known::listedAt).max().orElse(0);
		List<Load> load = new ArrayList<>();
		this.pulses.values()
			.stream()
			.filter((p) -> newest - p.listedAt() < SAME_BEAT.toNanos())
			.forEach((p) -> load.addAll(p.load()));
		return load;
	}

	/**
	 * Returns the entries that any keeper heard lately, or the last known ones while no
	 * keeper answers.
	 * @return their addresses for callers
	 */
	List<String> addresses() {
		refreshAddresses();
		return this.lastAddresses;
	}

	/**
	 * Returns how many entries there are.
	 * @return the length of the newest list; 0 before any
	 */
	int entryCount() {
		return this.lastAddresses.size();
	}

	/**
	 * Tells whether the addresses may be passed on.
	 * @return {@code true} if some keeper sent lists lately
	 */
	boolean isListed() {
		long now = this.clock.nanoTime();
		return this.pulses.values().stream().anyMatch((p) -> now - p.listedAt() < LIST_LIFE.toNanos());
	}

	private void refreshAddresses() {
		Map<String, String> live = new TreeMap<>();
		listedLately().forEach(
				(p) -> p.entries().entries().values().forEach((e) -> live.put(e.getInstance(), e.getCallerAddress())));
		if (!live.isEmpty()) {
			this.lastAddresses = List.copyOf(live.values());
		}
	}

	/**
	 * Tells whether some keeper was heard lately.
	 * @return {@code true} if some keeper answers beats
	 */
	boolean isHeard() {
		return heardLately().findAny().isPresent();
	}

	/**
	 * Tells whether some keeper that the platform answers was heard lately.
	 * @return {@code true} if what keepers pass on is up to date
	 */
	boolean isInContact() {
		return heardLately().anyMatch((p) -> p.contactAge().compareTo(CONTACT_LIMIT) < 0);
	}

	private Stream<Known> heardLately() {
		long now = this.clock.nanoTime();
		return this.pulses.values().stream().filter((p) -> now - p.heardAt() < PULSE_LIFE.toNanos());
	}

	private List<Known> listedLately() {
		long now = this.clock.nanoTime();
		return this.pulses.values().stream().filter((p) -> now - p.listedAt() < PULSE_LIFE.toNanos()).toList();
	}

	/**
	 * What a keeper said last.
	 *
	 * @param heardAt when, on the monotonic clock
	 * @param listedAt when it last sent lists, on the monotonic clock
	 * @param departuresVersion the version of its list of departures
	 * @param entries its list of entries
	 * @param load calls under way at upstreams
	 * @param time the time on the keeper's own clock, in milliseconds
	 * @param contactAge how long ago the platform last answered it
	 */
	record Known(long heardAt, long listedAt, long departuresVersion, EntryList entries, List<Load> load, long time,
			Duration contactAge) {
	}

}
