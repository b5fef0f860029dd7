package org.mangorack.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import org.mangorack.observe.MonotonicClock;

/**
 * The turns that wait at an entry while all engines of their pool are full.
 * <p>
 * Answers the load of callers who compete for too little room. Engines admit in order of
 * arrival, so what is sent to a full engine is served in that order. Turns that wait here
 * instead are served by priority; within a priority, programs that have begun go first,
 * because the work for their earlier turns would be wasted, then the workspace that has
 * used the least, then the program that has to finish first. Waiting raises the priority,
 * so that none waits for ever. Not thread-safe.
 *
 * @param <T> the type of the turns
 */
public final class TurnQueue<T extends QueuedTurn> {

	/**
	 * The time of waiting that raises the priority by one.
	 */
	static final Duration AGEING_INTERVAL = Duration.ofMillis(400);

	/**
	 * The lowest priority. The longest wait raises any turn above new turns of the
	 * highest one.
	 */
	public static final int LOWEST_PRIORITY = 3;

	private final MonotonicClock clock;

	private final int capacity;

	private final List<Waiting<T>> waiting = new ArrayList<>();

	private final FairShares shares = new FairShares();

	/**
	 * Creates an empty queue.
	 * @param clock the time source
	 * @param capacity the largest number of turns that wait
	 */
	public TurnQueue(MonotonicClock clock, int capacity) {
		this.clock = clock;
		this.capacity = capacity;
	}

	/**
	 * Returns the number of turns that wait.
	 * @return the number
	 */
	public int size() {
		return this.waiting.size();
	}

	/**
	 * Adds a turn.
	 * @param turn the turn
	 * @param maxWait the longest time that it waits
	 * @return {@code false} if the queue is full
	 */
	public boolean offer(T turn, Duration maxWait) {
		if (this.waiting.size() >= this.capacity) {
			return false;
		}
		long now = this.clock.nanoTime();
		this.waiting.add(new Waiting<>(turn, now, now + maxWait.toNanos()));
		return true;
	}

	/**
	 * Removes a turn, for example because its caller has gone.
	 * @param turn the turn
	 */
	public void remove(T turn) {
		this.waiting.removeIf((w) -> w.turn() == turn);
	}

	/**
	 * Removes the turn that is to be served next.
	 * @return the turn, or empty if none waits
	 */
	public Optional<T> poll() {
		long now = this.clock.nanoTime();
		Waiting<T> first = null;
		for (Waiting<T> next : this.waiting) {
			if ((first == null) || (compare(next, first, now) < 0)) {
				first = next;
			}
		}
		if (first == null) {
			return Optional.empty();
		}
		this.waiting.remove(first);
		charge(first.turn());
		return Optional.of(first.turn());
	}

	/**
	 * Removes the turns that have waited for their longest time.
	 * @return these turns
	 */
	public List<T> pollExpired() {
		long now = this.clock.nanoTime();
		List<T> expired = new ArrayList<>();
		for (Iterator<Waiting<T>> iterator = this.waiting.iterator(); iterator.hasNext();) {
			Waiting<T> next = iterator.next();
			if (now - next.until() >= 0) {
				iterator.remove();
				expired.add(next.turn());
				charge(next.turn());
			}
		}
		return expired;
	}

	/**
	 * Returns the turns that wait, in no particular order.
	 * @return a copy
	 */
	public List<T> turns() {
		return this.waiting.stream().map(Waiting::turn).toList();
	}

	private void charge(T turn) {
		this.shares.charge(turn.workspace(), 1, turn.workTokens());
		this.shares.evictIdle();
	}

	private int compare(Waiting<T> a, Waiting<T> b, long now) {
		int order = Long.compare(rank(a, now), rank(b, now));
		if (order == 0) {
			order = Boolean.compare(!a.turn().isBegun(), !b.turn().isBegun());
		}
		if (order == 0) {
			order = Double.compare(this.shares.startTag(a.turn().workspace()),
					this.shares.startTag(b.turn().workspace()));
		}
		return (order != 0) ? order : Long.compare(a.turn().dueAt() - now, b.turn().dueAt() - now);
	}

	private static <T extends QueuedTurn> long rank(Waiting<T> entry, long now) {
		return entry.turn().priority() - ((now - entry.queuedAt()) / AGEING_INTERVAL.toNanos());
	}

	/**
	 * A turn in the queue.
	 *
	 * @param <T> the type of the turn
	 * @param turn the turn
	 * @param queuedAt when it was added, on the monotonic clock
	 * @param until when its longest wait is over, on the monotonic clock
	 */
	private record Waiting<T>(T turn, long queuedAt, long until) {
	}

}
