package org.mangorack.bench.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.mangorack.bench.emulator.load.LoadShape;
import org.mangorack.bench.emulator.load.LoadShape.Fault;
import org.mangorack.call.UpstreamId;
import org.mangorack.keeper.UpstreamLatencies;

/**
 * The entries and upstreams of a deployment. Each entry periodically learns the active
 * calls of the other entries; the refresh times of entries differ.
 */
final class Fleet {

	private final VirtualClock clock;

	private final LoadShape shape;

	private final PromptReads reads = new PromptReads();

	private final UpstreamLatencies upstreamLatencies;

	private final List<Engine> engines = new ArrayList<>();

	private final List<PlainService> services = new ArrayList<>();

	private final List<Entry> entries = new ArrayList<>();

	/**
	 * Creates a fleet and schedules its faults.
	 * @param clock the virtual clock
	 * @param shape the description of the deployment
	 * @param policy the placement policy of the entries
	 * @param seed the seed of the experiment
	 */
	Fleet(VirtualClock clock, LoadShape shape, PlacementPolicy policy, long seed) {
		this.clock = clock;
		this.shape = shape;
		this.upstreamLatencies = new UpstreamLatencies(clock);
		createUpstreams(RandomPurpose.UPSTREAM.stream(seed), RandomPurpose.FAILURE.stream(seed));
		createEntries(policy, RandomPurpose.PLACEMENT.stream(seed));
		shape.faults().forEach(this::schedule);
	}

	// ---- Accessors

	Entry entry(int number) {
		return this.entries.get(number);
	}

	List<Engine> engines() {
		return List.copyOf(this.engines);
	}

	PromptReads reads() {
		return this.reads;
	}

	// ---- Helpers

	private void createUpstreams(SplittableRandom random, SplittableRandom failures) {
		for (int i = 0; i < this.shape.engines().count(); i++) {
			this.engines.add(new Engine(this.clock, new UpstreamId("engine-" + i), dataCentre(i), this.shape.engines(),
					this.reads, failures.split()));
		}
		for (int i = 0; i < this.shape.services().count(); i++) {
			double speed = 1 + (random.nextDouble() * this.shape.services().speedSpread());
			this.services.add(new PlainService(this.clock, new UpstreamId("service-" + i), dataCentre(i),
					this.shape.services(), speed, failures.split()));
		}
	}

	private void createEntries(PlacementPolicy policy, SplittableRandom random) {
		SessionEngines sessions = new SessionEngines();
		long distance = Math.round(this.shape.distanceMillis() * 1e6);
		long refresh = Math.round(this.shape.refreshMillis() * 1e6);
		for (int i = 0; i < this.shape.entries(); i++) {
			Entry entry = new Entry(this.clock, dataCentre(i), policy,
					policy.placement(random.split(), dataCentre(i), sessions), this.shape.attempts(), distance,
					this.engines, this.services);
			this.entries.add(entry);
			this.clock.every(random.nextLong(refresh), refresh, () -> refresh(entry));
		}
	}

	private String dataCentre(int number) {
		return "dc" + (number % this.shape.dataCentres());
	}

	private void schedule(Fault fault) {
		EmulatedUpstream upstream = fault.engine() ? this.engines.get(fault.upstream())
				: this.services.get(fault.upstream());
		this.clock.at(Math.round(fault.fromSeconds() * 1e9), () -> fault.kind().set(upstream, fault.degree()));
		this.clock.at(Math.round(fault.untilSeconds() * 1e9), () -> fault.kind().clear(upstream));
	}

	private void refresh(Entry entry) {
		entry.upstreams().forEach((u) -> this.upstreamLatencies.add(u.drainLoad()));
		Map<String, Double> sharedPaces = this.upstreamLatencies.all();
		for (int i = 0; i < entry.upstreams().size(); i++) {
			KnownUpstream own = entry.upstreams().get(i);
			int calls = -own.callsInFlight();
			for (Entry other : this.entries) {
				calls += other.upstreams().get(i).callsInFlight();
			}
			own.refresh(calls, sharedPaces.getOrDefault(own.id(), 1.0));
		}
	}

}
