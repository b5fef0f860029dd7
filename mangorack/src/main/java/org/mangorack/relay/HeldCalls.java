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
 * Requests that are held until the entry has the information to decide on them. Not
 * thread-safe: used only on the traffic event loop.
 */
final class HeldCalls {

	/**
	 * The largest share of its remaining time that a request is held, so that enough time
	 * is left to serve it.
	 */
	static final double MAX_WAIT_FRACTION = 0.4;

	private final EventLoop loop;

	// In the order of arrival.
	private final Set<HeldCall> waiting = new LinkedHashSet<>();

	HeldCalls(EventLoop loop) {
		this.loop = loop;
	}

	/**
	 * Returns the longest time that a request is held.
	 * @param maximum the upper bound for all requests
	 * @param remainingTime the remaining time until the caller's deadline, or
	 * {@code null} if unknown
	 * @return the longest time for this request
	 */
	static Duration maxWait(Duration maximum, Duration remainingTime) {
		if (remainingTime == null) {
			return maximum;
		}
		Duration share = Duration.ofNanos((long) (remainingTime.toNanos() * MAX_WAIT_FRACTION));
		return (share.compareTo(maximum) < 0) ? share : maximum;
	}

	int size() {
		return this.waiting.size();
	}

	/**
	 * Runs a task after a delay, or earlier when the requests are released, unless it is
	 * cancelled before.
	 * @param wait the delay
	 * @param task the task, which runs at most once
	 * @return the held request
	 */
	HeldCall hold(Duration wait, Runnable task) {
		HeldCall heldCall = new HeldCall(task);
		this.waiting.add(heldCall);
		heldCall.timer = this.loop.schedule(heldCall::run, wait.toNanos(), TimeUnit.NANOSECONDS);
		return heldCall;
	}

	/**
	 * Runs all held tasks in the order of arrival. Requests that these tasks hold in turn
	 * are not released.
	 */
	void release() {
		List.copyOf(this.waiting).forEach(HeldCall::run);
	}

	/**
	 * A request that is held.
	 */
	final class HeldCall {

		private final Runnable task;

		private Future<?> timer;

		private HeldCall(Runnable task) {
			this.task = new GuardedTask("held request", task);
		}

		/**
		 * Cancels the held request, because its caller no longer waits for it: its task
		 * does not run. Has no effect once the task has run.
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
