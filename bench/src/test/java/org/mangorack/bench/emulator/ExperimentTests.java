package org.mangorack.bench.emulator;

import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.mangorack.bench.emulator.load.LoadShape;
import org.mangorack.bench.emulator.load.LoadShape.Burst;
import org.mangorack.bench.emulator.load.LoadShape.EngineShape;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Experiment} with the sample loads, and for its report.
 */
class ExperimentTests {

	private static final Experiment SMALL = new Experiment(LoadShape.sample("small").get(), 1);

	@TempDir
	Path folder;

	@ParameterizedTest
	@EnumSource
	void programsFinishWithoutFaults(PlacementPolicy policy) {
		Figures figures = SMALL.play(policy);
		assertThat(figures.finished()).isGreaterThan(figures.programs() * 9 / 10);
		assertThat(figures.calls(CallOutcome.FAILED)).isZero();
	}

	@Test
	void affinityReadsLessAgain() {
		assertThat(SMALL.play(PlacementPolicy.LEAST_LOADED_AFFINITY).tokensReadAgain())
			.isLessThan(SMALL.play(PlacementPolicy.LEAST_LOADED).tokensReadAgain());
	}

	/**
	 * Conversations on large models, with a burst of 1.7 times the usual load. Guards
	 * against turns that read their whole prompt again at another engine, at the expense
	 * of all streams there.
	 */
	@Test
	void programsEndInTimeWherePromptsAreKept() {
		Experiment pressFloor = new Experiment(LoadShape.sample("press-floor").get(), 1);
		Figures baseline = pressFloor.play(PlacementPolicy.BEST_OF_THREE);
		Figures kept = pressFloor.play(PlacementPolicy.KEPT_PROMPT);
		assertThat(kept.shareInAim()).isGreaterThan(0.95).isGreaterThan(baseline.shareInAim());
		assertThat(kept.tokensRead()).isLessThan(baseline.tokensRead() / 3);
		assertThat(kept.latencyAt(99)).isLessThan(baseline.latencyAt(99));
	}

	@ParameterizedTest
	@EnumSource
	void callsEndWhenMemoryAndQueuesAreShort(PlacementPolicy policy) {
		LoadShape sample = LoadShape.sample("small").get();
		EngineShape engines = new EngineShape(6, 16, 2, 20_000, 2.4, 0.6, 240, 512);
		LoadShape constrained = new LoadShape(20, 4, 7, 40, 2.8, 200, 2, engines, sample.services(),
				sample.workspaces(), sample.programs(), sample.calls(), List.of(new Burst(-1, 5, 15, 4)), List.of());
		Figures figures = new Experiment(constrained, 1).play(policy);
		assertThat(figures.preemptions()).isPositive();
		assertThat(figures.calls(CallOutcome.FULL)).isPositive();
		assertThat(figures.peakTokens()).isLessThanOrEqualTo(20_000);
		assertThat(figures.programs() - figures.finished())
			.isEqualTo(figures.calls(CallOutcome.FULL) + figures.calls(CallOutcome.EXPIRED));
	}

	@Test
	void avoidanceReducesFailedCalls() {
		Experiment faults = new Experiment(LoadShape.sample("faults").get(), 1);
		assertThat(faults.play(PlacementPolicy.BEST_OF_THREE).calls(CallOutcome.FAILED))
			.isLessThan(faults.play(PlacementPolicy.RANDOM).calls(CallOutcome.FAILED));
	}

	@Test
	void theReportHasARowAndBarsForEachPolicy() throws Exception {
		List<Figures> figures = Arrays.stream(PlacementPolicy.values()).map(SMALL::play).toList();
		new ExperimentReport(figures).write(this.folder);
		for (PlacementPolicy policy : PlacementPolicy.values()) {
			assertThat(this.folder.resolve("experiment.md")).content().contains("| " + policy.label() + " |");
			assertThat(this.folder.resolve("experiment.svg")).content().contains(">" + policy.label() + "<");
		}
	}

	@ParameterizedTest
	@EnumSource
	void policiesAreFoundByTheirNames(PlacementPolicy policy) {
		assertThat(PlacementPolicy.parse(policy.label()).get()).isEqualTo(policy);
		assertThat(PlacementPolicy.parse(policy.name()).getLeft()).contains(policy.label());
	}

}
