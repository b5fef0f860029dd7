package org.mangorack.relay;

import java.time.Duration;
import java.util.Optional;

import io.netty.channel.EventLoop;

import org.mangorack.observe.MonotonicClock;

/**
 * Holds the requests that arrive before the entry is ready to decide on them, that is,
 * before it has a configuration, the upstreams and a majority of the keepers. That takes
 * fractions of a second, so a short wait serves a caller better than a refusal, after one
 * or two of which most callers give up. Once open, the gate stays open. Not thread-safe:
 * used only on the traffic event loop.
 */
final class StartupGate {

	/**
	 * The longest time that a request is held. An entry becomes ready within 200 ms if
	 * the keepers are up, and within 700 ms if they start at the same time.
	 */
	static final Duration MAX_WAIT = Duration.ofMillis(900);

	/**
	 * The gate opens at the latest this long after the start. What is still missing by
	 * then may stay unavailable for long, and requests that do not need it can be served.
	 */
	static final Duration OPEN_AFTER = Duration.ofMillis(2500);

	private final MonotonicClock clock;

	private final long startedAt;

	private final HeldCalls held;

	private boolean open;

	StartupGate(EventLoop loop, MonotonicClock clock) {
		this.held = new HeldCalls(loop);
		this.clock = clock;
		this.startedAt = clock.nanoTime();
	}

	/**
	 * Returns whether requests are accepted at once.
	 * @return {@code true} once the gate was opened or {@link #OPEN_AFTER} has passed
	 */
	boolean isOpen() {
		if (!this.open && (this.clock.elapsed(this.startedAt).compareTo(OPEN_AFTER) > 0)) {
			open();
		}
		return this.open;
	}

	/**
	 * Runs a task once the gate is open, or when its wait is over.
	 * @param remainingTime the remaining time until the caller's deadline, or
	 * {@code null} if unknown
	 * @param task the task, which runs at most once
	 * @return the held request, to be cancelled when its caller disconnects; empty if the
	 * task has already run
	 */
	Optional<HeldCalls.HeldCall> submit(Duration remainingTime, Runnable task) {
		if (isOpen()) {
			task.run();
			return Optional.empty();
		}
		return Optional.of(this.held.hold(HeldCalls.maxWait(MAX_WAIT, remainingTime), task));
	}

	/**
	 * Opens the gate and runs the held tasks in the order of arrival.
	 */
	void open() {
		this.open = true;
		this.held.release();
	}

}
