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
 * Tests for copies of the platform whose watches hear nothing while changes are made, and
 * are cut then.
 */
class DeafWatchTests {

	// Longer than the limit, so that a copy which sits out one more wait comes too late.
	private static final Duration LONG_WAIT = Duration.ofSeconds(30);

	// Ends within the silence, also with what the client adds to it.
	private static final Duration SHORT_WAIT = Duration.ofMillis(200);

	private static final Duration SILENCE = Duration.ofSeconds(1);

	private static final Duration LIMIT = Duration.ofSeconds(10);

	private final FleetStoreStandIn store = new FleetStoreStandIn(0);

	private final PooledHttpClient client = new PooledHttpClient(LIMIT);

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
	void aChangeInTheSilenceIsLearntSoonAfterTheCut() throws IOException, InterruptedException {
		try (KindCache copy = newCopy(LONG_WAIT)) {
			copy.start();
			put("heard");
			await(copy, "heard");
			// The watch of now uses the connection on which the first was answered.
			this.store.stallWatches();
			put("unheard");
			TimeUnit.MILLISECONDS.sleep(SILENCE.toMillis());
			this.store.closeStalledWatches();
			await(copy, "unheard");
		}
	}

	@Test
	void aWatchWithoutAnAnswerConfirmsNothing() throws IOException, InterruptedException {
		try (KindCache copy = newCopy(SHORT_WAIT)) {
			copy.start();
			put("heard");
			await(copy, "heard");
			this.store.stallWatches();
			put("unheard");
			long changedAt = System.nanoTime();
			long until = changedAt + SILENCE.toNanos();
			while (System.nanoTime() - until < 0) {
				long sinceChange = System.nanoTime() - changedAt;
				assertThat(copy.age().toNanos()).as("age of a copy without the change").isGreaterThan(sinceChange);
				TimeUnit.MILLISECONDS.sleep(10);
			}
			this.store.closeStalledWatches();
			await(copy, "unheard");
		}
	}

	private KindCache newCopy(Duration wait) {
		PlatformStore platform = new PlatformStore(HttpAddress.parse(this.store.address()), this.client, (kind) -> wait,
				MonotonicClock.SYSTEM, new Metrics());
		return KindCache.withLongRetryDelay(platform, ObjectKind.UPSTREAM, MonotonicClock.SYSTEM);
	}

	private void put(String name) throws IOException {
		this.store.put("servers", name, TestFleetNodes.object("{}"));
	}

	private static void await(KindCache copy, String name) throws InterruptedException {
		long startedAt = System.nanoTime();
		while (copy.object(name).isEmpty()) {
			assertThat(System.nanoTime() - startedAt).as("time in which the copy did not learn of \"" + name + "\"")
				.isLessThan(LIMIT.toNanos());
			TimeUnit.MILLISECONDS.sleep(10);
		}
	}

}
