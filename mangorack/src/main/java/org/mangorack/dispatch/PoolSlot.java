package org.mangorack.dispatch;

import org.mangorack.config.Upstream;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotResult;

/**
 * A slot that was granted by the owner of a pool.
 */
final class PoolSlot implements Slot {

	private final Upstream upstream;

	private final SlotAssignment assignment;

	private final String pool;

	private final ModelSlotClient slots;

	private final SlotResult.Builder result;

	private boolean closed;

	PoolSlot(Upstream upstream, SlotAssignment assignment, String pool, ModelSlotClient slots) {
		this.upstream = upstream;
		this.assignment = assignment;
		this.pool = pool;
		this.slots = slots;
		this.result = SlotResult.newBuilder().setSlot(assignment.getSlot());
	}

	SlotAssignment assignment() {
		return this.assignment;
	}

	String pool() {
		return this.pool;
	}

	@Override
	public Upstream upstream() {
		return this.upstream;
	}

	@Override
	public void recordFailure() {
		this.result.setFailed(true);
	}

	@Override
	public void recordSuccess() {
		this.result.setFailed(false);
	}

	@Override
	public void recordMeasurements(CallMeasurements measurements) {
		this.result.setPromptTokens(measurements.promptTokens())
			.setCachedTokens(measurements.cachedTokens())
			.setGeneratedTokens(measurements.generatedTokens())
			.setFirstTokenMicros(measurements.firstTokenMicros())
			.setGenerationMicros(measurements.generationMicros());
	}

	@Override
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.slots.release(this, this.result.build());
		}
	}

}
