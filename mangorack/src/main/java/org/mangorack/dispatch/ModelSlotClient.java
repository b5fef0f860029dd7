package org.mangorack.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;

import io.vavr.control.Either;

import org.mangorack.call.Refusal;
import org.mangorack.call.UpstreamId;
import org.mangorack.config.Configuration;
import org.mangorack.config.Upstream;
import org.mangorack.config.UpstreamKind;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotReport;
import org.mangorack.member.proto.SlotRequest;
import org.mangorack.member.proto.SlotResult;

/**
 * Acquires slots of model engines from the owners of their pools, and reports the results
 * of the calls to the owners. While an owner is unreachable, the local {@link Dispatcher}
 * selects the upstream.
 */
public final class ModelSlotClient {

	private final String instance;

	private final SlotSource source;

	private final Dispatcher fallback;

	private final Supplier<Configuration> configuration;

	private final ExecutorService reportExecutor;

	private final Map<Long, PoolSlot> held = new ConcurrentHashMap<>();

	/**
	 * Creates a client without slots.
	 * @param instance the name of this instance
	 * @param source sends requests and reports to the owners of pools
	 * @param fallback selects the upstream while the owner of a pool is unreachable
	 * @param configuration supplies the current configuration
	 * @param reportExecutor sends the reports of released slots
	 */
	public ModelSlotClient(String instance, SlotSource source, Dispatcher fallback,
			Supplier<Configuration> configuration, ExecutorService reportExecutor) {
		this.instance = instance;
		this.source = source;
		this.fallback = fallback;
		this.configuration = configuration;
		this.reportExecutor = reportExecutor;
	}

	// ---- Public API

	/**
	 * Acquires a slot of a model engine, and waits if none is free.
	 * @param call the request; this method sets the instance, the excluded upstreams and
	 * the maximum wait
	 * @param excluded the upstreams at which the call has already failed
	 * @param maxWait the maximum time to wait
	 * @return the slot, or the refusal
	 */
	public Either<Refusal, Slot> acquire(SlotRequest.Builder call, Set<UpstreamId> excluded, Duration maxWait) {
		SlotRequest request = call.setInstance(this.instance)
			.clearExcluded()
			.addAllExcluded(excluded.stream().map(UpstreamId::value).toList())
			.setMaxWaitMillis((int) maxWait.toMillis())
			.build();
		Optional<Either<Refusal, SlotAssignment>> response = this.source.requestSlot(request);
		if (response.isEmpty()) {
			return this.fallback.acquire(UpstreamKind.MODEL, request.getPool(), request.getPreferred(), excluded,
					maxWait);
		}
		return response.get().flatMap((assignment) -> slot(request.getPool(), assignment));
	}

	/**
	 * Reports all held slots to the owners of the pools. Called at short intervals, so
	 * that a new owner learns which slots are in use, and an existing owner detects slots
	 * whose release was lost.
	 */
	public void reportAll() {
		Map<String, SlotReport.Builder> byPool = new HashMap<>();
		for (Upstream upstream : this.configuration.get().upstreams()) {
			if (upstream.kind() == UpstreamKind.MODEL) {
				upstream.pools().forEach((pool) -> byPool.computeIfAbsent(pool, this::completeReport));
			}
		}
		this.held.values()
			.forEach((slot) -> byPool.computeIfAbsent(slot.pool(), this::completeReport).addHeld(slot.assignment()));
		byPool.values().forEach((report) -> this.source.report(report.build()));
	}

	// ---- Helpers

	void release(PoolSlot slot, SlotResult result) {
		this.held.remove(slot.assignment().getSlot());
		SlotReport report = SlotReport.newBuilder()
			.setInstance(this.instance)
			.setPool(slot.pool())
			.addResults(result)
			.build();
		try {
			this.reportExecutor.execute(() -> this.source.report(report));
		}
		catch (RejectedExecutionException ex) {
			// The instance is shutting down. The owner frees its slots when the instance
			// is no longer live.
		}
	}

	private Either<Refusal, Slot> slot(String pool, SlotAssignment assignment) {
		Optional<Upstream> upstream = this.configuration.get().upstream(new UpstreamId(assignment.getUpstream()));
		if (upstream.isEmpty()) {
			this.source.report(SlotReport.newBuilder()
				.setInstance(this.instance)
				.setPool(pool)
				.addAllResults(List.of(SlotResult.newBuilder().setSlot(assignment.getSlot()).setFailed(true).build()))
				.build());
			return Either.left(Refusal.unavailable("no_upstream",
					"upstream \"" + assignment.getUpstream() + "\" is not known here yet", Duration.ofSeconds(1)));
		}
		PoolSlot slot = new PoolSlot(upstream.get(), assignment, pool, this);
		this.held.put(assignment.getSlot(), slot);
		return Either.right(slot);
	}

	private SlotReport.Builder completeReport(String pool) {
		return SlotReport.newBuilder().setInstance(this.instance).setPool(pool).setComplete(true);
	}

}
