package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

import org.mangorack.observe.MonotonicClock;

/**
 * Sends documents to a few entries at a time, so that a new configuration leaves room on
 * the link for beats and calls. A transfer ends once the system has taken its bytes, so
 * this bounds documents that are larger than the buffers of a connection. Used by the
 * thread of one event loop.
 */
final class ConfigurationTransfers {

	/**
	 * The transfers under way at once.
	 */
	static final int MAX_TRANSFERS = 2;

	/**
	 * A transfer that takes longer no longer holds others up: its receiver is paused or
	 * cut off.
	 */
	static final Duration TRANSFER_LIMIT = Duration.ofMillis(500);

	/**
	 * A request that waited longer is dropped, since its sender asks another keeper.
	 */
	static final Duration QUEUE_LIMIT = Duration.ofMillis(700);

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final Deque<Waiting> queue = new ArrayDeque<>();

	private int active;

	ConfigurationTransfers(EventLoop loop, MonotonicClock clock) {
		this.loop = loop;
		this.clock = clock;
	}

	/**
	 * Starts a transfer, once fewer than the most are under way.
	 * @param transfer starts it and runs its argument once the bytes were written
	 * @param dropped runs instead if it waited too long
	 */
	void add(Consumer<Runnable> transfer, Runnable dropped) {
		this.queue.add(new Waiting(transfer, dropped, this.clock.nanoTime()));
		startNext();
	}

	private void startNext() {
		while ((this.active < MAX_TRANSFERS) && !this.queue.isEmpty()) {
			Waiting next = this.queue.poll();
			if (this.clock.elapsed(next.since()).compareTo(QUEUE_LIMIT) <= 0) {
				start(next.transfer());
			}
			else {
				next.dropped().run();
			}
		}
	}

	private void start(Consumer<Runnable> transfer) {
		this.active++;
		boolean[] ended = new boolean[1];
		Runnable end = () -> {
			if (!ended[0]) {
				ended[0] = true;
				this.active--;
				startNext();
			}
		};
		this.loop.schedule(end, TRANSFER_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
		transfer.accept(end);
	}

	/**
	 * A transfer that waits.
	 *
	 * @param transfer starts it
	 * @param dropped runs if it waited too long
	 * @param since when it was asked for, on the monotonic clock
	 */
	private record Waiting(Consumer<Runnable> transfer, Runnable dropped, long since) {
	}

}
