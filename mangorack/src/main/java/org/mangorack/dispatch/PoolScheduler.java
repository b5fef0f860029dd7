package org.mangorack.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;

import io.vavr.control.Either;

import org.mangorack.call.Refusal;
import org.mangorack.call.UpstreamId;
import org.mangorack.config.DispatchSettings;
import org.mangorack.config.Upstream;
import org.mangorack.dispatch.PoolUpstream.HeldSlot;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotReport;
import org.mangorack.member.proto.SlotRequest;
import org.mangorack.member.proto.SlotResult;
import org.mangorack.observe.MonotonicClock;

/**
 * Manages the queue and the slots of one pool at its owner. Engines do not support
 * priorities, so calls are queued here instead of at the engine.
 */
final class PoolScheduler {

	private static final Duration REPORT_GRACE_PERIOD = Duration.ofSeconds(2);

	private static final Duration INITIAL_REPORTS_TIMEOUT = Duration.ofMillis(1200);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final double AGEING_TOKENS_PER_SECOND = 500;

	private static final double CACHE_WAIT_FACTOR = 10;

	private static final double RATE_SMOOTHING_FACTOR = 0.05;

	private final MonotonicClock clock;

	private final long createdAt;

	private final boolean firstOwner;

	private final Map<UpstreamId, PoolUpstream> upstreams = new LinkedHashMap<>();

	private final List<QueuedCall> queue = new ArrayList<>();

	private final FairShares shares = new FairShares();

	private final WorkEstimator estimator = new WorkEstimator();

	private final Set<String> reportedInstances = new HashSet<>();

	private DispatchSettings settings = DispatchSettings.DEFAULT;

	private DispatchPolicy policy = DispatchPolicy.FAIR;

	private Set<String> instances = Set.of();

	private List<Upstream> configured = List.of();

	private double completionsPerSecond = 10;

	private long lastCompletion;

	/**
	 * Creates the scheduler of a pool without upstreams.
	 * @param clock the time source
	 * @param firstOwner whether the pool had no previous owner. Otherwise, slots that the
	 * previous owner granted may still be in use, and no slot is granted until all live
	 * instances have reported or {@link #INITIAL_REPORTS_TIMEOUT} has elapsed
	 */
	PoolScheduler(MonotonicClock clock, boolean firstOwner) {
		this.clock = clock;
		this.createdAt = clock.nanoTime();
		this.firstOwner = firstOwner;
	}

	// ---- Public API

	/**
	 * Applies the configuration and the set of live instances. Slots of instances that
	 * are no longer live are freed.
	 * @param configured the upstreams of the pool
	 * @param newSettings the dispatch settings
	 * @param live the names of the live instances
	 */
	synchronized void configure(List<Upstream> configured, DispatchSettings newSettings, Set<String> live) {
		if (configured.equals(this.configured) && newSettings.equals(this.settings) && live.equals(this.instances)) {
			return;
		}
		this.configured = List.copyOf(configured);
		this.settings = newSettings;
		this.policy = DispatchPolicy.parse(newSettings.policy());
		Set<UpstreamId> ids = new HashSet<>();
		for (Upstream u : configured) {
			ids.add(u.id());
			this.upstreams.computeIfAbsent(u.id(), (id) -> new PoolUpstream(u)).configure(u);
		}
		this.upstreams.keySet().retainAll(ids);
		if (!live.equals(this.instances)) {
			this.instances = Set.copyOf(live);
			this.upstreams.values().forEach((u) -> u.slots().values().removeIf((s) -> !live.contains(s.instance())));
		}
	}

	/**
	 * Queues a call, or refuses it at once if its expected wait exceeds its maximum wait.
	 * @param request the call
	 * @param weight the weight of the workspace of the call
	 * @return a future that completes with the slot or the refusal
	 */
	CompletableFuture<Either<Refusal, SlotAssignment>> submit(SlotRequest request, double weight) {
		long now = this.clock.nanoTime();
		Duration maxWait = Duration.ofMillis(request.getMaxWaitMillis());
		QueuedCall call = new QueuedCall(request, weight, Set.copyOf(request.getExcludedList()), now,
				now + maxWait.toNanos(), new CompletableFuture<>());
		List<Runnable> completions;
		synchronized (this) {
			Duration expected = expectedWait(call);
			if (expected.compareTo(maxWait) > 0) {
				return CompletableFuture.completedFuture(Either.left(upstreamsFull(request, expected)));
			}
			this.queue.add(call);
			completions = assign();
		}
		completions.forEach(Runnable::run);
		return call.assignment();
	}

	/**
	 * Processes the report of an instance: releases slots, updates the statistics by the
	 * results, and reconciles the slots in use if the report is complete.
	 * @param report the report
	 */
	void report(SlotReport report) {
		List<Runnable> completions;
		synchronized (this) {
			report.getResultsList().forEach(this::release);
			if (report.getComplete()) {
				this.reportedInstances.add(report.getInstance());
				reconcile(report);
			}
			completions = assign();
		}
		completions.forEach(Runnable::run);
	}

