package org.mangorack.observe;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GuardedTask}.
 */
class GuardedTaskTests {

	@Test
	void anErrorDoesNotCancelAPeriodicTask() throws InterruptedException {
		CountDownLatch runs = new CountDownLatch(3);
		ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("test"));
		try {
			executor.scheduleWithFixedDelay(new GuardedTask("failing", () -> {
				runs.countDown();
				throw new StackOverflowError("thrown by the task");
			}), 0, 1, TimeUnit.MILLISECONDS);
			assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
		}
		finally {
			executor.shutdownNow();
		}
	}

}
