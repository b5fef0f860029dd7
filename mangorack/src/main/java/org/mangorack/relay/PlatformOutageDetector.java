package org.mangorack.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.mangorack.keeper.GroupView;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.observe.MonotonicClock;

/**
 * Distinguishes an outage of the platform from a loss of this instance's own connection
 * to it. The platform may refuse some instances and serve others, so an outage is assumed
 * only while no instance of the fleet has had a response for some time; in that case
 * nobody can have changed the platform's data either. Not thread-safe: used only on the
 * traffic event loop.
 */
final class PlatformOutageDetector {

	/**
	 * The time without a response to any instance after which an outage is assumed.
	 * Watches of healthy instances get a response every one or two seconds.
	 */
	static final Duration OUTAGE_THRESHOLD = Duration.ofMillis(3000);

	// An older reply does not show the current state.
	private static final Duration MAX_REPLY_AGE = Duration.ofMillis(1000);

	private final MonotonicClock clock;

	private final Supplier<GroupView> view;

	private final Supplier<Duration> timeSinceOwnContact;

	private final Map<String, KeeperReport> reports = new HashMap<>();

	private int lastEntryCount;

	PlatformOutageDetector(MonotonicClock clock, Supplier<GroupView> view, Supplier<Duration> timeSinceOwnContact) {
		this.clock = clock;
		this.view = view;
		this.timeSinceOwnContact = timeSinceOwnContact;
	}

	/**
	 * Stores the report of a keeper.
	 * @param disk the disk of the keeper
	 * @param pulse its heartbeat reply
	 */
	void update(String disk, Pulse pulse) {
		long contactAge = Math.min(pulse.getContactAgeMs(), pulse.getEntriesContactAgeMs());
		this.reports.put(disk,
				new KeeperReport(this.clock.nanoTime(), Duration.ofMillis(contactAge), pulse.getEntriesHeard()));
		if (contactAge < OUTAGE_THRESHOLD.toMillis()) {
			this.lastEntryCount = pulse.getEntriesHeard();
		}
	}

	/**
	 * Returns whether the platform responds to no instance.
	 * @return {@code true} if most instances are reporting and none of them has had a
	 * recent response
	 */
	boolean isFleetWideOutage() {
		if (this.timeSinceOwnContact.get().compareTo(OUTAGE_THRESHOLD) < 0) {
			return false;
		}
		long now = this.clock.nanoTime();
		Set<String> reporting = new HashSet<>();
		int entries = 0;
		for (Map.Entry<String, KeeperReport> e : this.reports.entrySet()) {
			KeeperReport report = e.getValue();
			if ((now - report.receivedAt() > MAX_REPLY_AGE.toNanos()) || !this.view.get().isMember(e.getKey())) {
				continue;
			}
			if (report.timeSinceContact().compareTo(OUTAGE_THRESHOLD) < 0) {
				return false;
			}
			reporting.add(e.getKey());
			entries = Math.max(entries, report.entries());
		}
		return this.view.get().isMajority(reporting) && (entries * 2 > this.lastEntryCount);
	}

	/**
	 * The latest report of a keeper.
	 *
	 * @param receivedAt when it was received, on the monotonic clock
	 * @param timeSinceContact the time since any instance that the keeper knows of had a
	 * response
	 * @param entries the number of entries that report to the keeper
	 */
	private record KeeperReport(long receivedAt, Duration timeSinceContact, int entries) {
	}

}