	/**
	 * Refuses calls whose deadline has passed, and assigns slots that have become
	 * available through the passage of time, such as those of an upstream whose backoff
	 * has ended.
	 */
	void tick() {
		List<Runnable> completions;
		synchronized (this) {
			long now = this.clock.nanoTime();
			completions = new ArrayList<>();
			this.queue.removeIf((call) -> {
				boolean expired = now >= call.deadline();
				if (expired) {
					Refusal refusal = upstreamsFull(call.request(), RETRY_AFTER);
					completions.add(() -> call.assignment().complete(Either.left(refusal)));
				}
				return expired;
			});
			completions.addAll(assign());
			this.shares.evictIdle();
		}
		completions.forEach(Runnable::run);
	}

	/**
	 * Cancels all queued calls, because another instance now owns the pool.
	 */
	void close() {
		List<QueuedCall> remaining;
		synchronized (this) {
			remaining = new ArrayList<>(this.queue);
			this.queue.clear();
		}
		remaining.forEach((call) -> call.assignment().cancel(false));
	}

	// ---- Callbacks of policies

	List<QueuedCall> arrivalOrder() {
		return new ArrayList<>(this.queue);
	}

	List<QueuedCall> fairOrder() {
		long now = this.clock.nanoTime();
		Map<String, Double> tags = new HashMap<>();
		this.queue.forEach((c) -> tags.computeIfAbsent(c.workspace(), this.shares::startTag));
		List<QueuedCall> ordered = new ArrayList<>(this.queue);
		ordered.sort(Comparator.comparingDouble((QueuedCall c) -> tags.get(c.workspace()))
			.thenComparing((c) -> !hasFreeSlotAtPreferred(c))
			.thenComparingDouble((c) -> score(c, now)));
		return ordered;
	}

	/**
	 * Selects the upstream that caches the history of a call. If that upstream has no
	 * free slot, the call waits for it for up to {@link #CACHE_WAIT_FACTOR} times as long
	 * as the prefill of the cached tokens would take elsewhere.
	 * @param call the call
	 * @param free the upstreams with a free slot
	 * @return the upstream, or empty if the call should stay queued
	 */
	Optional<PoolUpstream> placeByCache(QueuedCall call, List<PoolUpstream> free) {
		Optional<PoolUpstream> cached = free.stream()
			.filter((u) -> u.id().value().equals(call.preferred()))
			.findFirst();
		if (!this.settings.affinity()) {
			return leastLoaded(free);
		}
		if (cached.isPresent()) {
			return cached;
		}
		boolean worthWaiting = isUsable(call.preferred(), call) && (waitedMillis(call) < CACHE_WAIT_FACTOR
				* this.estimator.prefillMillis(call.request().getCachedTokens()));
		return worthWaiting ? Optional.empty() : leastLoaded(free);
	}

	boolean isUsable(String upstream, QueuedCall call) {
		if (upstream.isEmpty() || call.excluded().contains(upstream)) {
			return false;
		}
		PoolUpstream known = this.upstreams.get(new UpstreamId(upstream));
		return (known != null) && known.isUsable(this.clock.nanoTime());
	}

	// ---- Helpers

	private boolean hasFreeSlotAtPreferred(QueuedCall call) {
		return this.settings.affinity() && isUsable(call.preferred(), call)
				&& this.upstreams.get(new UpstreamId(call.preferred())).hasFreeSlot(this.settings.adaptive());
	}

	static Optional<PoolUpstream> leastLoaded(List<PoolUpstream> free) {
		return free.stream().min(Comparator.comparingDouble(PoolUpstream::relativeLoad));
	}

	private double waitedMillis(QueuedCall call) {
		return (this.clock.nanoTime() - call.arrivedAt()) / 1e6;
	}

	private static double score(QueuedCall call, long now) {
		double waited = (now - call.arrivedAt()) / 1e9;
		return call.request().getAttainedTokens() - (waited * AGEING_TOKENS_PER_SECOND);
	}

	/**
	 * Assigns free slots to queued calls.
	 * @return the actions that complete the futures of the assigned calls, to be run
	 * after the monitor has been released
	 */
	private List<Runnable> assign() {
		List<Runnable> completions = new ArrayList<>();
		if (isWaitingForReports()) {
			return completions;
		}
		for (List<PoolUpstream> free = freeUpstreams(); !free.isEmpty()
				&& !this.queue.isEmpty(); free = freeUpstreams()) {
			Optional<Runnable> completion = assignNext(free);
			if (completion.isEmpty()) {
				break;
			}
			completions.add(completion.get());
		}
		return completions;
	}

