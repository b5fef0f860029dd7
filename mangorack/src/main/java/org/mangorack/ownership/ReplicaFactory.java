package org.mangorack.ownership;

/**
 * Factory for the state of a shard.
 *
 * @param <R> the type of the state
 */
@FunctionalInterface
public interface ReplicaFactory<R extends ShardReplica> {

	/**
	 * Creates the empty state of a shard.
	 * @param shard the shard
	 * @param log receives the entries that the state writes
	 * @return the empty state
	 */
	R create(ShardId shard, ShardLog log);

}
