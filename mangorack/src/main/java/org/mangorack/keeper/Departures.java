package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.mangorack.keeper.proto.Departure;
import org.mangorack.observe.MonotonicClock;

/**
 * The upstream incarnations that announced in a response that they are shutting down,
 * independently of whether the platform still lists them. An incarnation is one process
 * start of an upstream, and never revokes its announcement. Not thread-safe.
 */
public final class Departures {

	/**
	 * How long a departure is retained: longer than an upstream keeps serving after its
	 * announcement.
	 */
	static final Duration RETENTION = Duration.ofSeconds(60);

	private final MonotonicClock clock;

	// The time of each announcement, by incarnation.
	private final Map<Departure, Long> announcedAt = new HashMap<>();

	// Initialized from the wall clock, so that a restarted keeper does not reuse
	// versions.
	private long version = System.currentTimeMillis();

	/**
	 * Creates an empty list.
	 * @param clock the time source
	 */
	public Departures(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Returns a version number that changes whenever the list does.
	 * @return the version of the list
	 */
	public long version() {
		expire();
		return this.version;
	}

	/**
	 * Adds a departure unless it has expired or is already known.
	 * @param departure the departure with its age
	 * @return whether it was added
	 */
	public boolean add(Departure departure) {
		expire();
		long age = TimeUnit.MILLISECONDS.toNanos(departure.getAgeMs());
		boolean fresh = (age < RETENTION.toNanos())
				&& (this.announcedAt.putIfAbsent(incarnation(departure), this.clock.nanoTime() - age) == null);
		if (fresh) {
			this.version++;
		}
		return fresh;
	}

	/**
	 * Returns whether an incarnation of an upstream announced its departure.
	 * @param incarnation the incarnation
	 * @return {@code true} if its departure is known
	 */
	public boolean contains(Departure incarnation) {
		return this.announcedAt.containsKey(incarnation(incarnation));
	}

	/**
	 * Returns the retained departures up to a given age.
	 * @param within the maximum age
	 * @return the departures with their ages
	 */
	public List<Departure> all(Duration within) {
		expire();
		long now = this.clock.nanoTime();
		List<Departure> all = new ArrayList<>();
		this.announcedAt.forEach((incarnation, at) -> {
			if (now - at <= within.toNanos()) {
				all.add(incarnation.toBuilder().setAgeMs(TimeUnit.NANOSECONDS.toMillis(now - at)).build());
			}
		});
		return all;
	}

	private void expire() {
		long now = this.clock.nanoTime();
		if (this.announcedAt.values().removeIf((at) -> now - at > RETENTION.toNanos())) {
			this.version++;
		}
	}

	private static Departure incarnation(Departure departure) {
		return departure.toBuilder().clearAgeMs().build();
	}

}
