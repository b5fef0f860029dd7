package org.mangorack.entry;

import org.mangorack.call.CallAnswer;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.ownership.OwnedShard;

/**
 * Answers a kind of call at the owner of its shard.
 */
@FunctionalInterface
interface OwnerHandler {

	/**
	 * Answers a call.
	 * @param shard the acquired shard
	 * @param open the call
	 * @param release must be run once when the shard is not used any more
	 * @return the answer
	 */
	CallAnswer answer(OwnedShard<ShardContents> shard, CallOpen open, Runnable release);

}
