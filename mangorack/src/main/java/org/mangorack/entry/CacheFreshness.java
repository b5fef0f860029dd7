package org.mangorack.entry;

import java.time.Duration;

import org.mangorack.call.Refusal;
import org.mangorack.platform.KindCache;

/**
 * Determines whether the key and configuration caches of this instance are fresh. An
 * entry that a stale cache lacks may have been created since, so it is reported as
 * missing only if both caches were fresh. This sends no requests to the platform, as the
 * watches confirm the contents of the caches.
 */
final class CacheFreshness {

	/**
	 * The age up to which a cache counts as fresh.
	 */
	static final Duration MAX_FRESH_AGE = Duration.ofMillis(2500);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

	private final KindCache keys;

	private final KindCache configuration;

	CacheFreshness(KindCache keys, KindCache configuration) {
		this.keys = keys;
		this.configuration = configuration;
	}

	/**
	 * Returns the age of the older cache. Callers must take the age before a lookup, as a
	 * watch may update and confirm the caches while the call is being handled.
	 * @return the current age
	 */
	Age age() {
		Duration keysAge = this.keys.age();
		Duration configurationAge = this.configuration.age();
		return new Age((keysAge.compareTo(configurationAge) > 0) ? keysAge : configurationAge);
	}

	/**
	 * The age of the caches at the time of a lookup.
	 *
	 * @param time the time since both caches were known to be complete
	 */
	record Age(Duration time) {

		/**
		 * Returns whether both caches were fresh.
		 * @return {@code true} if both were confirmed within {@link #MAX_FRESH_AGE}
		 */
		boolean isFresh() {
			return this.time.compareTo(MAX_FRESH_AGE) <= 0;
		}

		/**
		 * Returns the refusal for an entry that the caches lack or do not allow. The same
		 * rule applies during a platform outage that all connected instances agree on, as
		 * the last change before the outage may not have reached any of them.
		 * @param missing the refusal to return if the caches were fresh
		 * @return that refusal, or one with status 503 if a cache was stale
		 */
		Refusal unavailableIfStale(Refusal missing) {
			if (isFresh()) {
				return missing;
			}
			return Refusal.unavailable("copies_unconfirmed",
					"this is not certain, as keys and configuration were not confirmed for " + this.time.toMillis()
							+ " ms: " + missing.detail(),
					RETRY_AFTER);
		}

	}

}
