package org.mangorack.keeper;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

import org.mangorack.observe.MonotonicClock;

/**
 * Limits how many configuration documents are sent to entries concurrently, so that a new
 * configuration leaves bandwidth on the link for heartbeats and calls. A transfer ends
 * once the operating system has accepted its bytes, so the limit is effective only for
 * documents larger than the buffers of a connection. Not thread-safe: confined to one
 * event loop.
 */
final class ConfigurationTransfers {

	/**
	 * The maximum number of concurrent transfers.
	 */
	static final int MAX_TRANSFERS = 2;

	/**
	 * A transfer that takes longer no longer counts towards {@link #MAX_TRANSFERS}, since
	 * its receiver is probably paused or unreachable and would block the others.
	 */
	static final Duration TRANSFER_TIMEOUT = Duration.ofMillis(500);

	/**
	 * A request that was queued for longer is dropped, since its sender will have asked
	 * another keeper.
	 */
	static final Duration QUEUE_TIMEOUT = Duration.ofMillis(700);

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final Deque<QueuedTransfer> queue = new ArrayDeque<>();

	private int active;

	ConfigurationTransfers(EventLoop loop, MonotonicClock clock) {
		this.loop = loop;
		this.clock = clock;
	}

	/**
	 * Starts a transfer as soon as fewer than {@link #MAX_TRANSFERS} are active.
	 * @param transfer starts the transfer; it must run its argument once the bytes have
	 * been written
	 * @param dropped runs instead if the transfer was queued for too long
	 */
	void add(Consumer<Runnable> transfer, Runnable dropped) {
		this.queue.add(new QueuedTransfer(transfer, dropped, this.clock.nanoTime()));
		startNext();
	}

	private void startNext() {
		while ((this.active < MAX_TRANSFERS) && !this.queue.isEmpty()) {
			QueuedTransfer next = this.queue.poll();
			if (this.clock.elapsed(next.queuedAt()).compareTo(QUEUE_TIMEOUT) <= 0) {
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
		this.loop.schedule(end, TRANSFER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		transfer.accept(end);
	}

	/**
	 * A queued transfer.
	 *
	 * @param transfer starts the transfer
	 * @param dropped runs instead if the transfer was queued for too long
	 * @param queuedAt when it was queued, on the monotonic clock
	 */
	private record QueuedTransfer(Consumer<Runnable> transfer, Runnable dropped, long queuedAt) {
	}

}
