package org.mangorack.bench.emulator;

/**
 * Listener that records the events that an upstream reports for an attempt.
 */
final class RecordedAttempt implements AttemptListener {

	private final VirtualClock clock;

	private long firstEventAt = -1;

	private long endedAt = -1;

	private long wouldHaveBegunAt = -1;

	private CallOutcome outcome;

	RecordedAttempt(VirtualClock clock) {
		this.clock = clock;
	}

	@Override
	public void firstEvent() {
		if (this.firstEventAt >= 0) {
			throw new IllegalStateException("first event reported twice");
		}
		this.firstEventAt = this.clock.nanoTime();
	}

	@Override
	public void ended(CallOutcome reported) {
		if (this.outcome != null) {
			throw new IllegalStateException("end of the attempt reported twice");
		}
		this.outcome = reported;
		this.endedAt = this.clock.nanoTime();
	}

	@Override
	public void wouldHaveBegun(long firstEventNanos) {
		this.wouldHaveBegunAt = this.clock.nanoTime();
	}

	long firstEventAt() {
		return this.firstEventAt;
	}

	long endedAt() {
		return this.endedAt;
	}

	long wouldHaveBegunAt() {
		return this.wouldHaveBegunAt;
	}

	CallOutcome outcome() {
		return this.outcome;
	}

}
