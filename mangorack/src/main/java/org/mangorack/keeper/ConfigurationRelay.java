package org.mangorack.keeper;

import java.time.Duration;
import java.util.Set;

import org.mangorack.keeper.proto.ConfigurationDocument;

/**
 * The newest configuration that a keeper knows. Keepers pass it on to entries that the
 * platform refuses.
 */
public interface ConfigurationRelay {

	/**
	 * Returns the version of the configuration.
	 * @return the version, or 0 before any is known
	 */
	long version();

	/**
	 * Returns the known version, and how long ago it was confirmed as the newest one.
	 * @return a consistent pair of version and age
	 */
	ConfirmedVersion confirmedVersion();

	/**
	 * Returns how long ago the platform last responded to this process.
	 * @return the time since the last response
	 */
	Duration timeSinceContact();

	/**
	 * Accepts a configuration from another instance. It takes effect asynchronously.
	 * @param document the configuration document
	 * @param confirmedAt when it was confirmed as the newest one, on the monotonic clock
	 * @param source the name of the instance, for the log
	 */
	void offer(ConfigurationDocument document, long confirmedAt, String source);

	/**
	 * Records that a version was confirmed as the newest one.
	 * @param version the version
	 * @param time the time of the confirmation, on the monotonic clock
	 */
	void confirm(long version, long time);

	/**
	 * Returns the configuration document to pass on.
	 * @return the document with its age; its version is 0 before any is known
	 */
	ConfigurationDocument document();

	/**
	 * Returns the rate limit of a workspace.
	 * @param workspace the workspace
	 * @return the limit, or {@code null} if there is none
	 */
	RateLimit limit(String workspace);

	/**
	 * Returns the workspaces that have a rate limit.
	 * @return their names
	 */
	Set<String> limitedWorkspaces();

	/**
	 * A version of the configuration, and the time since it was confirmed as the newest.
	 *
	 * @param version the version, or 0 before any is known
	 * @param age the time since it was confirmed as the newest one
	 */
	record ConfirmedVersion(long version, Duration age) {
	}

	/**
	 * The rate limit of a workspace, summed over all instances.
	 *
	 * @param perSecond the calls per second
	 * @param burst the calls that may be made at once
	 */
	record RateLimit(double perSecond, double burst) {

		private static final double NEARLY_FULL = 0.9;

		// Within five seconds a workspace may exceed what rate and burst allow by at most
		// 10 % and 20 calls. The overdraft is a third of this tolerance. It may be used
		// twice if all keepers lose their buckets at once; the last third is left for
		// calls that are admitted before they are counted.
		private static final double OVERDRAFT_FRACTION = 0.035;

		private static final double OVERDRAFT_CALLS = 7;

		private static final double WINDOW_SECONDS = 5;

		/**
		 * Returns the level at or above which keepers do not report a bucket.
		 * @return the level, as the number of calls that can still be made at once
		 */
		public double nearlyFullLevel() {
			return NEARLY_FULL * Math.max(1, this.burst);
		}

		/**
		 * Returns how far running programs may overdraw a bucket. They send many calls at
		 * once, and refusing one of them wastes what the program has used so far.
		 * @return the calls beyond the burst
		 */
		public double overdraft() {
			return OVERDRAFT_CALLS + (OVERDRAFT_FRACTION * ((WINDOW_SECONDS * this.perSecond) + this.burst));
		}

	}

}
