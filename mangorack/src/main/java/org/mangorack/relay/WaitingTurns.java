package org.mangorack.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

import org.mangorack.dispatch.TurnQueue;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;

/**
 * The turns of all pools that wait at this entry for room at their engines. Not
 * thread-safe: used only on the traffic event loop.
 */
final class WaitingTurns {

	/**
	 * The largest number of turns that wait for a pool.
	 */
	static final int CAPACITY = 64;

	/**
	 * The largest part of its remaining time that a turn waits, so that it can still be
	 * served, or come back to another entry, after that.
	 */
	static final double MAX_WAIT_FRACTION = 0.25;

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

	/**
	 * The part of the waiting turns of a pool that is sent at one check, at least one.
	 * All entries learn of free slots at the same time and would overfill them together.
	 */
	static final double SENT_FRACTION = 0.125;

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final UpstreamTable upstreams;

	private final Map<String, TurnQueue<EngineTurn>> queues = new HashMap<>();

	private boolean checkScheduled;

	// Read by the thread that reports metrics.
	private volatile int waiting;

	WaitingTurns(EventLoop loop, MonotonicClock clock, UpstreamTable upstreams, Metrics metrics) {
		this.loop = loop;
		this.clock = clock;
		this.upstreams = upstreams;
		metrics.gauge("mangorack.turns.waiting", () -> this.waiting);
	}

	/**
	 * Adds a turn if its engines are full. If too many turns wait already, the first of
	 * them is sent instead.
	 * @param pool the pool of the turn
	 * @param turn the turn
	 * @param remaining the time left for the turn
	 * @return {@code false} if the turn is to be sent now, because there is room
	 */
	boolean offer(String pool, EngineTurn turn, Duration remaining) {
		TurnQueue<EngineTurn> queue = this.queues.computeIfAbsent(pool, (p) -> new TurnQueue<>(this.clock, CAPACITY));
		if ((queue.size() == 0) && this.upstreams.hasRoom(pool)) {
			return false;
		}
		if (queue.size() >= CAPACITY) {
			queue.poll().ifPresent(EngineTurn::waitEnded);
		}
		boolean added = queue.offer(turn, Duration.ofNanos((long) (remaining.toNanos() * MAX_WAIT_FRACTION)));
		scheduleCheck();
		return added;
	}

	void remove(String pool, EngineTurn turn) {
		TurnQueue<EngineTurn> queue = this.queues.get(pool);
		if (queue != null) {
			queue.remove(turn);
		}
	}

	/**
	 * Lets the turns be judged by the newest configuration.
	 */
	void reconsider() {
		this.queues.values()
			.stream()
			.map(TurnQueue::turns)
			.flatMap(List::stream)
			.toList()
			.forEach(EngineTurn::reconsider);
	}

	private void scheduleCheck() {
		this.waiting = this.queues.values().stream().mapToInt(TurnQueue::size).sum();
		if (!this.checkScheduled && (this.waiting > 0)) {
			this.checkScheduled = true;
			this.loop.schedule(new GuardedTask("waiting turns", this::check), CHECK_INTERVAL.toMillis(),
					TimeUnit.MILLISECONDS);
		}
	}

	private void check() {
		this.checkScheduled = false;
		try {
			// The end of a turn may start the next request of its caller, and so add a
			// queue.
			Map.copyOf(this.queues).forEach(this::check);
		}
		finally {
			scheduleCheck();
		}
	}

	private void check(String pool, TurnQueue<EngineTurn> queue) {
		queue.pollExpired().forEach(EngineTurn::waitExpired);
		int most = (int) Math.ceil(queue.size() * SENT_FRACTION);
		for (int i = 0; (i < most) && this.upstreams.hasRoom(pool); i++) {
			queue.poll().ifPresent(EngineTurn::waitEnded);
		}
	}

}
