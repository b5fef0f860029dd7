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
 * The view that this instance has of all instances, based on the leases in the object
 * store, the platform's own instance list, and direct heartbeats. The age of a lease is
 * measured from the time at which this instance observed its last change.
 */
public final class Fleet {

	private static final Duration EXPIRY_MARGIN = Duration.ofMillis(300);

	private final String self;

	private final KindCache leases;

	private final KindCache instances;

	private final PeerLinks links;

	private final MonotonicClock clock;

	private final Duration leaseDuration;

	private final Duration platformContactLimit;

	private final Map<String, ObservedLease> observedLeases = new HashMap<>();

	private boolean platformWasReachable;

	private volatile Snapshot snapshot = new Snapshot(Map.of(), Map.of());

	/**
	 * Creates an empty view.
	 * @param self the name of this instance
	 * @param leases the cache of all leases
	 * @param instances the cache of the platform's instance list
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
	 * Evaluates the leases. Called periodically by the control thread. After a platform
	 * outage, each live run gets a full lease duration to renew its lease; runs that were
	 * dead before the outage stay dead.
	 */
	public synchronized void refresh() {
		boolean reachable = isPlatformReachable();
		if (!reachable) {
			this.platformWasReachable = false;
			return;
		}
		boolean reconnected = !this.platformWasReachable;
		this.platformWasReachable = true;
		Map<JournalId, LeaseRecord> all = new HashMap<>();
		long now = this.clock.nanoTime();
		for (StoredObject object : this.leases.objects().values()) {
			ObservedLease last = this.observedLeases.get(object.name());
			boolean wasLive = (last != null) && last.record().map(this::isLive).orElse(false);
			boolean changed = (last == null) || !last.version().equals(object.version());
			if (changed || (reconnected && wasLive)) {
				last = new ObservedLease(object.version(), now, LeaseRecord.read(object));
				this.observedLeases.put(object.name(), last);
			}
			last.record().ifPresent((record) -> all.put(record.journal(), record));
		}
		this.observedLeases.keySet().retainAll(this.leases.objects().keySet());
		this.snapshot = new Snapshot(all, newestLiveLeases(all, now));
		this.links.maintain(peerAddresses());
	}

	/**
	 * Returns whether the platform is reachable from this instance. The limit for the age
	 * of the lease cache is two fifths of the lease duration. Lease renewals, including
	 * those of this instance, are observed at intervals well below that limit, and every
	 * instance detects an outage before the first lease expires.
	 * @return {@code true} if the cache of the leases is complete and recent
	 */
	public boolean isPlatformReachable() {
		return this.leases.age().compareTo(this.platformContactLimit) <= 0;
	}

	/**
	 * Returns the leases of the live instances.
	 * @return the newest run of each instance whose lease has not expired
	 */
	public Collection<LeaseRecord> live() {
		return this.snapshot.live().values();
	}

	/**
	 * Returns the live instances that may be assigned shards and callers.
	 * @return the live instances that are not leaving
	 */
	public List<LeaseRecord> assignable() {
		return live().stream().filter((record) -> !isLeaving(record)).toList();
	}

	/**
	 * Finds a live instance.
	 * @param name the name of the instance
	 * @return its lease, or empty if the instance is not live
	 */
	public Optional<LeaseRecord> live(String name) {
		return Optional.ofNullable(this.snapshot.live().get(name));
	}

	/**
	 * Finds the lease of a run, whether live or not.
	 * @param journal the run of an instance
	 * @return the lease, or empty if there is none
	 */
	public Optional<LeaseRecord> lease(JournalId journal) {
		return Optional.ofNullable(this.snapshot.all().get(journal));
	}

	/**
	 * Returns all leases, whether live or not.
	 * @return the leases
	 */
	public Collection<LeaseRecord> leases() {
		return this.snapshot.all().values();
	}

	/**
	 * Returns whether a run of an instance is dead.
	 * @param journal the run of an instance
	 * @return {@code true} if its lease has expired, ended or been deleted, or a newer
	 * run exists
	 */
	public boolean isDead(JournalId journal) {
		LeaseRecord record = this.snapshot.live().get(journal.instance());
		return (record == null) || !record.journal().equals(journal);
	}

	/**
	 * Returns whether this instance and the peers reachable from it form a majority of
	 * the instances that were live at the last evaluation.
	 * @return {@code true} if more than half of the instances are reachable
	 */
	public boolean isMajorityReachable() {
		Collection<LeaseRecord> listed = live();
		long count = listed.stream().filter((r) -> isSelf(r) || this.links.isReachable(r.instance())).count();
		return (count * 2) > listed.size();
	}

	/**
	 * Returns whether a reachable peer can reach the platform.
	 * @return {@code true} if the last heartbeat of a reachable peer reports so
	 */
	public boolean isPlatformReachableFromAnyPeer() {
		return live().stream()
			.anyMatch((r) -> !isSelf(r) && this.links.lastHeartbeat(r.instance()).getPlatformReachable());
	}

	/**
	 * Returns whether a reachable peer has a newer configuration or has observed a later
	 * key change.
	 * @param configuration the revision of the configuration active on this instance
	 * @param keys the version of the last key change observed by this instance
	 * @return {@code true} if this instance is behind a peer
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
	 * @return the revision, or -1 if the instance is not reachable
	 */
	public long reportedConfiguration(String name) {
		return this.links.isReachable(name) ? this.links.lastHeartbeat(name).getConfiguration() : -1;
	}

	/**
	 * Returns the instances that a caller should use.
	 * @param dataCentre the data centre preferred by the caller
	 * @return the reachable instances that are not leaving, those in the preferred data
	 * centre first
	 */
	public List<LeaseRecord> forCallers(String dataCentre) {
		return assignable().stream()
			.filter((r) -> isSelf(r) || this.links.isReachable(r.instance()))
			.sorted(Comparator.comparing((LeaseRecord r) -> !r.dataCentre().equals(dataCentre))
				.thenComparing(LeaseRecord::instance))
			.toList();
	}

	/**
	 * Returns whether a lease belongs to this instance.
	 * @param record the lease
	 * @return {@code true} if the instance names are equal
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

	private Map<String, LeaseRecord> newestLiveLeases(Map<JournalId, LeaseRecord> all, long now) {
		Map<String, LeaseRecord> newest = new TreeMap<>();
		long limit = this.leaseDuration.plus(EXPIRY_MARGIN).toNanos();
		for (LeaseRecord record : all.values()) {
			ObservedLease last = this.observedLeases.get(record.journal().toString());
			if ((record.phase() != Phase.ENDED) && (now - last.observedAt() <= limit)) {
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
	 * A version of a lease and the time at which it was first observed.
	 *
	 * @param version the version
	 * @param observedAt the monotonic time, in nanoseconds
	 * @param record the content, or empty if the object is not a valid lease
	 */
	private record ObservedLease(String version, long observedAt, Optional<LeaseRecord> record) {
	}

	/**
	 * The result of one evaluation of the leases.
	 *
	 * @param all all leases by run
	 * @param live the newest live lease of each instance by instance name
	 */
	private record Snapshot(Map<JournalId, LeaseRecord> all, Map<String, LeaseRecord> live) {
	}

}
