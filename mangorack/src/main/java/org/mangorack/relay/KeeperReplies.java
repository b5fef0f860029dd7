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
 * Holds the last heartbeat reply of each keeper and chooses the keepers that are asked
 * for lists. Not thread-safe: confined to the traffic event loop.
 */
final class KeeperReplies {

	/**
	 * The age above which a reply no longer counts as current: three times the maximum
	 * heartbeat interval.
	 */
	static final Duration MAX_REPLY_AGE = Duration.ofMillis(1200);

	/**
	 * The time without a platform response after which the lists of a keeper may be
	 * outdated. In normal operation its configuration watch receives responses more
	 * often.
	 */
	static final Duration MAX_CONTACT_AGE = Duration.ofMillis(2500);

	/**
	 * The age above which lists are no longer passed on to callers: this entry alone may
	 * be partitioned from the keepers, and callers should use another entry. After all
	 * keepers were killed, the restarted ones send lists again within this time.
	 */
	static final Duration MAX_LIST_AGE = Duration.ofMillis(2000);

	/**
	 * Lists received within this time of each other are treated as replies to the same
	 * heartbeat.
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

	// ---- Heartbeats

	/**
	 * Chooses the keepers that are asked for lists with the next heartbeat: the nearest
	 * one with platform contact, and one of all connected keepers in rotation, so that
	 * another keeper supplies what one of them lacks.
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
	 * Returns the last known state of a keeper.
	 * @param disk the disk of the keeper
	 * @return its state, or {@code null} before the first reply
	 */
	KeeperState known(String disk) {
		return this.states.get(disk);
	}

	/**
	 * Applies a heartbeat reply of a keeper.
	 * @param disk the disk of the keeper
	 * @param pulse its reply
	 */
	void update(String disk, Pulse pulse) {
		KeeperState previous = this.states.get(disk);
		long now = this.clock.nanoTime();
		long listReceivedAt = (previous != null) ? previous.listReceivedAt() : (now - MAX_LIST_AGE.toNanos());
		long departures = (previous != null) ? previous.departuresVersion() : 0;
		EntryList entries = (previous != null) ? previous.entries() : EntryList.NONE;
		List<Load> load = (previous != null) ? previous.load() : List.of();
		if (pulse.getWithLists()) {
			entries = entries.apply(pulse);
			departures = pulse.getDepartures();
			// If the changes do not apply to the known list, the list is not confirmed.
			if (entries.matches(pulse)) {
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
	 * Returns the load from other entries, from the newest lists only, as load changes
	 * within a fraction of a second.
	 * @return calls in flight by upstream, once for each keeper that reported them
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
	 * Returns the entries that any keeper reported recently, or the last known ones while
	 * no keeper responds.
	 * @return their addresses for callers
	 */
	List<String> addresses() {
		refreshAddresses();
		return this.lastAddresses;
	}

	/**
	 * Returns the entries that any keeper reported recently.
	 * @return their names
	 */
	Set<String> instances() {
		Set<String> instances = new HashSet<>();
		recentLists().forEach((p) -> p.entries().entries().values().forEach((e) -> instances.add(e.getInstance())));
		return instances;
	}

	/**
	 * Returns how many entries there are.
	 * @return the number of addresses last known; 0 before the first list
	 */
	int entryCount() {
		return this.lastAddresses.size();
	}

	/**
	 * Returns whether the addresses may be passed on.
	 * @return {@code true} if a keeper sent lists within {@link #MAX_LIST_AGE}
	 */
	boolean hasCurrentList() {
		long now = this.clock.nanoTime();
		return this.states.values().stream().anyMatch((p) -> now - p.listReceivedAt() < MAX_LIST_AGE.toNanos());
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
	 * Returns whether any keeper replied recently.
	 * @return {@code true} if a keeper replies to heartbeats
	 */
	boolean hasRecentReply() {
		return recentReplies().findAny().isPresent();
	}

	/**
	 * Returns whether any keeper with platform contact replied recently.
	 * @return {@code true} if the data that keepers pass on is up to date
	 */
	boolean hasPlatformContact() {
		return recentReplies().anyMatch((p) -> p.contactAge().compareTo(MAX_CONTACT_AGE) < 0);
	}

	private Stream<KeeperState> recentReplies() {
		long now = this.clock.nanoTime();
		return this.states.values().stream().filter((p) -> now - p.receivedAt() < MAX_REPLY_AGE.toNanos());
	}

	private List<KeeperState> recentLists() {
		long now = this.clock.nanoTime();
		return this.states.values().stream().filter((p) -> now - p.listReceivedAt() < MAX_REPLY_AGE.toNanos()).toList();
	}

	/**
	 * The last known state of a keeper.
	 *
	 * @param receivedAt when its last reply was received, on the monotonic clock
	 * @param listReceivedAt when it last sent lists, on the monotonic clock
	 * @param departuresVersion the version of its list of departures
	 * @param entries its list of entries
	 * @param load calls in flight at upstreams
	 * @param keeperTimeMillis the time on the keeper's own clock, in milliseconds
	 * @param contactAge the time since the platform last responded to it
	 */
	record KeeperState(long receivedAt, long listReceivedAt, long departuresVersion, EntryList entries, List<Load> load,
			long keeperTimeMillis, Duration contactAge) {
	}

}
