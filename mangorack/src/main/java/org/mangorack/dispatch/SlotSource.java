package org.mangorack.dispatch;

import java.util.Optional;

import io.vavr.control.Either;

import org.mangorack.call.Refusal;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotReport;
import org.mangorack.member.proto.SlotRequest;

/**
 * Reaches the owners of pools.
 */
public interface SlotSource {

	/**
	 * Asks the owner of a pool for a slot. Blocks while the call is queued.
	 * @param request the call
	 * @return the slot or the owner's refusal, or empty when the owner cannot be reached
	 */
	Optional<Either<Refusal, SlotAssignment>> requestSlot(SlotRequest request);

	/**
	 * Reports to the owner of a pool.
	 * @param report the report
	 * @return {@code true} if the owner got it
	 */
	boolean report(SlotReport report);

}
