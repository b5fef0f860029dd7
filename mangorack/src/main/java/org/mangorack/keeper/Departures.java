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
 * The starts of upstreams that said in an answer that they leave, whatever the platform's
 * list says of them. A start never takes this back. Used by one thread.
 */
public final class Departures {

	/**
	 * How long a departure is remembered: longer than an upstream goes on serving after
	 * it said that it leaves.
	 */
	static final Duration LIFE = Duration.ofSeconds(60);

	private final MonotonicClock clock;

	// When each start said that it leaves, by the start.
	private final Map<Departure, Long> saidAt = new HashMap<>();

	// Begins at a time, so that a keeper's list after a restart differs from before.
	private long version = System.currentTimeMillis();

	/**
	 * Creates an empty list.
	 * @param clock the time source
	 */
	public Departures(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Returns a number that changes with the list.
	 * @return the version of the list
	 */
	public long version() {
		expire();
		return this.version;
	}

	/**
	 * Adds a departure, unless it is too old or known.
	 * @param departure the departure with its age
	 * @return whether it is new
	 */
	public boolean note(Departure departure) {
		expire();
		long age = TimeUnit.MILLISECONDS.toNanos(departure.getAgeMs());
		boolean fresh = (age < LIFE.toNanos())
				&& (this.saidAt.putIfAbsent(start(departure), this.clock.nanoTime() - age) == null);
		if (fresh) {
			this.version++;
		}
		return fresh;
	}

	/**
	 * Tells whether a start of an upstream leaves.
	 * @param start the start
	 * @return {@code true} if its departure is known
	 */
	public boolean contains(Departure start) {
		return this.saidAt.containsKey(start(start));
	}

	/**
	 * Returns the departures that are remembered.
	 * @param within the greatest age
	 * @return the departures with their ages
	 */
	public List<Departure> all(Duration within) {
		expire();
		long now = this.clock.nanoTime();
		List<Departure> all = new ArrayList<>();
		this.saidAt.forEach((start, at) -> {
			if (now - at <= within.toNanos()) {
				all.add(start.toBuilder().setAgeMs(TimeUnit.NANOSECONDS.toMillis(now - at)).build());
			}
		});
		return all;
	}

	private void expire() {
		long now = this.clock.nanoTime();
		if (this.saidAt.values().removeIf((at) -> now - at > LIFE.toNanos())) {
			this.version++;
		}
	}

	private static Departure start(Departure departure) {
		return departure.toBuilder().clearAgeMs().build();
	}

}
