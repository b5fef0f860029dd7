package org.mangorack.dispatch;

import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.vavr.control.Either;

import org.mangorack.call.Refusal;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotRequest;

/**
 * A call that waits for a slot.
 *
 * @param request the request of the instance
 * @param weight the weight of the workspace
 * @param excluded the upstreams at which the call has already failed
 * @param arrivedAt the time at which the call was queued, in nanoseconds
 * @param deadline the time at which the call is refused, in nanoseconds
 * @param assignment a future that completes with the slot or the refusal
 */
record QueuedCall(SlotRequest request, double weight, Set<String> excluded, long arrivedAt, long deadline,
		CompletableFuture<Either<Refusal, SlotAssignment>> assignment) {

	String workspace() {
		return this.request.getWorkspace();
	}

	String preferred() {
		return this.request.getPreferred();
	}

}
