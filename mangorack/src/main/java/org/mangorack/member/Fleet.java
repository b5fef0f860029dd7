package org.mangorack.member;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.mangorack.http.HttpAddress;
import org.mangorack.journal.JournalId;
import org.mangorack.member.LeaseRecord.Phase;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.StoredObject;

/**
 * The instances as seen by this one: the leases of the platform, the platform's own list,
 * and direct contact. The time of a lease counts from when this instance saw it change.
 */
public final class Fleet {

	private static final Duration LEASE_MARGIN = Duration.ofMillis(300);

	private final String self;

	private final KindCache leases;

	private final KindCache instances;

	private final PeerLinks links;

	private final MonotonicClock clock;

	private final Duration leaseDuration;

	private final Duration platformContactLimit;

	private final Map<String, Seen> seen = new HashMap<>();

	private boolean wasReachable;

	private volatile Snapshot snapshot = new Snapshot(Map.of(), Map.of());

	/**
	 * Creates a view without instances.
	 * @param self the name of this instance
	 * @param leases the copy of all leases
	 * @param instances the copy of the platform's list
	 * @param links the links to other instances
	 * @param clock the time source
	 * @param leaseDuration the duration of a lease
	 */
	public Fleet(String self, KindCache leases, KindCache instances, PeerLinks links, MonotonicClock clock,
			Duration leaseDuration) {
		this.self = self;
		this.leases = leases;
		this.instances = instances;
		this.links = links;
		this.clock = clock;
		this.leaseDuration = leaseDuration;
		this.platformContactLimit = leaseDuration.multipliedBy(2).dividedBy(5);
	}

	// ---- Public API

	/**
	 * Evaluates the leases. Called by the control thread at short intervals. After an
	 * outage of the platform, live runs get the time of a whole lease to renew theirs;
	 * runs that were dead before stay dead.
	 */
	public synchronized void refresh() {
		boolean reachable = isPlatformReachable();
		if (!reachable) {
			this.wasReachable = false;
			return;
		}
		boolean restart = !this.wasReachable;
		this.wasReachable = true;
		Map<JournalId, LeaseRecord> all = new HashMap<>();
		long now = this.clock.nanoTime();
		for (StoredObject object : this.leases.objects().values()) {
			Seen last = this.seen.get(object.name());
			boolean wasLive = (last != null) && last.record().map(this::isLive).orElse(false);
			boolean changed = (last == null) || !last.version().equals(object.version());
			if (changed || (restart && wasLive)) {
				last = new Seen(object.version(), now, LeaseRecord.read(object));
				this.seen.put(object.name(), last);
			}
			last.record().ifPresent((record) -> all.put(record.journal(), record));
		}
		this.seen.keySet().retainAll(this.leases.objects().keySet());
		this.snapshot = new Snapshot(all, newestLive(all, now));
		this.links.maintain(peerAddresses());
	}

	/**
	 * Tells whether the platform answers this instance. Renewals of leases, this
	 * instance's own among them, are seen at intervals well below the limit, which is two
	 * fifths of the duration of a lease: every instance notices an outage before the
	 * first lease expires.
	 * @return {@code true} if the copies are complete and recent
	 */
	public boolean isPlatformReachable() {
		return this.leases.age().compareTo(this.platformContactLimit) <= 0;
	}

	/**
	 * Returns the live instances.
	 * @return the newest run of each instance whose lease has not expired
	 */
	public Collection<LeaseRecord> live() {
		return this.snapshot.live().values();
	}

	/**
	 * Returns the live instances that may get shards and callers.
	 * @return the live instances that are not leaving
	 */
	public List<LeaseRecord> staying() {
		return live().stream().filter((record) -> !isLeaving(record)).toList();
	}

	/**
	 * Finds a live instance.
	 * @param name the name of the instance
	 * @return its lease, or empty when it is not live
	 */
	public Optional<LeaseRecord> live(String name) {
		return Optional.ofNullable(this.snapshot.live().get(name));
	}

	/**
	 * Finds the lease of a run, live or not.
	 * @param journal the run of an instance
	 * @return the lease, or empty when the platform has none
	 */
	public Optional<LeaseRecord> lease(JournalId journal) {
		return Optional.ofNullable(this.snapshot.all().get(journal));
	}

	/**
	 * Returns all leases, live or not.
	 * @return the leases
	 */
	public Collection<LeaseRecord> leases() {
		return this.snapshot.all().values();
	}

