package org.mangorack.platform;

import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.call.Jsons;
import org.mangorack.observe.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link KindCache}.
 */
class KindCacheTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private final BlockingQueue<String> changes = new LinkedBlockingQueue<>();

	private final BlockingQueue<String> processed = new LinkedBlockingQueue<>();

	// The store throws each of them once.
	private final BlockingQueue<Throwable> failures = new LinkedBlockingQueue<>();

	@Test
	void failingListenerDoesNotEndTheWatch() throws InterruptedException {
		try (KindCache cache = new KindCache(store(), ObjectKind.UPSTREAM, MonotonicClock.SYSTEM,
				this::throwFromListener)) {
			cache.start();
			this.changes.add("a");
			assertThat(this.processed.poll(LIMIT.toMillis(), TimeUnit.MILLISECONDS)).isEqualTo("a");
			this.changes.add("b");
			assertThat(this.processed.poll(LIMIT.toMillis(), TimeUnit.MILLISECONDS)).isEqualTo("b");
			assertThat(cache.object("b")).isPresent();
		}
	}

	// If the cache were confirmed before the listener returns, callers would rely
	// on state that the listener has not yet derived from the new objects.
	@Test
	void listedObjectsAreNotConfirmedBeforeTheListenerReturns() throws InterruptedException {
		CountDownLatch listenerStarted = new CountDownLatch(1);
		CountDownLatch listenerMayReturn = new CountDownLatch(1);
		try (KindCache cache = new KindCache(store(), ObjectKind.UPSTREAM, MonotonicClock.SYSTEM, () -> {
			listenerStarted.countDown();
			await(listenerMayReturn);
		})) {
			cache.start();
			assertThat(listenerStarted.await(LIMIT.toMillis(), TimeUnit.MILLISECONDS)).isTrue();
			assertThat(cache.age()).isGreaterThan(Duration.ofHours(1));
			listenerMayReturn.countDown();
			assertThat(cache.awaitListed(LIMIT)).isTrue();
			assertThat(cache.age()).isLessThan(LIMIT);
		}
	}

	@ParameterizedTest
	@ValueSource(classes = { IllegalStateException.class, StackOverflowError.class, OutOfMemoryError.class })
	void anUnexpectedFailureOfListOrWatchDoesNotEndTheWatch(Class<? extends Throwable> type) throws Exception {
		Throwable failure = type.getConstructor(String.class).newInstance("thrown by the store");
		this.failures.add(failure);
		try (KindCache cache = new KindCache(store(), ObjectKind.UPSTREAM, MonotonicClock.SYSTEM, () -> {
		})) {
			cache.start();
			assertThat(cache.awaitListed(LIMIT)).isTrue();
			this.changes.add("a");
			assertThat(this.processed.poll(LIMIT.toMillis(), TimeUnit.MILLISECONDS)).isEqualTo("a");
			this.failures.add(failure);
			this.changes.add("b");
			this.changes.add("c");
			assertThat(this.processed.poll(LIMIT.toMillis(), TimeUnit.MILLISECONDS)).isEqualTo("c");
			assertThat(cache.object("c")).isPresent();
		}
	}

	@Test
	void anErrorOfTheListenerDoesNotEndTheWatch() throws InterruptedException {
		try (KindCache cache = new KindCache(store(), ObjectKind.UPSTREAM, MonotonicClock.SYSTEM, () -> {
			throw new StackOverflowError("thrown by the listener");
		})) {
			cache.start();
			this.changes.add("a");
			assertThat(this.processed.poll(LIMIT.toMillis(), TimeUnit.MILLISECONDS)).isEqualTo("a");
			assertThat(cache.awaitListed(LIMIT)).isTrue();
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await(LIMIT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void throwFromListener() {
		throw new IllegalStateException("thrown by the listener");
	}

	// Each watch reports the next change and records it once the cache has processed it.
	private ObjectStore store() {
		return (ObjectStore) Proxy.newProxyInstance(ObjectStore.class.getClassLoader(),
				new Class<?>[] { ObjectStore.class }, (proxy, method, arguments) -> {
					if (method.getName().equals("list")) {
						throwNextFailure();
						return new ObjectList("1", List.of());
					}
					String name = this.changes.take();
					throwNextFailure();
					WatchListener listener = (WatchListener) arguments[2];
					listener.changed(new StoredObject(name, "2", Jsons.object()));
					this.processed.add(name);
					return null;
				});
	}

	private void throwNextFailure() throws Throwable {
		Throwable failure = this.failures.poll();
		if (failure != null) {
			throw failure;
		}
	}

}
