package org.mangorack.dispatch;

/**
 * The calls in flight and the consecutive failures of an upstream, as seen by this
 * instance. Guarded by the monitor of the {@link Dispatcher}.
 */
final class UpstreamLoad {

	private int inFlight;

	private int failures;

	private long ejectedUntil;

	int inFlight() {
		return this.inFlight;
	}

	int failures() {
		return this.failures;
	}

	boolean isEjected(long now) {
		return (this.failures > 0) && (now < this.ejectedUntil);
	}

	void callStarted() {
		this.inFlight++;
	}

	void callFinished() {
		this.inFlight--;
	}

	void failed(long until) {
		this.failures++;
		this.ejectedUntil = until;
	}

	void answered() {
		this.failures = 0;
	}

}
