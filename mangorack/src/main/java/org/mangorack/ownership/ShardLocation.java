package org.mangorack.ownership;

/**
 * Where a shard is served.
 *
 * @param <R> the type of the shard's state
 */
public sealed interface ShardLocation<R extends ShardReplica> {

	/**
	 * The shard is served here. The user must release it.
	 *
	 * @param shard the acquired shard
	 * @param <R> the type of the shard's state
	 */
	record Local<R extends ShardReplica>(OwnedShard<R> shard) implements ShardLocation<R> {
	}

	/**
	 * Another instance owns the shard.
	 *
	 * @param instance the name of the owner
	 * @param <R> the type of the shard's state
	 */
	record Remote<R extends ShardReplica>(String instance) implements ShardLocation<R> {
	}

	/**
	 * The shard has no owner, or is on its way to one.
	 *
	 * @param <R> the type of the shard's state
	 */
	record Unsettled<R extends ShardReplica>() implements ShardLocation<R> {
	}

}
