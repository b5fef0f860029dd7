package org.mangorack.bench.emulator;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.kohsuke.args4j.Option;

import org.mangorack.bench.BenchCommand;
import org.mangorack.bench.emulator.load.LoadShape;

/**
 * Compares placement policies under the same load in an emulator.
 */
public final class ExperimentCommand implements BenchCommand {

	private static final int USAGE_STATUS = 2;

	@Option(name = "--load", usage = "a file, or the name of a sample: small, grown or faults")
	private String load = "small";

	@Option(name = "--seed")
	private long seed = 1;

	@Option(name = "--policy", usage = "may be repeated; all policies if there is none")
	private List<String> policies = new ArrayList<>();

	@Option(name = "--out", usage = "the folder for experiment.md and experiment.svg")
	private Path out = Path.of("experiment");

	@Override
	public int run() throws Exception {
		Either<String, LoadShape> shape = readLoad();
		Either<String, List<PlacementPolicy>> chosen = readPolicies();
		if (shape.isLeft() || chosen.isLeft()) {
			System.err.println("bench: " + (shape.isLeft() ? shape.getLeft() : chosen.getLeft()));
			return USAGE_STATUS;
		}
		Experiment experiment = new Experiment(shape.get(), this.seed);
		ExperimentReport report = new ExperimentReport(chosen.get().stream().map(experiment::play).toList());
		System.out.print(report.table());
		report.write(this.out);
		return 0;
	}

	private Either<String, LoadShape> readLoad() {
		Path file = Path.of(this.load);
		return Files.isRegularFile(file) ? LoadShape.read(file) : LoadShape.sample(this.load);
	}

	private Either<String, List<PlacementPolicy>> readPolicies() {
		if (this.policies.isEmpty()) {
			return Either.right(List.of(PlacementPolicy.values()));
		}
		return Either.sequenceRight(this.policies.stream().map(PlacementPolicy::parse).toList())
			.map((found) -> found.asJava());
	}

}
