package org.mangorack.dispatch;

import java.util.Optional;

import io.vavr.control.Either;

import org.mangorack.call.Refusal;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotReport;
import org.mangorack.member.proto.SlotRequest;

/**
 * Sends slot requests and reports to the owners of pools.
 */
public interface SlotSource {

	/**
	 * Requests a slot from the owner of a pool. Blocks while the call is queued.
	 * @param request the call
	 * @return the slot or the refusal of the owner, or empty if the owner is unreachable
	 */
	Optional<Either<Refusal, SlotAssignment>> requestSlot(SlotRequest request);

	/**
	 * Sends a report to the owner of a pool.
	 * @param report the report
	 * @return {@code true} if the owner acknowledged the report
	 */
	boolean report(SlotReport report);

}
