package org.mangorack.dispatch;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.vavr.control.Either;

import org.mangorack.call.Refusal;
import org.mangorack.call.UpstreamId;
import org.mangorack.config.Configuration;
import org.mangorack.config.Upstream;
import org.mangorack.config.UpstreamKind;
import org.mangorack.observe.MonotonicClock;

/**
 * Selects upstreams by the number of calls that this instance has in flight at each. The
 * upstream that ran the last turn of a program is preferred as long as its load is close
 * to that of the least loaded one. An upstream that fails is avoided for a time that
 * doubles with each consecutive failure, up to a limit.
 */
public final class Dispatcher {

	private static final Duration INITIAL_BACKOFF = Duration.ofMillis(500);

	private static final Duration MAX_BACKOFF = Duration.ofSeconds(8);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final int AFFINITY_LOAD_MARGIN = 4;

	private final Supplier<Configuration> configuration;

	private final String dataCentre;

	private final MonotonicClock clock;

	private final Map<UpstreamId, UpstreamLoad> loads = new HashMap<>();

	private int waiting;

	/**
	 * Creates a dispatcher without calls in flight.
	 * @param configuration supplies the current configuration
	 * @param dataCentre the data centre of this instance
	 * @param clock the time source
	 */
	public Dispatcher(Supplier<Configuration> configuration, String dataCentre, MonotonicClock clock) {
		this.configuration = configuration;
		this.dataCentre = dataCentre;
		this.clock = clock;
	}

	// ---- Public API

	/**
	 * Acquires a slot at the best upstream of a pool, and waits if none is free.
	 * @param kind the kind of the upstream
	 * @param pool the name of the pool or model
	 * @param preferred the upstream that probably caches the history, or an empty string
	 * @param excluded the upstreams at which this call has already failed
	 * @param maxWait the maximum time to wait
	 * @return the slot, or the refusal
	 */
	public synchronized Either<Refusal, Slot> acquire(UpstreamKind kind, String pool, String preferred,
			Set<UpstreamId> excluded, Duration maxWait) {
		long deadline = this.clock.nanoTime() + maxWait.toNanos();
		while (true) {
			List<Upstream> usable = usable(kind, pool, excluded);
			if (usable.isEmpty()) {
				return Either.left(Refusal.unavailable("no_upstream", "no upstream of \"" + pool + "\" is available",
						RETRY_AFTER));
			}
			Optional<Upstream> best = best(usable, preferred);
			if (best.isPresent()) {
				UpstreamLoad load = load(best.get());
				load.callStarted();
				return Either.right(new LocalSlot(best.get(), load, this));
			}
			int capacity = usable.stream().mapToInt(Upstream::maxConcurrent).sum();
			if ((this.waiting >= capacity) || !awaitRelease(deadline)) {
				return Either.left(Refusal.unavailable("upstreams_full", "all upstreams of \"" + pool + "\" are busy",
						RETRY_AFTER));
			}
		}
	}

	// ---- Callbacks of slots

	synchronized void released(UpstreamLoad load) {
		load.callFinished();
		notifyAll();
	}

	synchronized void failed(UpstreamLoad load) {
		long backoffNanos = Math.min(MAX_BACKOFF.toNanos(), INITIAL_BACKOFF.toNanos() << Math.min(load.failures(), 10));
		load.failed(this.clock.nanoTime() + backoffNanos);
	}

	synchronized void answered(UpstreamLoad load) {
		load.answered();
	}

	// ---- Helpers

	private List<Upstream> usable(UpstreamKind kind, String pool, Set<UpstreamId> excluded) {
		long now = this.clock.nanoTime();
		List<Upstream> eligible = this.configuration.get()
			.pool(kind, pool)
			.stream()
			.filter((u) -> !u.leaving() && !excluded.contains(u.id()))
			.toList();
		List<Upstream> healthy = eligible.stream().filter((u) -> !load(u).isAvoided(now)).toList();
		return healthy.isEmpty() ? eligible : healthy;
	}

	private Optional<Upstream> best(List<Upstream> usable, String preferred) {
		List<Upstream> free = usable.stream().filter((u) -> load(u).inFlight() < u.maxConcurrent()).toList();
		Optional<Upstream> leastLoaded = free.stream()
			.min(Comparator.comparingDouble(this::relativeLoad)
				.thenComparing((u) -> !u.dataCentre().equals(this.dataCentre))
				.thenComparing((u) -> u.id().value()));
		Optional<Upstream> cached = free.stream().filter((u) -> u.id().value().equals(preferred)).findFirst();
		boolean keepCached = cached.isPresent()
				&& (load(cached.get()).inFlight() <= load(leastLoaded.get()).inFlight() + AFFINITY_LOAD_MARGIN);
		return keepCached ? cached : leastLoaded;
	}

	private double relativeLoad(Upstream upstream) {
		return load(upstream).inFlight() / (double) upstream.maxConcurrent();
	}

	private UpstreamLoad load(Upstream upstream) {
		return this.loads.computeIfAbsent(upstream.id(), (id) -> new UpstreamLoad());
	}

	private boolean awaitRelease(long deadline) {
		long millis = (deadline - this.clock.nanoTime()) / 1_000_000;
		if (millis <= 0) {
			return false;
		}
		this.waiting++;
		try {
			wait(millis);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		finally {
			this.waiting--;
		}
	}

}
