package org.mangorack.bench.emulator;

import org.mangorack.keeper.proto.Load;
import org.mangorack.relay.Avoidance;
import org.mangorack.relay.RoutePaces;
import org.mangorack.relay.UpstreamCandidate;

/**
 * An upstream as an entry sees it: its own calls at once, those of others when it hears
 * of them.
 */
final class KnownUpstream implements UpstreamCandidate {

	private final EmulatedUpstream upstream;

	private final Avoidance avoidance;

	private int underWay;

	private int underWayElsewhere;

	private double pace = 1;

	private boolean leaving;

	private int answers;

	private double paceSum;

	KnownUpstream(EmulatedUpstream upstream) {
		this.upstream = upstream;
		this.avoidance = new Avoidance(upstream.clock().nanoTime());
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
	public double load() {
		return (this.underWay + this.underWayElsewhere) / (double) this.upstream.slots();
	}

	@Override
	public double pace() {
		return this.pace;
	}

	@Override
	public boolean isAvoided(long now) {
		return this.avoidance.isAvoided(now);
	}

	EmulatedUpstream upstream() {
		return this.upstream;
	}

	int underWay() {
		return this.underWay;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	// ---- News

	/**
	 * Takes over what the fleet knows.
	 * @param callsElsewhere the calls of other entries that are under way
	 * @param sharedPace its pace over all entries
	 */
	void refresh(int callsElsewhere, double sharedPace) {
		this.underWayElsewhere = callsElsewhere;
		this.pace = sharedPace;
		this.leaving = this.upstream.isLeaving();
	}

	/**
	 * Returns what other entries are to know, and counts answers anew.
	 * @return the calls under way and the answers since this was last called
	 */
	Load takeLoad() {
		Load load = Load.newBuilder()
			.setUpstream(id())
			.setCalls(this.underWay)
			.setAnswers(this.answers)
			.setPaceSum(this.paceSum)
			.build();
		this.answers = 0;
		this.paceSum = 0;
		return load;
	}

	// ---- Calls

	void began() {
		this.underWay++;
	}

	/**
	 * Notes the end of an attempt.
	 * @param outcome how it ended
	 * @param now the time on the clock, in nanoseconds
	 */
	void ended(CallOutcome outcome, long now) {
		this.underWay--;
		switch (outcome) {
			case ANSWERED -> this.avoidance.succeeded();
			case FULL -> {
				answered(RoutePaces.FULL);
				this.avoidance.full(now);
			}
			case EXPIRED, FAILED -> {
				answered(RoutePaces.FAILED);
				this.avoidance.failed(now);
			}
		}
	}

	/**
	 * Notes how long a first event took.
	 * @param answerPace a multiple of what its route usually takes
	 */
	void answered(double answerPace) {
		this.answers++;
		this.paceSum += answerPace;
	}

}
