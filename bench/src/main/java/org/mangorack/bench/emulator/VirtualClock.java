package org.mangorack.bench.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.mangorack.observe.MonotonicClock;

/**
 * A clock that jumps from one event to the next. Events of the same time run in the order
 * in which they were scheduled. Not thread-safe.
 */
final class VirtualClock implements MonotonicClock {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::at).thenComparingLong(Event::number));

	private long now;

	private long scheduled;

	private int pending;

	@Override
	public long nanoTime() {
		return this.now;
	}

	/**
	 * Schedules an event.
	 * @param nanos when, counted from now, in nanoseconds
	 * @param action what happens
	 */
	void after(long nanos, Runnable action) {
		at(this.now + nanos, action);
	}

	/**
	 * Schedules an event.
	 * @param at when, in nanoseconds
	 * @param action what happens
	 * @throws IllegalArgumentException if the time has passed
	 */
	void at(long at, Runnable action) {
		this.pending++;
		add(at, () -> {
			this.pending--;
			action.run();
		});
	}

	/**
	 * Repeats an event for as long as there are others.
	 * @param first when it first happens, in nanoseconds
	 * @param period the time between two, in nanoseconds
	 * @param action what happens
	 */
	void every(long first, long period, Runnable action) {
		add(first, () -> {
			action.run();
			every(this.now + period, period, action);
		});
	}

	/**
	 * Runs all events, until only repeated ones are left.
	 */
	void run() {
		while (this.pending > 0) {
			Event next = this.events.poll();
			this.now = next.at();
			next.action().run();
		}
	}

	private void add(long at, Runnable action) {
		if (at < this.now) {
			throw new IllegalArgumentException("an event at " + at + " ns is in the past");
		}
		this.events.add(new Event(at, this.scheduled++, action));
	}

	/**
	 * Something that happens at a time.
	 *
	 * @param at when, in nanoseconds
	 * @param number the place among events of the same time
	 * @param action what happens
	 */
	private record Event(long at, long number, Runnable action) {
	}

}
