package org.mangorack.dispatch;

/**
 * An upstream with a given state.
 */
final class TestCandidate implements PlacementCandidate {

	private final String id;

	private final String dataCentre;

	private double load;

	private double latencyRatio = 1;

	private boolean avoided;

	TestCandidate(String id, String dataCentre) {
		this.id = id;
		this.dataCentre = dataCentre;
	}

	TestCandidate load(double calls) {
		this.load = calls;
		return this;
	}

	TestCandidate latencyRatio(double ratio) {
		this.latencyRatio = ratio;
		return this;
	}

	TestCandidate avoided() {
		this.avoided = true;
		return this;
	}

	@Override
	public String id() {
		return this.id;
	}

	@Override
	public String dataCentre() {
		return this.dataCentre;
	}

	@Override
	public int slots() {
		return 8;
	}

	@Override
	public double load() {
		return this.load;
	}

	@Override
	public double latencyRatio() {
		return this.latencyRatio;
	}

	@Override
	public boolean isAvoided(long now) {
		return this.avoided;
	}

	@Override
	public String toString() {
		return this.id;
	}

}
