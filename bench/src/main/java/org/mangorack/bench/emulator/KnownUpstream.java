package org.mangorack.bench.emulator;

import org.mangorack.relay.UpstreamCandidate;

/**
 * An upstream as an entry sees it: its own calls at once, those of others when it hears
 * of them.
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
	protected int slots() {
		return this.upstream.slots();
	}

	EmulatedUpstream upstream() {
		return this.upstream;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	// ---- News

	/**
	 * Takes over what the fleet knows.
	 * @param callsElsewhere the calls of other entries that are under way
	 * @param sharedLatencyRatio its latency ratio over all entries
	 */
	void refresh(int callsElsewhere, double sharedLatencyRatio) {
		setCallsInFlightElsewhere(callsElsewhere);
		setLatencyRatio(sharedLatencyRatio);
		this.leaving = this.upstream.isLeaving();
	}

	// ---- Calls

	/**
	 * Notes the end of an attempt.
	 * @param outcome how it ended
	 * @param now the time on the clock, in nanoseconds
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
