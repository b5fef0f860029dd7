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
final class KeeperReplies {

	/**
	 * A pulse that is older says nothing about the present: three of the longest
	 * intervals of beats.
	 */
	static final Duration REPLY_MAX_AGE = Duration.ofMillis(1200);

	/**
	 * A keeper that the platform has not answered for this long may have old lists. Its
	 * watch of the configuration is answered more often than that.
	 */
	static final Duration MAX_CONTACT_AGE = Duration.ofMillis(2500);

	/**
	 * Lists that are older are no longer passed on to callers: this entry may be cut off
	 * alone, and callers do better to ask another one. Keepers that were all killed send
	 * lists again within this time.
	 */
	static final Duration LIST_MAX_AGE = Duration.ofMillis(2000);

	/**
	 * Lists that came within this time answer the same beat.
	 */
	static final Duration SAME_HEARTBEAT_WINDOW = Duration.ofMillis(100);

	private final MonotonicClock clock;

	private final String dataCentre;

	private final Map<String, KeeperState> states = new HashMap<>();

	private List<String> lastAddresses = List.of();

	private int rotation;

	KeeperReplies(MonotonicClock clock, String dataCentre) {
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
			.min(Comparator.comparing((Member m) -> !isInPlatformContact(m))
				.thenComparing((m) -> !m.getZone().equals(this.dataCentre))
				.thenComparing(Member::getDisk))
			.ifPresent((nearest) -> sources.add(nearest.getDisk()));
		if (!connected.isEmpty()) {
			List<Member> ordered = connected.stream().sorted(Comparator.comparing(Member::getDisk)).toList();
			this.rotation = (this.rotation + 1) % ordered.size();
			sources.add(ordered.get(this.rotation).getDisk());
		}
		return sources;
	}

	private boolean isInPlatformContact(Member member) {
		KeeperState known = this.states.get(member.getDisk());
		return (known == null) || (known.contactAge().compareTo(MAX_CONTACT_AGE) < 0);
	}

	/**
	 * Returns what a keeper said last.
	 * @param disk the keeper
	 * @return its last pulse, or {@code null} before the first
	 */
	KeeperState known(String disk) {
		return this.states.get(disk);
	}

	/**
	 * Takes over what a keeper says.
	 * @param disk the keeper
	 * @param pulse its pulse
	 */
	void update(String disk, Pulse pulse) {
		KeeperState previous = this.states.get(disk);
		long now = this.clock.nanoTime();
		long listReceivedAt = (previous != null) ? previous.listReceivedAt() : (now - LIST_MAX_AGE.toNanos());
		long departures = (previous != null) ? previous.departuresVersion() : 0;
		EntryList entries = (previous != null) ? previous.entries() : EntryList.NONE;
		List<Load> load = (previous != null) ? previous.load() : List.of();
		if (pulse.getWithLists()) {
			entries = entries.after(pulse);
			departures = pulse.getDepartures();
			// A pulse that does not lead to its list confirms none.
			if (entries.isAsOf(pulse)) {
				load = pulse.getLoadList();
				listReceivedAt = now;
			}
		}
		this.states.put(disk, new KeeperState(now, listReceivedAt, departures, entries, load, pulse.getTimeMs(),
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
	List<Load> loadOfOtherEntries() {
		long newest = this.states.values().stream().mapToLong(KeeperState::listReceivedAt).max().orElse(0);
		List<Load> load = new ArrayList<>();
		this.states.values()
			.stream()
			.filter((p) -> newest - p.listReceivedAt() < SAME_HEARTBEAT_WINDOW.toNanos())
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
	boolean hasCurrentList() {
		long now = this.clock.nanoTime();
		return this.states.values().stream().anyMatch((p) -> now - p.listReceivedAt() < LIST_MAX_AGE.toNanos());
	}

	private void refreshAddresses() {
		Map<String, String> live = new TreeMap<>();
		recentLists().forEach(
				(p) -> p.entries().entries().values().forEach((e) -> live.put(e.getInstance(), e.getCallerAddress())));
		if (!live.isEmpty()) {
			this.lastAddresses = List.copyOf(live.values());
		}
	}

	/**
	 * Tells whether some keeper was heard lately.
	 * @return {@code true} if some keeper answers beats
	 */
	boolean hasRecentReply() {
		return recentReplies().findAny().isPresent();
	}

	/**
	 * Tells whether some keeper that the platform answers was heard lately.
	 * @return {@code true} if what keepers pass on is up to date
	 */
	boolean hasPlatformContact() {
		return recentReplies().anyMatch((p) -> p.contactAge().compareTo(MAX_CONTACT_AGE) < 0);
	}

	private Stream<KeeperState> recentReplies() {
		long now = this.clock.nanoTime();
		return this.states.values().stream().filter((p) -> now - p.receivedAt() < REPLY_MAX_AGE.toNanos());
	}

	private List<KeeperState> recentLists() {
		long now = this.clock.nanoTime();
		return this.states.values().stream().filter((p) -> now - p.listReceivedAt() < REPLY_MAX_AGE.toNanos()).toList();
	}

	/**
	 * What a keeper said last.
	 *
	 * @param receivedAt when, on the monotonic clock
	 * @param listReceivedAt when it last sent lists, on the monotonic clock
	 * @param departuresVersion the version of its list of departures
	 * @param entries its list of entries
	 * @param load calls under way at upstreams
	 * @param keeperTimeMillis the time on the keeper's own clock, in milliseconds
	 * @param contactAge how long ago the platform last answered it
	 */
	record KeeperState(long receivedAt, long listReceivedAt, long departuresVersion, EntryList entries, List<Load> load,
			long keeperTimeMillis, Duration contactAge) {
	}

}
