package org.mangorack.bench.emulator;

import java.util.ArrayList;
import java.util.List;

import org.mangorack.bench.emulator.load.LoadPlan;
import org.mangorack.bench.emulator.load.LoadShape;
import org.mangorack.bench.emulator.load.PlannedProgram;

/**
 * Runs the same load with several policies, each with its own fleet and virtual clock.
 */
final class Experiment {

	private final LoadShape shape;

	private final long seed;

	private final LoadPlan plan;

	/**
	 * Creates an experiment and generates its load.
	 * @param shape the description of the deployment and its load
	 * @param seed the seed of all random number generators
	 */
	Experiment(LoadShape shape, long seed) {
		this.shape = shape;
		this.seed = seed;
		this.plan = LoadPlan.draw(shape, RandomPurpose.LOAD.stream(seed));
	}

	LoadPlan plan() {
		return this.plan;
	}

	/**
	 * Runs the load until all calls have ended.
	 * @param policy the placement policy
	 * @return the measurements
	 */
	Figures play(PlacementPolicy policy) {
		VirtualClock clock = new VirtualClock();
		Fleet fleet = new Fleet(clock, this.shape, policy, this.seed);
		List<CallResult> results = new ArrayList<>();
		List<ProgramRun> programs = new ArrayList<>();
		long way = Math.round(this.shape.wayMillis() * 1e6);
		for (PlannedProgram program : this.plan.programs()) {
			ProgramRun run = new ProgramRun(clock, fleet, program, way, results);
			programs.add(run);
			run.start();
		}
		clock.run();
		return Figures.of(policy, programs, results, fleet);
	}

}
