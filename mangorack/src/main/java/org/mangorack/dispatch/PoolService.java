package org.mangorack.dispatch;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import io.vavr.control.Either;

import org.mangorack.call.Refusal;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Configuration;
import org.mangorack.config.UpstreamKind;
import org.mangorack.config.Workspace;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotReport;
import org.mangorack.member.proto.SlotRequest;

/**
 * Handles requests and reports for the pools that this instance owns.
 */
public final class PoolService {

	private final Supplier<Configuration> configuration;

	private final Supplier<Set<String>> instances;

	/**
	 * Creates the service.
	 * @param configuration supplies the current configuration
	 * @param instances supplies the names of the live instances
	 */
	public PoolService(Supplier<Configuration> configuration, Supplier<Set<String>> instances) {
		this.configuration = configuration;
		this.instances = instances;
	}

	/**
	 * Queues a call.
	 * @param table the pools of the shard
	 * @param request the call
	 * @return a future that completes with the slot or the refusal, or is cancelled if
	 * another instance becomes the owner of the pool
	 */
	public CompletableFuture<Either<Refusal, SlotAssignment>> submit(PoolTable table, SlotRequest request) {
		double weight = this.configuration.get()
			.workspace(new WorkspaceId(request.getWorkspace()))
			.map(Workspace::weight)
			.orElse(1.0);
		return configuredPool(table, request.getPool()).submit(request, weight);
	}

	/**
	 * Processes the report of an instance.
	 * @param table the pools of the shard
	 * @param report the report
	 */
	public void report(PoolTable table, SlotReport report) {
		configuredPool(table, report.getPool()).report(report);
	}

	private PoolScheduler configuredPool(PoolTable table, String name) {
		Configuration current = this.configuration.get();
		PoolScheduler pool = table.pool(name);
		pool.configure(current.pool(UpstreamKind.MODEL, name), current.dispatch(), this.instances.get());
		return pool;
	}

}
