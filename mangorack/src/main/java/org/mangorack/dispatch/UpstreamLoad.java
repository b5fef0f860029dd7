package org.mangorack.dispatch;

/**
 * What this instance knows of the load of an upstream. Guarded by the dispatcher.
 */
final class UpstreamLoad {

	private int underWay;

	private int failures;

	private long ejectedUntil;

	int underWay() {
		return this.underWay;
	}

	int failures() {
		return this.failures;
	}

	boolean isEjected(long now) {
		return (this.failures > 0) && (now < this.ejectedUntil);
	}

	void began() {
		this.underWay++;
	}

	void ended() {
		this.underWay--;
	}

	void failed(long until) {
		this.failures++;
		this.ejectedUntil = until;
	}

	void answered() {
		this.failures = 0;
	}

}
