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
 * Decides whether this instance may accept calls that need a key. It may if its key and
 * configuration caches are fresh. If they are stale, it may only if it is connected to a
 * majority of instances, neither it nor any connected instance reaches the platform, and
 * none of them has a newer configuration or newer keys.
 */
final class ServingGuard {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

	private final Fleet fleet;

	private final KindCache keyCache;

	private final CacheFreshness freshness;

	private final KeyRegistry keys;

	private final LongSupplier revision;

	private volatile boolean suspended;

	ServingGuard(Fleet fleet, KindCache keyCache, CacheFreshness freshness, KeyRegistry keys, LongSupplier revision) {
		this.fleet = fleet;
		this.keyCache = keyCache;
		this.freshness = freshness;
		this.keys = keys;
		this.revision = revision;
	}

	/**
	 * Checks whether calls that need a key are accepted.
	 * @return the refusal, or empty if such calls are accepted
	 */
	Optional<Refusal> check() {
		boolean allowed = this.freshness.age().isFresh();
		if (!allowed) {
			allowed = !this.fleet.isPlatformReachable() && this.fleet.isMajorityReachable()
					&& !this.fleet.isPlatformReachableFromAnyPeer()
					&& !this.fleet.isAnyPeerAhead(this.revision.getAsLong(), this.keyCache.lastChange());
		}
		if (this.suspended == allowed) {
			this.suspended = !allowed;
			EventLog.log(allowed ? Event.SERVING_RESUMED : Event.SERVING_SUSPENDED);
		}
		return allowed ? Optional.empty() : Optional.of(Refusal.unavailable("cut_off",
				"this instance reaches neither the platform nor most other instances", RETRY_AFTER));
	}

	/**
	 * Returns the guard for a call with a key. Another instance may have verified the
	 * key, so a key that is missing here counts as withdrawn only if the caches are
	 * fresh.
	 * @param keyId the id of the key
	 * @return a guard that rejects the call if the key was withdrawn or calls that need a
	 * key are suspended
	 */
	SendGuard forKey(String keyId) {
		return () -> {
			CacheFreshness.Age age = this.freshness.age();
			if (!this.keys.isValid(keyId)) {
				return Optional.of(age
					.unavailableIfStale(Refusal.notRun(401, "key_withdrawn", "key \"" + keyId + "\" was withdrawn")));
			}
			return check();
		};
	}

}
