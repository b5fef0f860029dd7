package org.mangorack.bench.emulator;

import java.util.random.RandomGenerator;

import org.mangorack.bench.emulator.load.LoadShape.ServiceShape;
import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.call.UpstreamId;

/**
 * A server of a plain service: a call takes a slot for the time of its work.
 */
final class PlainService extends EmulatedUpstream {

	private final double speed;

	private int running;

	/**
	 * Creates a server.
	 * @param clock the clock
	 * @param id its id
	 * @param dataCentre its data centre
	 * @param shape its slots and queue
	 * @param speed the multiple of the time of work that it takes
	 * @param failures decides which calls fail
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

	// Work that was begun is finished, whether its caller still waits or not.
	@Override
	boolean abandon(Waiting entry) {
		return false;
	}

	@Override
	long firstEventNanos(PlannedCall call) {
		return Math.round(call.workNanos() * this.speed);
	}

}
