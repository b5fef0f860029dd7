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
 * Creates and renews the lease of this instance. The validity period of the lease is
 * measured from the time just before the last successful renewal was sent.
 */
public final class LeaseManager {

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
	 * Creates the manager of a lease that does not exist yet.
	 * @param store the object store of the platform
	 * @param clock the time source
	 * @param duration the duration of the lease
	 * @param record the initial content of the lease
	 */
	public LeaseManager(ObjectStore store, MonotonicClock clock, Duration duration, LeaseRecord record) {
		this.store = store;
		this.clock = clock;
		this.duration = duration;
		this.record = record;
		this.validUntil = clock.nanoTime();
	}

	// ---- Accessors

	/**
	 * Returns whether the lease is currently valid.
	 * @return {@code true} if the lease is not lost and its duration has not passed since
	 * the last successful renewal was sent
	 */
	public boolean isValid() {
		return !this.lost && (this.clock.nanoTime() - this.validUntil < 0);
	}

	/**
	 * Returns whether the lease object was found to be missing.
	 * @return {@code true} if this run of the instance must end
	 */
	public boolean isLost() {
		return this.lost;
	}

	/**
	 * Returns the first journal segment, as recorded in the last written lease.
	 * @return the number of the segment
	 */
	public synchronized long firstSegment() {
		return this.record.firstSegment();
	}

	// ---- Public API

	/**
	 * Creates the lease object.
	 * @throws StoreException if the lease could not be created
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
	 * Makes one attempt to renew the lease. If the outcome of the write is unknown, or if
	 * the platform reports a conflict or a missing object, the lease is read back to find
	 * out whether the renewal took effect.
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
	 * Changes the content of the lease as of the next renewal.
	 * @param newPhase the phase of the instance
	 * @param newFirstSegment the number of the first segment of its journal
	 */
	public synchronized void requestUpdate(Phase newPhase, long newFirstSegment) {
		this.phase = newPhase;
		this.firstSegment = newFirstSegment;
		this.dirty = true;
	}

	/**
	 * Returns whether a changed content has not been written yet.
	 * @return {@code true} if the lease should be renewed without delay
	 */
	public synchronized boolean isDirty() {
		return this.dirty;
	}

	/**
	 * Returns the phase of the instance.
	 * @return the phase that the next renewal writes
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

	// Continues from an earlier renewal whose answer was lost and that took effect later.
	// No other process writes the lease, so a different record can only come from this
	// manager.
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
