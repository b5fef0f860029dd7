package org.mangorack.relay;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
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

	// In the order of their arrival.
	private final Set<HeldCall> waiting = new LinkedHashSet<>();

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
	 * Runs a task when the wait is over, unless it is released or cancelled before.
	 * @param wait how long to wait
	 * @param task the task, which runs at most once
	 * @return its place
	 */
	HeldCall hold(Duration wait, Runnable task) {
		HeldCall place = new HeldCall(task);
		this.waiting.add(place);
		place.timer = this.loop.schedule(place::run, wait.toNanos(), TimeUnit.NANOSECONDS);
		return place;
	}

	/**
	 * Runs all tasks that wait, in their order. Those that they hold wait on.
	 */
	void release() {
		List.copyOf(this.waiting).forEach(HeldCall::run);
	}

	/**
	 * The place of a request that waits.
	 */
	final class HeldCall {

		private final Runnable task;

		private Future<?> timer;

		private HeldCall(Runnable task) {
			this.task = new GuardedTask("held request", task);
		}

		/**
		 * Gives the place up, as nobody waits for the request any more. Its task does not
		 * run. Does nothing once it has run.
		 */
		void cancel() {
			if (HeldCalls.this.waiting.remove(this)) {
				this.timer.cancel(false);
			}
		}

		private void run() {
			if (HeldCalls.this.waiting.remove(this)) {
				this.timer.cancel(false);
				this.task.run();
			}
		}

	}

}
