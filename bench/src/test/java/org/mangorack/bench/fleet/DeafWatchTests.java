package org.mangorack.bench.fleet;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mangorack.bench.standin.FleetStoreStandIn;
import org.mangorack.http.HttpAddress;
import org.mangorack.http.PooledHttpClient;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.KindCache;
import org.mangorack.platform.ObjectKind;
import org.mangorack.wire.PlatformStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for caches of platform objects whose watches stall while objects change, and
 * whose connections are closed afterwards.
 */
class DeafWatchTests {

	// Exceeds the test's timeout, so that a cache that waits for another full watch
	// period fails the test.
	private static final Duration LONG_WAIT = Duration.ofSeconds(30);

	// Expires during the stall, even with the margin that the client adds.
	private static final Duration SHORT_WAIT = Duration.ofMillis(200);

	private static final Duration STALL_TIME = Duration.ofSeconds(1);

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final FleetStoreStandIn store = new FleetStoreStandIn(0);

	private final PooledHttpClient client = new PooledHttpClient(TIMEOUT);

	@BeforeEach
	void start() throws IOException {
		this.store.start();
	}

	@AfterEach
	void stop() {
		this.client.close();
		this.store.close();
	}

	@Test
	void aChangeDuringAStallIsSeenSoonAfterTheConnectionCloses() throws IOException, InterruptedException {
		try (KindCache cache = newCache(LONG_WAIT)) {
			cache.start();
			put("heard");
			await(cache, "heard");
			// The current watch reuses the connection that delivered the first change.
			this.store.stallWatches();
			put("unheard");
			TimeUnit.MILLISECONDS.sleep(STALL_TIME.toMillis());
			this.store.closeStalledWatches();
			await(cache, "unheard");
		}
	}

	@Test
	void aWatchWithoutAResponseDoesNotConfirmTheCache() throws IOException, InterruptedException {
		try (KindCache cache = newCache(SHORT_WAIT)) {
			cache.start();
			put("heard");
			await(cache, "heard");
			this.store.stallWatches();
			put("unheard");
			long changedAt = System.nanoTime();
			long until = changedAt + STALL_TIME.toNanos();
			while (System.nanoTime() - until < 0) {
				long sinceChange = System.nanoTime() - changedAt;
				assertThat(cache.age().toNanos()).as("age of a cache without the change").isGreaterThan(sinceChange);
				TimeUnit.MILLISECONDS.sleep(10);
			}
			this.store.closeStalledWatches();
			await(cache, "unheard");
		}
	}

	private KindCache newCache(Duration wait) {
		PlatformStore platform = new PlatformStore(HttpAddress.parse(this.store.address()), this.client, (kind) -> wait,
				MonotonicClock.SYSTEM, new Metrics());
		return KindCache.withLongRetryDelay(platform, ObjectKind.UPSTREAM, MonotonicClock.SYSTEM);
	}

	private void put(String name) throws IOException {
		this.store.put("servers", name, TestFleetNodes.object("{}"));
	}

	private static void await(KindCache cache, String name) throws InterruptedException {
		long startedAt = System.nanoTime();
		while (cache.object(name).isEmpty()) {
			assertThat(System.nanoTime() - startedAt).as("time in which the cache did not receive \"" + name + "\"")
				.isLessThan(TIMEOUT.toNanos());
			TimeUnit.MILLISECONDS.sleep(10);
		}
	}

}
