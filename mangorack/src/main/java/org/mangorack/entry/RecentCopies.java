package org.mangorack.entry;

import java.time.Duration;

import org.mangorack.call.Refusal;
import org.mangorack.platform.KindCache;

/**
 * Tells how recent the copies of keys and configuration are by which this instance
 * decides. What an old copy lacks may have been created since, so it is only called
 * missing if the copies were recent. Nothing is asked of the platform for it: the watches
 * confirm the copies.
 */
final class RecentCopies {

	/**
	 * The age beyond which copies are not recent.
	 */
	static final Duration AGE_LIMIT = Duration.ofMillis(2500);

	private static final Duration RETRY_LATER = Duration.ofSeconds(2);

	private final KindCache keys;

	private final KindCache configuration;

	RecentCopies(KindCache keys, KindCache configuration) {
		this.keys = keys;
		this.configuration = configuration;
	}

	/**
	 * Returns the age of the older copy. It has to be taken before something is looked
	 * up, as a watch may replace and confirm the copies while a call is decided.
	 * @return the age at present
	 */
	Age age() {
		Duration ofKeys = this.keys.age();
		Duration ofConfiguration = this.configuration.age();
		return new Age((ofKeys.compareTo(ofConfiguration) > 0) ? ofKeys : ofConfiguration);
	}

	/**
	 * The age of the copies at the time of a lookup.
	 *
	 * @param time how long ago both copies were known to be complete
	 */
	record Age(Duration time) {

		/**
		 * Tells whether the copies were recent.
		 * @return {@code true} if both were confirmed within {@link #AGE_LIMIT}
		 */
		boolean isRecent() {
			return this.time.compareTo(AGE_LIMIT) <= 0;
		}

		/**
		 * Returns what a caller is told of something that the copies lack or do not
		 * allow. An outage that all instances in touch agree on is no exception, as the
		 * last change before it may have reached none of them.
		 * @param missing the refusal that holds if the copies were recent
		 * @return the same refusal, or one with status 503 if they were not
		 */
		Refusal certain(Refusal missing) {
			if (isRecent()) {
				return missing;
			}
			return Refusal.unavailable("copies_unconfirmed",
					"this is not certain, as keys and configuration were not confirmed for " + this.time.toMillis()
							+ " ms: " + missing.detail(),
					RETRY_LATER);
		}

	}

}
