package org.mangorack.bench.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

import org.mangorack.observe.MonotonicClock;

/**
 * A discrete-event clock, which advances to the time of the next event. Simultaneous
 * events run in the order in which they were scheduled. Not thread-safe.
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
	 * @param nanos the delay in nanoseconds
	 * @param action the action to run
	 */
	void after(long nanos, Runnable action) {
		at(this.now + nanos, action);
	}

	/**
	 * Schedules an event.
	 * @param at the time in nanoseconds
	 * @param action the action to run
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
	 * Schedules a recurring event, which does not keep {@link #run()} from returning.
	 * @param first the time of the first occurrence, in nanoseconds
	 * @param period the interval in nanoseconds
	 * @param action the action to run
	 */
	void every(long first, long period, Runnable action) {
		add(first, () -> {
			action.run();
			every(this.now + period, period, action);
		});
	}

	/**
	 * Runs events until only recurring ones remain.
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
	 * A scheduled event.
	 *
	 * @param at the time in nanoseconds
	 * @param number the sequence number, which orders simultaneous events
	 * @param action the action to run
	 */
	private record Event(long at, long number, Runnable action) {
	}

}
