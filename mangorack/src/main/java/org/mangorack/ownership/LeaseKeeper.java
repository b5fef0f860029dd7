package org.mangorack.ownership;

import java.time.Duration;
import java.util.Optional;
import java.util.UUID;

import org.mangorack.member.LeaseRecord;
import org.mangorack.member.LeaseRecord.Phase;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.ObjectStore;
import org.mangorack.platform.StoreException;
import org.mangorack.platform.StoredObject;

/**
 * Creates and renews the lease of this instance. The lease is valid for its duration
 * after the moment before the last successful renewal was sent.
 */
public final class LeaseKeeper {

	private final ObjectStore store;

	private final MonotonicClock clock;

	private final Duration duration;

	private LeaseRecord record;

	private String version;

	private Phase phase = Phase.ACTIVE;

	private long firstSegment;

	private boolean dirty;

	private volatile long validUntil;

	private volatile boolean lost;

	/**
	 * Creates the keeper of a lease that does not exist yet.
	 * @param store the object API
	 * @param clock the time source
	 * @param duration the duration of the lease
	 * @param record the first content of the lease
	 */
	public LeaseKeeper(ObjectStore store, MonotonicClock clock, Duration duration, LeaseRecord record) {
		this.store = store;
		this.clock = clock;
		this.duration = duration;
		this.record = record;
		this.validUntil = clock.nanoTime();
	}

	// ---- Accessors

	/**
	 * Tells whether the lease is valid now.
	 * @return {@code true} until the duration has passed since the last renewal was sent
	 */
	public boolean isValid() {
		return !this.lost && (this.clock.nanoTime() - this.validUntil < 0);
	}

	/**
	 * Tells whether the lease object was removed or replaced by another writer.
	 * @return {@code true} if this run of the instance is over
	 */
	public boolean isLost() {
		return this.lost;
	}

	/**
	 * Returns the number of the first segment that the lease records.
	 * @return the number of the segment
	 */
	public synchronized long firstSegment() {
		return this.record.firstSegment();
	}

	// ---- Public API

	/**
	 * Creates the lease object.
	 * @throws StoreException if it was not created
	 */
	public synchronized void create() throws StoreException {
		long sentAt = this.clock.nanoTime();
		String name = this.record.journal().toString();
		StoredObject stored = this.store.create(ObjectKind.LEASE, name, this.record.toJson());
		this.version = stored.version();
		this.validUntil = sentAt + this.duration.toNanos();
		EventLog.log(Event.LEASE_CREATED, "lease", name);
	}

	/**
	 * Renews the lease once.
	 * @return {@code true} if the renewal succeeded
	 */
	public synchronized boolean renew() {
		if (this.lost) {
			return false;
		}
		LeaseRecord next = this.record.renewed(this.phase, this.firstSegment, UUID.randomUUID().toString());
		long sentAt = this.clock.nanoTime();
		try {
			StoredObject stored = this.store.update(ObjectKind.LEASE, next.journal().toString(), this.version,
					next.toJson());
			accept(next, stored.version(), sentAt);
			return true;
		}
		catch (StoreException ex) {
			if ((ex.reason() == StoreException.Reason.CONFLICT) || (ex.reason() == StoreException.Reason.NOT_FOUND)
					|| ex.reason().isAmbiguous()) {
				return readBack(next, sentAt);
			}
			return false;
		}
	}

	/**
	 * Changes what the lease says with the next renewal.
	 * @param newPhase what the instance is doing
	 * @param newFirstSegment the number of the first segment of its journal
	 */
	public synchronized void announce(Phase newPhase, long newFirstSegment) {
		this.phase = newPhase;
		this.firstSegment = newFirstSegment;
		this.dirty = true;
	}

	/**
	 * Tells whether a change was announced and not written yet.
	 * @return {@code true} if the next renewal should not wait
	 */
	public synchronized boolean isDirty() {
		return this.dirty;
	}

	/**
	 * Returns what the instance is doing.
	 * @return the phase of the next renewal
	 */
	public synchronized Phase phase() {
		return this.phase;
	}

	// ---- Helpers

	private boolean readBack(LeaseRecord sent, long sentAt) {
		try {
			Optional<StoredObject> stored = this.store.get(ObjectKind.LEASE, sent.journal().toString());
			if (stored.isEmpty()) {
				this.lost = true;
				return false;
			}
			String nonce = stored.get().spec().path("nonce").asText();
			if (nonce.equals(sent.nonce())) {
				accept(sent, stored.get().version(), sentAt);
				return true;
			}
			if (nonce.equals(this.record.nonce())) {
				this.version = stored.get().version();
				return false;
			}
			LeaseRecord.read(stored.get()).ifPresent((found) -> adoptEarlierWrite(found, stored.get().version()));
			return false;
		}
		catch (StoreException ex) {
			return false;
		}
	}

	// Continues from a renewal whose answer was lost and that took effect later. Nobody
	// else writes the lease, so a higher count can only come from this keeper.
	private void adoptEarlierWrite(LeaseRecord found, String foundVersion) {
		this.record = found;
		this.version = foundVersion;
	}

	private void accept(LeaseRecord next, String newVersion, long sentAt) {
		this.record = next;
		this.version = newVersion;
		this.validUntil = sentAt + this.duration.toNanos();
		if ((this.phase == next.phase()) && (this.firstSegment == next.firstSegment())) {
			this.dirty = false;
		}
	}

}
