package org.mangorack.call;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Utility methods for futures.
 */
public final class Futures {

	private Futures() {
	}

	/**
	 * Waits until a future completes, normally or exceptionally.
	 * @param future the future
	 * @param limit the maximum time to wait
	 * @return {@code true} if the future completed, {@code false} if it did not complete
	 * in time or the thread was interrupted
	 */
	public static boolean awaitCompletion(CompletableFuture<?> future, Duration limit) {
		try {
			future.get(Math.max(1, limit.toNanos()), TimeUnit.NANOSECONDS);
			return true;
		}
		catch (ExecutionException ex) {
			return true;
		}
		catch (TimeoutException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
