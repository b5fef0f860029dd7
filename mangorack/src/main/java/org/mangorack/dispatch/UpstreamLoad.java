package org.mangorack.dispatch;

/**
 * What this instance knows of the load of an upstream. Guarded by the dispatcher.
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
