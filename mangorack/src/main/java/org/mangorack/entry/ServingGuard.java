package org.mangorack.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;

import org.mangorack.call.Refusal;
import org.mangorack.call.SendGuard;
import org.mangorack.key.KeyRegistry;
import org.mangorack.member.Fleet;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.platform.KindCache;

/**
 * Decides whether this instance may take keyed work: its copies of keys and configuration
 * are recent, or the platform is out for it and for a majority of instances in touch,
 * none of which is ahead of it.
 */
final class ServingGuard {

	private static final Duration RETRY_LATER = Duration.ofSeconds(2);

	private final Fleet fleet;

	private final KindCache keyCache;

	private final RecentCopies copies;

	private final KeyRegistry keys;

	private final LongSupplier revision;

	private volatile boolean suspended;

	ServingGuard(Fleet fleet, KindCache keyCache, RecentCopies copies, KeyRegistry keys, LongSupplier revision) {
		this.fleet = fleet;
		this.keyCache = keyCache;
		this.copies = copies;
		this.keys = keys;
		this.revision = revision;
	}

	/**
	 * Tells whether keyed work is refused at present.
	 * @return the refusal, or empty when keyed work is taken
	 */
	Optional<Refusal> check() {
		boolean allowed = this.copies.age().isRecent();
		if (!allowed) {
			allowed = !this.fleet.isPlatformReachable() && this.fleet.isMajorityReachable()
					&& !this.fleet.doesAnyPeerReachPlatform()
					&& !this.fleet.isAnyPeerAhead(this.revision.getAsLong(), this.keyCache.lastChange());
		}
		if (this.suspended == allowed) {
			this.suspended = !allowed;
			EventLog.log(allowed ? Event.SERVING_RESUMED : Event.SERVING_SUSPENDED);
		}
		return allowed ? Optional.empty() : Optional.of(Refusal.unavailable("cut_off",
				"this instance reaches neither the platform nor most other instances", RETRY_LATER));
	}

	/**
	 * Returns the guard of a call with a key. The key may have been verified by another
	 * instance, so that its lack means a withdrawal only if the copies are recent.
	 * @param keyId the id of the key
	 * @return refuses the call once the key is withdrawn or keyed work is suspended
	 */
	SendGuard forKey(String keyId) {
		return () -> {
			RecentCopies.Age age = this.copies.age();
			if (!this.keys.isValid(keyId)) {
				return Optional
					.of(age.certain(Refusal.notRun(401, "key_withdrawn", "key \"" + keyId + "\" was withdrawn")));
			}
			return check();
		};
	}

}
