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
 * Tells an outage of the platform from being cut off. The platform may refuse some
 * instances and serve others, so an outage is assumed only while no instance of the fleet
 * has had an answer for some time; then nobody can have changed anything either. Used by
 * the thread for traffic only.
 */
final class PlatformOutageDetector {

	/**
	 * How long nobody must have had an answer. Watches of healthy instances are answered
	 * every one or two seconds.
	 */
	static final Duration OUTAGE_AFTER = Duration.ofMillis(3000);

	// A pulse that is older says nothing about the present.
	private static final Duration MAX_PULSE_AGE = Duration.ofMillis(1000);

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
	 * Takes over what a keeper says.
	 * @param disk the keeper
	 * @param pulse its pulse
	 */
	void update(String disk, Pulse pulse) {
		long shortest = Math.min(pulse.getContactAgeMs(), pulse.getEntriesContactAgeMs());
		this.reports.put(disk,
				new KeeperReport(this.clock.nanoTime(), Duration.ofMillis(shortest), pulse.getEntriesHeard()));
		if (shortest < OUTAGE_AFTER.toMillis()) {
			this.lastEntryCount = pulse.getEntriesHeard();
		}
	}

	/**
	 * Tells whether the platform answers nobody.
	 * @return {@code true} if most instances are heard and none of them has had an answer
	 */
	boolean isFleetWideOutage() {
		if (this.timeSinceOwnContact.get().compareTo(OUTAGE_AFTER) < 0) {
			return false;
		}
		long now = this.clock.nanoTime();
		Set<String> heard = new HashSet<>();
		int entries = 0;
		for (Map.Entry<String, KeeperReport> e : this.reports.entrySet()) {
			KeeperReport pulse = e.getValue();
			if ((now - pulse.at() > MAX_PULSE_AGE.toNanos()) || !this.view.get().isMember(e.getKey())) {
				continue;
			}
			if (pulse.sinceContact().compareTo(OUTAGE_AFTER) < 0) {
				return false;
			}
			heard.add(e.getKey());
			entries = Math.max(entries, pulse.entries());
		}
		return this.view.get().isMajority(heard) && (entries * 2 > this.lastEntryCount);
	}

	/**
	 * What a keeper said last.
	 *
	 * @param at when, on the monotonic clock
	 * @param sinceContact how long nobody that the keeper knows of had an answer
	 * @param entries the entries that it hears
	 */
	private record KeeperReport(long at, Duration sinceContact, int entries) {
	}

}
