package org.mangorack.dispatch;

/**
 * The calls in flight and the consecutive failures of an upstream, as seen by this
 * instance. Guarded by the monitor of the {@link Dispatcher}.
 */
final class UpstreamLoad {

	private int inFlight;

	private int failures;

	private long avoidedUntil;

	int inFlight() {
		return this.inFlight;
	}

	int failures() {
		return this.failures;
	}

	boolean isAvoided(long now) {
		return (this.failures > 0) && (now < this.avoidedUntil);
	}

	void callStarted() {
		this.inFlight++;
	}

	void callFinished() {
		this.inFlight--;
	}

	void failed(long until) {
		this.failures++;
		this.avoidedUntil = until;
	}

	void answered() {
		this.failures = 0;
	}

}
