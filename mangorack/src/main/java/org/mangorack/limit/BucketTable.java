package org.mangorack.limit;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Workspace;
import org.mangorack.observe.MonotonicClock;

/**
 * The token buckets of the workspaces that belong to a shard. They are not journaled.
 */
public final class BucketTable {

	private final MonotonicClock clock;

	private final boolean firstOwner;

	private final Map<WorkspaceId, RateBucket> buckets = new ConcurrentHashMap<>();

	/**
	 * Creates a table without buckets.
	 * @param clock the time source
	 * @param firstOwner whether the shard had no previous owner. Only then do buckets
	 * start full, since a previous owner may already have granted all tokens
	 */
	public BucketTable(MonotonicClock clock, boolean firstOwner) {
		this.clock = clock;
		this.firstOwner = firstOwner;
	}

	/**
	 * Takes tokens from the bucket of a workspace.
	 * @param workspace the workspace
	 * @param maxCalls the maximum number of calls to grant
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
	 * A number of calls that an instance may accept.
	 *
	 * @param calls the number of calls
	 * @param retryIn the delay before the next request, if no call was granted
	 */
	public record Grant(int calls, Duration retryIn) {
	}

}
