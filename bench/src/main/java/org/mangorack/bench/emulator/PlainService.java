package org.mangorack.bench.emulator;

import java.util.random.RandomGenerator;

import org.mangorack.bench.emulator.load.LoadShape.ServiceShape;
import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.call.UpstreamId;

/**
 * A server of a plain service, in which a call occupies a slot for its processing time.
 */
final class PlainService extends EmulatedUpstream {

	private final double speed;

	private int running;

	/**
	 * Creates a server.
	 * @param clock the virtual clock
	 * @param id the identifier of the server
	 * @param dataCentre the data centre of the server
	 * @param shape the numbers of slots and queue places
	 * @param speed the factor by which processing times are multiplied
	 * @param failures the source of randomness for call failures
	 */
	PlainService(VirtualClock clock, UpstreamId id, String dataCentre, ServiceShape shape, double speed,
			RandomGenerator failures) {
		super(clock, id, dataCentre, shape.slots(), shape.queue(), failures);
		this.speed = speed;
	}

	@Override
	boolean canHold(PlannedCall call) {
		return true;
	}

	@Override
	boolean hasFreeSlot(int ahead) {
		return this.running + ahead < slots();
	}

	@Override
	boolean begin(Waiting entry) {
		this.running++;
		clock().after(slowed(firstEventNanos(entry.call())), () -> {
			this.running--;
			entry.listener().firstEvent();
			entry.listener().ended(CallOutcome.ANSWERED);
			admit();
		});
		return true;
	}

	// A running call is completed even if its caller no longer waits.
	@Override
	boolean abandon(Waiting entry) {
		return false;
	}

	@Override
	long firstEventNanos(PlannedCall call) {
		return Math.round(call.workNanos() * this.speed);
	}

}