	private Optional<Runnable> assignNext(List<PoolUpstream> free) {
		for (QueuedCall call : this.policy.order(this)) {
			List<PoolUpstream> allowed = free.stream()
				.filter((u) -> !call.excluded().contains(u.id().value()))
				.toList();
			Optional<PoolUpstream> upstream = allowed.isEmpty() ? Optional.empty()
					: this.policy.place(this, call, allowed);
			if (upstream.isPresent()) {
				SlotAssignment assignment = grantSlot(call, upstream.get());
				return Optional.of(() -> call.assignment().complete(Either.right(assignment)));
			}
		}
		return Optional.empty();
	}

	private List<PoolUpstream> freeUpstreams() {
		long now = this.clock.nanoTime();
		return this.upstreams.values()
			.stream()
			.filter((u) -> u.isUsable(now) && u.hasFreeSlot(this.settings.adaptive()))
			.toList();
	}

	private SlotAssignment grantSlot(QueuedCall call, PoolUpstream upstream) {
		this.queue.remove(call);
		double work = this.estimator.predict(call.request());
		this.shares.charge(call.workspace(), call.weight(), work);
		long slot = ThreadLocalRandom.current().nextLong();
		HeldSlot held = new HeldSlot(call.request().getInstance(), call.workspace(), call.weight(), work,
				this.clock.nanoTime());
		upstream.addSlot(slot, held, this.clock.nanoTime());
		return SlotAssignment.newBuilder().setSlot(slot).setUpstream(upstream.id().value()).build();
	}

	private void release(SlotResult result) {
		long now = this.clock.nanoTime();
		for (PoolUpstream upstream : this.upstreams.values()) {
			HeldSlot held = upstream.slots().remove(result.getSlot());
			if (held == null) {
				continue;
			}
			upstream.recordResult(result, now);
			if (!result.getFailed()) {
				this.estimator.recordResult(held.workspace(), result);
				this.shares.correct(held.workspace(), held.weight(), this.estimator.actual(result) - held.predicted());
			}
			recordCompletion(now);
			return;
		}
	}

	private void recordCompletion(long now) {
		double gap = Math.max(1e-4, (now - this.lastCompletion) / 1e9);
		double rate = (this.lastCompletion == 0) ? this.completionsPerSecond : Math.min(1000, 1 / gap);
		this.completionsPerSecond = (this.completionsPerSecond * (1 - RATE_SMOOTHING_FACTOR))
				+ (rate * RATE_SMOOTHING_FACTOR);
		this.lastCompletion = now;
	}

	/**
	 * Frees slots that the instance no longer holds, and registers slots that a previous
	 * owner granted. A slot that was granted within {@link #REPORT_GRACE_PERIOD} is kept,
	 * because the report may have been created before its instance received the slot.
	 * @param report a complete report
	 */
	private void reconcile(SlotReport report) {
		long now = this.clock.nanoTime();
		Map<Long, String> held = new HashMap<>();
		report.getHeldList().forEach((h) -> held.put(h.getSlot(), h.getUpstream()));
		for (PoolUpstream upstream : this.upstreams.values()) {
			upstream.slots()
				.entrySet()
				.removeIf((e) -> e.getValue().instance().equals(report.getInstance()) && !held.containsKey(e.getKey())
						&& (now - e.getValue().grantedAt() > REPORT_GRACE_PERIOD.toNanos()));
		}
		held.forEach((slot, id) -> {
			PoolUpstream upstream = this.upstreams.get(new UpstreamId(id));
			if ((upstream != null) && !upstream.slots().containsKey(slot)) {
				upstream.addSlot(slot, new HeldSlot(report.getInstance(), "", 1, 0, now), now);
			}
		});
	}

	private boolean isWaitingForReports() {
		boolean timedOut = this.clock.elapsed(this.createdAt).compareTo(INITIAL_REPORTS_TIMEOUT) > 0;
		return !this.firstOwner && !timedOut && !this.reportedInstances.containsAll(this.instances);
	}

	/**
	 * Estimates how long a call will wait: the number of queued calls of its workspace
	 * divided by the completion rate that corresponds to the weight of the workspace.
	 * @param call the call
	 * @return the estimated wait
	 */
	private Duration expectedWait(QueuedCall call) {
		Map<String, Double> weights = new HashMap<>();
		weights.put(call.workspace(), call.weight());
		long ahead = 0;
		for (QueuedCall c : this.queue) {
			weights.put(c.workspace(), c.weight());
			ahead += c.workspace().equals(call.workspace()) ? 1 : 0;
		}
		double total = weights.values().stream().mapToDouble(Double::doubleValue).sum();
		double rate = Math.max(0.1, this.completionsPerSecond * call.weight() / total);
		return Duration.ofMillis((long) (ahead / rate * 1000));
	}

	private static Refusal upstreamsFull(SlotRequest request, Duration wait) {
		return Refusal.unavailable(
				"upstreams_full", "all upstreams of \"" + request.getPool()
						+ "\" are busy, and the queue of workspace \"" + request.getWorkspace() + "\" is too long",
				wait);
	}

}
