package org.mangorack.relay;

import java.time.Duration;
import java.util.Optional;

import io.netty.channel.EventLoop;

import org.mangorack.observe.MonotonicClock;

/**
 * Holds the requests that reach an entry before it knows enough to decide them: a
 * configuration, the upstreams and a majority of the keepers. It learns them within
 * fractions of a second, so a short wait serves a caller better than a refusal, of which
 * few callers take more than one or two. Once open, the gate stays open. Used by the
 * thread for traffic only.
 */
final class StartupGate {

	/**
	 * The longest time that a request is held. An entry that has just started learns what
	 * it needs in 200 ms from keepers that are up, in 700 ms if they start as well.
	 */
	static final Duration MAX_WAIT = Duration.ofMillis(900);

	/**
	 * The gate opens this long after the start at the latest: what is still missing by
	 * then may stay away for long, and requests that do not need it are served.
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
	 * Tells whether requests submit at once.
	 * @return {@code true} once the gate was opened or its time is over
	 */
	boolean isOpen() {
		if (!this.open && (this.clock.elapsed(this.startedAt).compareTo(OPEN_AFTER) > 0)) {
			open();
		}
		return this.open;
	}

	/**
	 * Runs a task once the gate is open, or when its wait is over.
	 * @param timeLeft the time that the caller waits, or {@code null} if it is not known
	 * @param task the task, which runs once
	 * @return the place of the request, to be given up when its caller leaves; empty if
	 * it passed at once
	 */
	Optional<HeldCalls.HeldCall> submit(Duration timeLeft, Runnable task) {
		if (isOpen()) {
			task.run();
			return Optional.empty();
		}
		return Optional.of(this.held.hold(HeldCalls.limit(MAX_WAIT, timeLeft), task));
	}

	/**
	 * Lets all requests submit, those that wait in their order.
	 */
	void open() {
		this.open = true;
		this.held.release();
	}

}
