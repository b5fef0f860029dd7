package org.mangorack.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

	/**
	 * The interval between checks for room. At most one turn of a pool is sent at each:
	 * all entries learn of free slots at the same time and would overfill them together.
	 */
	private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final UpstreamTable upstreams;

	private final Map<String, TurnQueue<RelayCall>> queues = new HashMap<>();

	private boolean checkScheduled;

	WaitingTurns(EventLoop loop, MonotonicClock clock, UpstreamTable upstreams, Metrics metrics) {
		this.loop = loop;
		this.clock = clock;
		this.upstreams = upstreams;
		metrics.gauge("mangorack.turns.waiting", this::size);
	}

	/**
	 * Adds a turn if its engines are full.
	 * @param pool the pool of the turn
	 * @param turn the turn
	 * @param remaining the time left for the turn
	 * @return {@code false} if the turn is to be sent now, because there is room or too
	 * many turns wait
	 */
	boolean offer(String pool, RelayCall turn, Duration remaining) {
		TurnQueue<RelayCall> queue = this.queues.computeIfAbsent(pool, (p) -> new TurnQueue<>(this.clock, CAPACITY));
		if ((queue.size() == 0) && this.upstreams.hasRoom(pool)) {
			return false;
		}
		boolean added = queue.offer(turn, Duration.ofNanos((long) (remaining.toNanos() * MAX_WAIT_FRACTION)));
		scheduleCheck();
		return added;
	}

	void remove(String pool, RelayCall turn) {
		TurnQueue<RelayCall> queue = this.queues.get(pool);
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
			.forEach(RelayCall::reconsider);
	}

	private int size() {
		return this.queues.values().stream().mapToInt(TurnQueue::size).sum();
	}

	private void scheduleCheck() {
		if (!this.checkScheduled && (size() > 0)) {
			this.checkScheduled = true;
			this.loop.schedule(new GuardedTask("waiting turns", this::check), CHECK_INTERVAL.toMillis(),
					TimeUnit.MILLISECONDS);
		}
	}

	private void check() {
		this.checkScheduled = false;
		this.queues.forEach((pool, queue) -> {
			queue.pollExpired().forEach(RelayCall::waitExpired);
			Optional<RelayCall> next = this.upstreams.hasRoom(pool) ? queue.poll() : Optional.empty();
			next.ifPresent(RelayCall::waitEnded);
		});
		scheduleCheck();
	}

}
