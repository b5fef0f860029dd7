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
	 * The fraction of its time that a request is held at maximum, so that enough is left
	 * to serve it.
	 */
	static final double MAX_WAIT_FRACTION = 0.4;

	private final EventLoop loop;

	// In the order of their arrival.
	private final Set<HeldCall> waiting = new LinkedHashSet<>();

	HeldCalls(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Returns how long a request is held at maximum.
	 * @param maximum the longest time for any request
	 * @param timeLeft the time that the caller waits, or {@code null} if it is not known
	 * @return the longest time for this request
	 */
	static Duration limit(Duration maximum, Duration timeLeft) {
		if (timeLeft == null) {
			return maximum;
		}
		Duration fraction = Duration.ofNanos((long) (timeLeft.toNanos() * MAX_WAIT_FRACTION));
		return (fraction.compareTo(maximum) < 0) ? fraction : maximum;
	}

	int size() {
		return this.waiting.size();
	}

	/**
	 * Runs a task when the wait is over, unless it is released or cancelled before.
	 * @param wait how long to wait
	 * @param task the task, which runs at maximum once
	 * @return its heldCall
	 */
	HeldCall hold(Duration wait, Runnable task) {
		HeldCall heldCall = new HeldCall(task);
		this.waiting.add(heldCall);
		heldCall.timer = this.loop.schedule(heldCall::run, wait.toNanos(), TimeUnit.NANOSECONDS);
		return heldCall;
	}

	/**
	 * Runs all tasks that wait, in their order. Those that they hold wait on.
	 */
	void release() {
		List.copyOf(this.waiting).forEach(HeldCall::run);
	}

	/**
	 * The heldCall of a request that waits.
	 */
	final class HeldCall {

		private final Runnable task;

		private Future<?> timer;

		private HeldCall(Runnable task) {
			this.task = new GuardedTask("held request", task);
		}

		/**
		 * Gives the heldCall up, as nobody waits for the request any more. Its task does
		 * not run. Does nothing once it has run.
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
