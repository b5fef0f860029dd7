package org.mangorack.platform;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;

/**
 * A local cache of all objects of a kind, kept up to date by a watch. Listeners run on
 * the watch thread. The watch ends only when the cache is closed: after any failure, it
 * starts again.
 */
public final class KindCache implements AutoCloseable {

	/**
	 * Maximum retry delay where platform calls have a cost. It limits the number of calls
	 * that many instances make while the platform rejects them.
	 */
	public static final Duration LONG_RETRY_DELAY = Duration.ofMillis(900);

	private static final Duration RETRY_DELAY = Duration.ofMillis(200);

	private final ObjectStore store;

	private final ObjectKind kind;

	private final MonotonicClock clock;

	private final ContactTracker contact;

	private final Duration maxRetryDelay;

	private final Runnable onChange;

	private final Thread thread;

	private final CountDownLatch listed = new CountDownLatch(1);

	private volatile Map<String, StoredObject> objects = Map.of();

	private volatile long lastConfirmedAt;

	private volatile long lastChange;

	private volatile Snapshot snapshot = new Snapshot(Map.of(), 0);

	private volatile long lastResponseAt;

	private Duration retryDelay = RETRY_DELAY;

	private volatile boolean closed;

	/**
	 * Creates a cache that is empty until it is started.
	 * @param store the object store
	 * @param kind the kind of objects to cache
	 * @param clock measures the age of the cache
	 * @param onChange called after each change of the cache
	 */
	public KindCache(ObjectStore store, ObjectKind kind, MonotonicClock clock, Runnable onChange) {
		this(store, kind, clock, RETRY_DELAY, onChange);
	}

	/**
	 * Creates a cache whose retry delay grows with each failed attempt.
	 * @param store the object store
	 * @param kind the kind of objects to cache
	 * @param clock measures the age of the cache
	 * @param maxRetryDelay the maximum retry delay
	 * @param onChange called after each change of the cache
	 */
	public KindCache(ObjectStore store, ObjectKind kind, MonotonicClock clock, Duration maxRetryDelay,
			Runnable onChange) {
		this.maxRetryDelay = maxRetryDelay;
		this.store = store;
		this.kind = kind;
		this.clock = clock;
		this.onChange = onChange;
		this.lastConfirmedAt = clock.nanoTime() - Duration.ofDays(1).toNanos();
		this.contact = new ContactTracker(clock);
		this.lastResponseAt = this.lastConfirmedAt;
		this.thread = new Thread(this::run, "watch-" + kind.plural());
		this.thread.setDaemon(true);
	}

	/**
	 * Creates a cache without a change listener, for use where platform calls have a
	 * cost.
	 * @param store the object store
	 * @param kind the kind of objects to cache
	 * @param clock measures the age of the cache
	 * @return a cache that is empty until it is started
	 */
	public static KindCache withLongRetryDelay(ObjectStore store, ObjectKind kind, MonotonicClock clock) {
		return new KindCache(store, kind, clock, LONG_RETRY_DELAY, () -> {
		});
	}

	// ---- Life-cycle

	/**
	 * Starts the watch.
	 */
	public void start() {
		this.thread.start();
	}

