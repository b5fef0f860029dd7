package org.mangorack.entry;

import org.mangorack.call.CallAnswer;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.ownership.OwnedShard;

/**
 * Handles one kind of call on the instance that owns the shard.
 */
@FunctionalInterface
interface OwnerHandler {

	/**
	 * Handles a call.
	 * @param shard the shard, which has been acquired for this call
	 * @param open the call
	 * @param release releases the shard; must be run exactly once, when the handler no
	 * longer uses the shard
	 * @return the response
	 */
	CallAnswer answer(OwnedShard<ShardContents> shard, CallOpen open, Runnable release);

}