	/**
	 * Tells whether a run of an instance is over.
	 * @param journal the run of an instance
	 * @return {@code true} if its lease expired, ended or is gone, or a newer run exists
	 */
	public boolean isDead(JournalId journal) {
		LeaseRecord record = this.snapshot.live().get(journal.instance());
		return (record == null) || !record.journal().equals(journal);
	}

	/**
	 * Tells whether more than half of the instances last listed are in touch, this one
	 * included.
	 * @return {@code true} if a majority is in touch
	 */
	public boolean isMajorityReachable() {
		Collection<LeaseRecord> listed = live();
		long count = listed.stream().filter((r) -> isSelf(r) || this.links.inTouch(r.instance())).count();
		return (count * 2) > listed.size();
	}

	/**
	 * Tells whether another instance in touch reaches the platform.
	 * @return {@code true} if a heartbeat says so
	 */
	public boolean doesAnyPeerReachPlatform() {
		return live().stream()
			.anyMatch((r) -> !isSelf(r) && this.links.lastHeartbeat(r.instance()).getPlatformReachable());
	}

	/**
	 * Tells whether another instance in touch has a newer configuration or saw a later
	 * change of keys.
	 * @param configuration the revision in force here
	 * @param keys the version of the last change of a key seen here
	 * @return {@code true} if this instance is behind
	 */
	public boolean isAnyPeerAhead(long configuration, long keys) {
		return live().stream()
			.filter((r) -> !isSelf(r))
			.map((r) -> this.links.lastHeartbeat(r.instance()))
			.anyMatch((h) -> (h.getConfiguration() > configuration) || (h.getKeys() > keys));
	}

	/**
	 * Returns the configuration revision that another instance last reported.
	 * @param name the name of the instance
	 * @return the revision, or -1 when the instance is not in touch
	 */
	public long reportedConfiguration(String name) {
		return this.links.inTouch(name) ? this.links.lastHeartbeat(name).getConfiguration() : -1;
	}

	/**
	 * Returns the instances that a caller should use.
	 * @param dataCentre the data centre of the caller's preference
	 * @return the staying instances that are in touch, nearest first
	 */
	public List<LeaseRecord> forCallers(String dataCentre) {
		return staying().stream()
			.filter((r) -> isSelf(r) || this.links.inTouch(r.instance()))
			.sorted(Comparator.comparing((LeaseRecord r) -> !r.dataCentre().equals(dataCentre))
				.thenComparing(LeaseRecord::instance))
			.toList();
	}

	/**
	 * Tells whether a lease belongs to this instance.
	 * @param record the lease
	 * @return {@code true} if the names are equal
	 */
	public boolean isSelf(LeaseRecord record) {
		return record.instance().equals(this.self);
	}

	// ---- Helpers

	private boolean isLive(LeaseRecord record) {
		return !isDead(record.journal());
	}

	private boolean isLeaving(LeaseRecord record) {
		return (record.phase() != Phase.ACTIVE) || this.instances.object(record.instance())
			.map((o) -> o.spec().path("leaving").asBoolean())
			.orElse(false);
	}

	private Map<String, LeaseRecord> newestLive(Map<JournalId, LeaseRecord> all, long now) {
		Map<String, LeaseRecord> newest = new TreeMap<>();
		long limit = this.leaseDuration.plus(LEASE_MARGIN).toNanos();
		for (LeaseRecord record : all.values()) {
			Seen last = this.seen.get(record.journal().toString());
			if ((record.phase() != Phase.ENDED) && (now - last.at() <= limit)) {
				newest.merge(record.instance(), record,
						(a, b) -> (a.journal().run().compareTo(b.journal().run()) > 0) ? a : b);
			}
		}
		return newest;
	}

	private Map<String, HttpAddress> peerAddresses() {
		Map<String, HttpAddress> addresses = new HashMap<>();
		List<LeaseRecord> others = new ArrayList<>(live());
		others.removeIf(this::isSelf);
		others.forEach((r) -> addresses.put(r.instance(), r.peers()));
		return addresses;
	}

	/**
	 * When a version of a lease was first seen.
	 *
	 * @param version the version
	 * @param at the time, in nanoseconds
	 * @param record the content, or empty when it is no lease
	 */
	private record Seen(String version, long at, Optional<LeaseRecord> record) {
	}

	/**
	 * The result of one evaluation.
	 *
	 * @param all every lease by run
	 * @param live the newest live lease by name of the instance
	 */
	private record Snapshot(Map<JournalId, LeaseRecord> all, Map<String, LeaseRecord> live) {
	}

}
