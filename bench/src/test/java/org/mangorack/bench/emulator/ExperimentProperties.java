package org.mangorack.bench.emulator;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import org.mangorack.bench.emulator.load.FaultKind;
import org.mangorack.bench.emulator.load.LoadShape;
import org.mangorack.bench.emulator.load.LoadShape.Burst;
import org.mangorack.bench.emulator.load.LoadShape.CallShape;
import org.mangorack.bench.emulator.load.LoadShape.EngineShape;
import org.mangorack.bench.emulator.load.LoadShape.Fault;
import org.mangorack.bench.emulator.load.LoadShape.ProgramShape;
import org.mangorack.bench.emulator.load.LoadShape.ServiceShape;
import org.mangorack.bench.emulator.load.LoadShape.WorkspaceShape;
import org.mangorack.bench.emulator.load.PlannedProgram;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Properties that hold for every experiment, independent of its load and policy.
 */
class ExperimentProperties {

	private static final int TRIES = 60;

	@Property(tries = TRIES)
	void eachCallEndsOnce(@ForAll("shapes") LoadShape shape, @ForAll PlacementPolicy policy, @ForAll long seed) {
		Experiment experiment = new Experiment(shape, seed);
		Figures figures = experiment.play(policy);
		int planned = experiment.plan().programs().stream().mapToInt((p) -> p.calls().size()).sum();
		int ended = figures.calls().values().stream().mapToInt(Integer::intValue).sum();
		int unanswered = ended - figures.calls(CallOutcome.ANSWERED);
		assertThat(figures.programs()).isEqualTo(experiment.plan().programs().size());
		assertThat(ended).isLessThanOrEqualTo(planned);
		assertThat(figures.programs() - figures.finished()).as("a call that is not answered ends its program")
			.isEqualTo(unanswered);
		if (unanswered == 0) {
			assertThat(ended).isEqualTo(planned);
		}
	}

	@Property(tries = TRIES)
	void memoryIsNeverOverItsLimit(@ForAll("shapes") LoadShape shape, @ForAll PlacementPolicy policy,
			@ForAll long seed) {
		assertThat(new Experiment(shape, seed).play(policy).peakTokens())
			.isLessThanOrEqualTo(shape.engines().memoryTokens());
	}

	@Property(tries = TRIES)
	void whatIsNewIsRead(@ForAll("shapes") LoadShape shape, @ForAll PlacementPolicy policy, @ForAll long seed) {
		Experiment experiment = new Experiment(shape, seed);
		Figures figures = experiment.play(policy);
		assertThat(figures.tokensReadAgain()).isBetween(0L, figures.tokensRead());
		if (figures.finished() == figures.programs()) {
			assertThat(figures.tokensRead() - figures.tokensReadAgain()).isEqualTo(newTokens(experiment));
		}
	}

	@Property(tries = TRIES)
	void noProgramIsFasterThanOnIdleUpstreams(@ForAll("shapes") LoadShape shape, @ForAll PlacementPolicy policy,
			@ForAll long seed) {
		Figures figures = new Experiment(shape, seed).play(policy);
		if (figures.finished() > 0) {
			assertThat(figures.latency().getMinValue()).isGreaterThanOrEqualTo(999);
		}
	}

	@Property(tries = TRIES)
	void theSameSeedGivesTheSameFigures(@ForAll("shapes") LoadShape shape, @ForAll PlacementPolicy policy,
			@ForAll long seed) {
		assertThat(new Experiment(shape, seed).play(policy)).isEqualTo(new Experiment(shape, seed).play(policy));
	}

	@Property(tries = TRIES)
	void policiesGetTheSameLoad(@ForAll("shapes") LoadShape shape, @ForAll long seed) {
		List<PlannedProgram> programs = new Experiment(shape, seed).plan().programs();
		assertThat(new Experiment(shape, seed).plan().programs()).isEqualTo(programs);
		assertThat(programs).allSatisfy((p) -> assertThat(p.startNanos()).isLessThan(shape.seconds() * 1_000_000_000L));
	}

	// ---- Helpers

	private static long newTokens(Experiment experiment) {
		return experiment.plan()
			.programs()
			.stream()
			.flatMap((p) -> p.calls().stream())
			.flatMap((c) -> c.prompt().stream())
			.distinct()
			.mapToLong((part) -> part.tokens())
			.sum();
	}

	@Provide
	Arbitrary<LoadShape> shapes() {
		return Combinators
			.combine(engines(), Arbitraries.integers().between(1, 4), Arbitraries.doubles().between(0, 10),
					Arbitraries.doubles().between(1, 12), Arbitraries.integers().between(1, 3),
					faults().list().ofMaxSize(3))
			.as((engines, entries, roundTripMillis, rate, attempts, faults) -> new LoadShape(2, 2, entries,
					roundTripMillis, 2.5, 100, attempts, engines, new ServiceShape(2, 2, 2, 0.5),
					new WorkspaceShape(3, 1),
					List.of(new ProgramShape("p", rate, 100, 80, 12, 2, 0.3, 2, 20, 1.3, 100, 600)),
					List.of(new CallShape("safe", 0.5, 20, 60, 300, true),
							new CallShape("once", 0.3, 40, 100, 400, false)),
					List.of(new Burst(-1, 0.5, 1, 3), new Burst(1, 0.8, 1.5, 4)), faults));
	}

	private static Arbitrary<EngineShape> engines() {
		return Combinators
			.combine(Arbitraries.integers().between(1, 3), Arbitraries.integers().between(1, 8),
					Arbitraries.integers().between(0, 4), Arbitraries.integers().between(1500, 4000),
					Arbitraries.integers().between(16, 512))
			.as((count, slots, queue, memory, chunk) -> new EngineShape(count, slots, queue, memory, 2, 0.5, 50,
					chunk));
	}

	private static Arbitrary<Fault> faults() {
		return Combinators
			.combine(Arbitraries.of(FaultKind.class), Arbitraries.of(true, false),
					Arbitraries.doubles().between(0, 1.5), Arbitraries.doubles().between(0, 1))
			.as((kind, engine, from, degree) -> new Fault(kind, engine, 0, from, from + 0.7,
					(kind != FaultKind.SLOW) ? degree : (1 + (4 * degree))));
	}

}
