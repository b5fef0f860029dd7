package org.mangorack.ownership;

/**
 * The result of locating a shard.
 *
 * @param <R> the type of the shard's state
 */
public sealed interface ShardLocation<R extends ShardReplica> {

	/**
	 * This instance serves the shard. The caller must release the shard after use.
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
	 * The shard has no owner that can serve it at present, for example during a handover
	 * or takeover, or because this instance's lease has lapsed.
	 *
	 * @param <R> the type of the shard's state
	 */
	record Unavailable<R extends ShardReplica>() implements ShardLocation<R> {
	}

}
