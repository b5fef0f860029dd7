package org.mangorack.observe;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Timer;

/**
 * Measures how late an event loop runs its tasks, which tells a process that lacks
 * processor time from a peer that does not reply. Thread-safe.
 */
public final class LoopDelay {

	/**
	 * The interval between two measurements.
	 */
	public static final Duration INTERVAL = Duration.ofMillis(100);

	/**
	 * The delay above which the loop is reported as late.
	 */
	public static final Duration REPORTED = Duration.ofMillis(500);

	/**
	 * How long a delay counts as recent, at least.
	 */
	public static final Duration WINDOW = Duration.ofSeconds(5);

	private final ScheduledExecutorService loop;

	private final MonotonicClock clock;

	private final Timer delays;

	private long dueAt;

	private long windowStartedAt;

	private long longestInWindow;

	private long longestBefore;

	private volatile long longest;

	/**
	 * Creates a measurement that is not started.
	 * @param loop the event loop
	 * @param clock the time source
	 * @param metrics receives the delays
	 */
	public LoopDelay(ScheduledExecutorService loop, MonotonicClock clock, Metrics metrics) {
		this.loop = loop;
		this.clock = clock;
		this.delays = metrics.timer("mangorack.loop.delay");
	}

	/**
	 * Starts to measure, until the event loop is shut down.
	 */
	public void start() {
		this.windowStartedAt = this.clock.nanoTime();
		scheduleNext();
	}

	/**
	 * Returns the longest recent delay.
	 * @return the longest delay in the last one to two windows
	 */
	public Duration longest() {
		return Duration.ofNanos(this.longest);
	}

	private void scheduleNext() {
		this.dueAt = this.clock.nanoTime() + INTERVAL.toNanos();
		if (!this.loop.isShutdown()) {
			this.loop.schedule(this::measure, INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
		}
	}

	private void measure() {
		long now = this.clock.nanoTime();
		long delay = Math.max(0, now - this.dueAt);
		this.delays.record(delay, TimeUnit.NANOSECONDS);
		if (delay > REPORTED.toNanos()) {
			EventLog.log(Event.LOOP_LATE, "delayMillis", TimeUnit.NANOSECONDS.toMillis(delay));
		}
		if (now - this.windowStartedAt > WINDOW.toNanos()) {
			this.windowStartedAt = now;
			this.longestBefore = this.longestInWindow;
			this.longestInWindow = 0;
		}
		this.longestInWindow = Math.max(this.longestInWindow, delay);
		this.longest = Math.max(this.longestBefore, this.longestInWindow);
		scheduleNext();
	}

}
