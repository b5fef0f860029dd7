package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

import org.mangorack.observe.GuardedTask;

/**
 * Requests that wait for what an entry is about to learn. Used by the thread for traffic
 * only.
 */
final class HeldCalls {

	/**
	 * The part of its time that a request is held at most, so that enough is left to
	 * serve it.
	 */
	static final double WAIT_PART = 0.4;

	private final EventLoop loop;

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	HeldCalls(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Returns how long a request is held at most.
	 * @param most the longest time for any request
	 * @param timeLeft the time that the caller waits, or {@code null} if it is not known
	 * @return the longest time for this request
	 */
	static Duration limit(Duration most, Duration timeLeft) {
		if (timeLeft == null) {
			return most;
		}
		Duration part = Duration.ofNanos((long) (timeLeft.toNanos() * WAIT_PART));
		return (part.compareTo(most) < 0) ? part : most;
	}

	int size() {
		return this.waiting.size();
	}

	/**
	 * Runs a task when the wait is over, unless it is released before.
	 * @param wait how long to wait
	 * @param task the task, which runs once
	 */
	void hold(Duration wait, Runnable task) {
		Runnable guarded = new GuardedTask("held request", task);
		this.waiting.add(guarded);
		this.loop.schedule(() -> {
			if (this.waiting.remove(guarded)) {
				guarded.run();
			}
		}, wait.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Runs all tasks that wait, in their order. Those that they hold wait on.
	 */
	void release() {
		for (int left = this.waiting.size(); left > 0; left--) {
			this.waiting.poll().run();
		}
	}

}
