package org.mangorack.bench.emulator;

import org.mangorack.relay.UpstreamCandidate;

/**
 * The state of an upstream that an entry knows: its own active calls immediately, those
 * of other entries as of the last refresh.
 */
final class KnownUpstream extends UpstreamCandidate {

	private final EmulatedUpstream upstream;

	private boolean leaving;

	KnownUpstream(EmulatedUpstream upstream) {
		super(upstream.clock().nanoTime());
		this.upstream = upstream;
	}

	// ---- Accessors

	@Override
	public String id() {
		return this.upstream.id().value();
	}

	@Override
	public String dataCentre() {
		return this.upstream.dataCentre();
	}

	@Override
	public int slots() {
		return this.upstream.slots();
	}

	EmulatedUpstream upstream() {
		return this.upstream;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	// ---- Refresh

	/**
	 * Updates the state from the whole fleet.
	 * @param callsElsewhere the number of active calls of other entries
	 * @param sharedLatencyRatio the latency ratio of the upstream as measured by all
	 * entries
	 */
	void refresh(int callsElsewhere, double sharedLatencyRatio) {
		setCallsInFlightElsewhere(callsElsewhere);
		setLatencyRatio(sharedLatencyRatio);
		this.leaving = this.upstream.isLeaving();
	}

	// ---- Calls

	/**
	 * Records the end of an attempt.
	 * @param outcome the outcome
	 * @param now the current time in nanoseconds
	 */
	void ended(CallOutcome outcome, long now) {
		callEnded();
		switch (outcome) {
			case ANSWERED -> succeeded();
			case FULL -> capacityExceeded(now);
			case EXPIRED, FAILED -> failed(now);
		}
	}

}
