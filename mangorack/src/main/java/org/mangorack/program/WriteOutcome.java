package org.mangorack.program;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/**
 * The outcome of waiting for a journal write.
 */
public enum WriteOutcome {

	/** The entries are durable. */
	DURABLE,

	/**
	 * The write did not complete in time, for example because the platform is
	 * unavailable. The entries may still become durable.
	 */
	PENDING,

	/**
	 * The write failed and the entries will not become durable, because another instance
	 * owns the shard.
	 */
	LOST;

	private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

	/**
	 * Waits for a journal write. Stops waiting early if the platform is unavailable.
	 * @param write the write
	 * @param limit the maximum time to wait
	 * @param platformUnavailable returns whether the platform is unavailable
	 * @return the outcome
	 */
	public static WriteOutcome await(CompletableFuture<Void> write, Duration limit,
			BooleanSupplier platformUnavailable) {
		long deadline = System.nanoTime() + limit.toNanos();
		while (true) {
			try {
				write.get(POLL_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
				return DURABLE;
			}
			catch (TimeoutException ex) {
				if (platformUnavailable.getAsBoolean() || (System.nanoTime() > deadline)) {
					return PENDING;
				}
			}
			catch (ExecutionException ex) {
				return LOST;
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return PENDING;
			}
		}
	}

}
