package org.mangorack.keeper;

import java.time.Duration;
import java.util.Set;

import org.mangorack.keeper.proto.ConfigurationDocument;

/**
 * The newest configuration that a keeper knows, for entries that the platform refuses.
 */
public interface ConfigurationRelay {

	/**
	 * Returns the version of the configuration.
	 * @return the version, or 0 before any is known
	 */
	long version();

	/**
	 * Returns which version is known, and how long ago it was certainly the newest one.
	 * @return the version with its age, which belong together
	 */
	Known known();

	/**
	 * Returns how long ago the platform last answered this process.
	 * @return the time since the answer
	 */
	Duration sinceContact();

	/**
	 * Takes over a configuration that another instance has. It is in force some time
	 * later.
	 * @param document its document
	 * @param confirmedAt when it was certainly the newest one, on the monotonic clock
	 * @param source the instance, for the log
	 */
	void offer(ConfigurationDocument document, long confirmedAt, String source);

	/**
	 * Notes that a version was the newest one.
	 * @param version the version
	 * @param time when it certainly was, on the monotonic clock
	 */
	void confirm(long version, long time);

	/**
	 * Returns the document to pass on.
	 * @return the document with its age; of version 0 before any is known
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
	 * A version of the configuration and the age of the knowledge that it is the newest.
	 *
	 * @param version the version, or 0 before any is known
	 * @param age how long ago it was certainly the newest one
	 */
	record Known(long version, Duration age) {
	}

	/**
	 * A rate and burst over all instances.
	 *
	 * @param perSecond calls a second
	 * @param burst calls that may come at once
	 */
	record RateLimit(double perSecond, double burst) {

		private static final double NEARLY_FULL = 0.9;

		// A third of what the users' rule leaves for counting: a tenth and twenty calls
		// beyond what rate and burst allow within five seconds. If all keepers lose their
		// buckets at once it may be used twice; the last third is for calls that are
		// admitted before they are counted.
		private static final double RESERVE_PART = 0.035;

		private static final double RESERVE_CALLS = 7;

		private static final double WINDOW_SECONDS = 5;

		/**
		 * Returns the level of a bucket from which on keepers do not report it.
		 * @return the calls that may be made at once at least
		 */
		public double nearlyFull() {
			return NEARLY_FULL * Math.max(1, this.burst);
		}

		/**
		 * Returns how far programs that have begun may overdraw a bucket. They send many
		 * calls at once, and a refused one wastes what the program used before.
		 * @return the calls beyond the burst
		 */
		public double reserve() {
			return RESERVE_CALLS + (RESERVE_PART * ((WINDOW_SECONDS * this.perSecond) + this.burst));
		}

	}

}