	/**
	 * Waits until all objects have been listed for the first time.
	 * @param limit the maximum time to wait
	 * @return {@code true} if the cache is complete
	 * @throws InterruptedException if the thread is interrupted
	 */
	public boolean awaitListed(Duration limit) throws InterruptedException {
		return this.listed.await(limit.toMillis(), TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() {
		this.closed = true;
		this.thread.interrupt();
	}

	// ---- Accessors

	/**
	 * Returns the cached objects.
	 * @return an immutable map from name to object
	 */
	public Map<String, StoredObject> objects() {
		return this.objects;
	}

	/**
	 * Returns a cached object.
	 * @param name the name
	 * @return the object, or empty if there is none
	 */
	public Optional<StoredObject> object(String name) {
		return Optional.ofNullable(this.objects.get(name));
	}

	/**
	 * Returns the time since the cache was last confirmed to be complete. The listener
	 * has processed the content as of that time.
	 * @return the age of the cache
	 */
	public Duration age() {
		return this.clock.elapsed(this.lastConfirmedAt);
	}

	/**
	 * Returns the time since the platform last answered.
	 * @return the time since the last answer, which is at most {@link #age()}
	 */
	public Duration sinceAnswer() {
		return this.clock.elapsed(this.lastResponseAt);
	}

	/**
	 * Returns the state of the contact with the platform.
	 * @return the state of the contact
	 */
	public ContactTracker.Contact contact() {
		return this.contact.contact();
	}

	/**
	 * Returns the version of the newest observed change as a number. Platform versions
	 * increase, but are not consecutive.
	 * @return the version, or 0 if no change has been observed
	 */
	public long lastChange() {
		return this.lastChange;
	}

	/**
	 * Returns a snapshot of the objects that exactly matches a platform version.
	 * @return the snapshot at the version that the platform reported last
	 */
	public Snapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Parses a version as a number. Versions are opaque to clients, but instances can
	 * only compare their progress by number.
	 * @param version the version of an object or list
	 * @return the number, or 0 if the version is not a number
	 */
	public static long number(String version) {
		try {
			return Long.parseLong(version);
		}
		catch (NumberFormatException ex) {
			return 0;
		}
	}

	// ---- Helpers

	private void recordChange(String changed) {
		this.lastChange = Math.max(this.lastChange, number(changed));
	}

	private void run() {
		String version = null;
		while (!this.closed) {
			try {
				if (version == null) {
					version = listAll();
				}
				CacheUpdater updater = new CacheUpdater(version);
				try {
					this.store.watch(this.kind, version, updater);
				}
				finally {
					version = updater.version;
				}
			}
			catch (StoreException ex) {
				if (ex.reason() == StoreException.Reason.TOO_OLD) {
					version = null;
				}
				recordFailure(ex);
				sleepBeforeRetry();
			}
			catch (RuntimeException | Error ex) {
				// Changes may have been applied in part, so the objects are listed again.
				version = null;
				EventLog.log(Event.INTERNAL_ERROR, ex, "place", "watch of " + this.kind.plural());
				sleepBeforeRetry();
			}
		}
	}

	private void recordSuccess(long time) {
		this.lastResponseAt = this.clock.nanoTime();
		this.lastConfirmedAt = Math.max(this.lastConfirmedAt, time);
		this.retryDelay = RETRY_DELAY;
		if (this.contact.answered()) {
			EventLog.log(Event.WATCH_REGAINED, "kind", this.kind.plural());
		}
	}

	private void recordFailure(StoreException cause) {
		if (this.contact.failed()) {
			EventLog.log(Event.WATCH_RESTARTED, "kind", this.kind.plural(), "cause", cause.getMessage());
		}
	}

	private String listAll() throws StoreException {
		long requestedAt = this.clock.nanoTime();
		ObjectList list = this.store.list(this.kind);
		Map<String, StoredObject> fresh = new HashMap<>();
		list.items().forEach((object) -> fresh.put(object.name(), object));
		list.items().forEach((object) -> recordChange(object.version()));
		this.objects = Map.copyOf(fresh);
		this.snapshot = new Snapshot(this.objects, number(list.version()));
		notifyListener();
		recordSuccess(requestedAt);
		this.listed.countDown();
		return list.version();
	}

	// A failure of the listener must neither end the watch nor cause a new listing.
	private void notifyListener() {
		try {
			this.onChange.run();
		}
		catch (RuntimeException | Error ex) {
			EventLog.log(Event.INTERNAL_ERROR, ex, "place", "listener of " + this.kind.plural());
		}
	}

	private void sleepBeforeRetry() {
		try {
			long millis = this.retryDelay.toMillis();
			TimeUnit.MILLISECONDS.sleep((millis / 2) + ThreadLocalRandom.current().nextLong((millis / 2) + 1));
			Duration nextDelay = this.retryDelay.multipliedBy(3).dividedBy(2);
			this.retryDelay = (nextDelay.compareTo(this.maxRetryDelay) < 0) ? nextDelay : this.maxRetryDelay;
		}
		catch (InterruptedException ex) {
			this.closed = true;
		}
	}

	/**
	 * A snapshot of all objects of a kind at one platform version.
	 *
	 * @param objects an immutable map from name to object
	 * @param version the version as a number, or 0 before the first complete listing
	 */
	public record Snapshot(Map<String, StoredObject> objects, long version) {
	}

	/**
	 * Applies the changes reported by one watch.
	 */
	private final class CacheUpdater implements WatchListener {

		private String version;

		private CacheUpdater(String version) {
			this.version = version;
		}

		@Override
		public void changed(StoredObject object) {
			Map<String, StoredObject> next = new HashMap<>(KindCache.this.objects);
			next.put(object.name(), object);
			KindCache.this.objects = Map.copyOf(next);
			recordChange(object.version());
			notifyListener();
		}

		@Override
		public void deleted(StoredObject object) {
			Map<String, StoredObject> next = new HashMap<>(KindCache.this.objects);
			next.remove(object.name());
			KindCache.this.objects = Map.copyOf(next);
			recordChange(object.version());
			notifyListener();
		}

		@Override
		public void progress(String newVersion) {
			progress(newVersion, Duration.ZERO);
		}

		@Override
		public void progress(String newVersion, Duration age) {
			this.version = newVersion;
			KindCache.this.snapshot = new Snapshot(KindCache.this.objects, number(newVersion));
			recordSuccess(KindCache.this.clock.nanoTime() - age.toNanos());
		}

	}

}
