package org.mangorack.limit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Workspace;
import org.mangorack.observe.MonotonicClock;

/**
 * The buckets of the workspaces that belong to a shard. They are not journaled.
 */
public final class BucketTable {

	private final MonotonicClock clock;

	private final boolean firstOwner;

	private final Map<WorkspaceId, RateBucket> buckets = new ConcurrentHashMap<>();

	/**
	 * Creates a table without buckets.
	 * @param clock the time source
	 * @param firstOwner whether the shard had no owner before; only then buckets start
	 * full, since an earlier owner may have granted everything
	 */
	public BucketTable(MonotonicClock clock, boolean firstOwner) {
		this.clock = clock;
		this.firstOwner = firstOwner;
	}

	/**
	 * Grants calls.
	 * @param workspace the workspace
	 * @param maxCalls the most calls to grant
	 * @return the grant
	 */
	public Grant grant(Workspace workspace, int maxCalls) {
		RateBucket bucket = this.buckets.computeIfAbsent(workspace.id(),
				(id) -> new RateBucket(this.clock, this.firstOwner ? workspace.burst() : 0));
		int granted = bucket.take(maxCalls, workspace.ratePerSecond(), workspace.burst());
		Duration wait = (granted > 0) ? Duration.ZERO : bucket.timeUntilNextToken(workspace.ratePerSecond());
		return new Grant(granted, wait);
	}

	/**
	 * Calls granted to an instance.
	 *
	 * @param calls the number of calls
	 * @param retryIn when to ask again, if there were none
	 */
	public record Grant(int calls, Duration retryIn) {
	}

}
