package org.mangorack.dispatch;

/**
 * What this instance knows of the load of an upstream. Guarded by the dispatcher.
 */
final class UpstreamLoad {

	private int underWay;

	private int failures;

	private long shunnedUntil;

	int underWay() {
		return this.underWay;
	}

	int failures() {
		return this.failures;
	}

	boolean isShunned(long now) {
		return (this.failures > 0) && (now < this.shunnedUntil);
	}

	void began() {
		this.underWay++;
	}

	void ended() {
		this.underWay--;
	}

	void failed(long until) {
		this.failures++;
		this.shunnedUntil = until;
	}

	void answered() {
		this.failures = 0;
	}

}
