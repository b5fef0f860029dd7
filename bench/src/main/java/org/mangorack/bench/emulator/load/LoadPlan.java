package org.mangorack.bench.emulator.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

import org.mangorack.bench.emulator.load.LoadShape.Burst;
import org.mangorack.bench.emulator.load.LoadShape.CallShape;
import org.mangorack.bench.emulator.load.LoadShape.ProgramShape;

/**
 * The programs of an experiment, generated in advance so that all policies run the same
 * load.
 */
public final class LoadPlan {

	private static final double NANOS_PER_MILLI = 1e6;

	private final LoadShape shape;

	private final List<PlannedProgram> programs = new ArrayList<>();

	private long parts;

	private long calls;

	private LoadPlan(LoadShape shape) {
		this.shape = shape;
	}

	/**
	 * Generates the programs.
	 * @param shape the description of the load
	 * @param random the source of randomness
	 * @return the plan
	 */
	public static LoadPlan draw(LoadShape shape, SplittableRandom random) {
		LoadPlan plan = new LoadPlan(shape);
		for (ProgramShape kind : shape.programs()) {
			PromptPart shared = plan.part(kind.sharedTokens());
			for (int w = 0; w < shape.workspaces().count(); w++) {
				plan.drawStarts(kind, shared, w, random.split());
			}
		}
		plan.programs.sort(Comparator.comparingLong(PlannedProgram::startNanos).thenComparing(PlannedProgram::name));
		return plan;
	}

	/**
	 * Returns the programs.
	 * @return the programs, ordered by start time
	 */
	public List<PlannedProgram> programs() {
		return List.copyOf(this.programs);
	}

	// ---- Helpers

	private void drawStarts(ProgramShape kind, PromptPart shared, int workspace, SplittableRandom random) {
		double highest = this.shape.bursts().stream().mapToDouble(Burst::factor).reduce(1, (a, b) -> a * b);
		double rate = kind.perSecond() * share(workspace);
		int number = 0;
		double at = exponential(random) / (rate * highest);
		while (at < this.shape.seconds()) {
			double seconds = at;
			double factor = this.shape.bursts()
				.stream()
				.mapToDouble((b) -> b.factor(workspace, seconds))
				.reduce(1, (a, b) -> a * b);
			if (random.nextDouble() * highest < factor) {
				String name = kind.name() + "-" + workspace + "-" + number++;
				this.programs
					.add(new ProgramDraw(kind, shared, random.split()).draw(name, workspace, Math.round(at * 1e9)));
			}
			at += exponential(random) / (rate * highest);
		}
	}

	private double share(int workspace) {
		double sum = 0;
		for (int w = 0; w < this.shape.workspaces().count(); w++) {
			sum += weight(w);
		}
		return weight(workspace) / sum;
	}

	private double weight(int workspace) {
		return Math.pow(workspace + 1.0, -this.shape.workspaces().skew());
	}

	private PromptPart part(int tokens) {
		return new PromptPart(this.parts++, tokens);
	}

	private static double exponential(SplittableRandom random) {
		return -Math.log(1 - random.nextDouble());
	}

	/**
	 * Generates one program.
	 */
	private final class ProgramDraw {

		private final ProgramShape kind;

		private final PromptPart shared;

		private final SplittableRandom random;

		private final List<PlannedCall> drawn = new ArrayList<>();

		private double pauseNanos;

		private double idealNanos;

		private ProgramDraw(ProgramShape kind, PromptPart shared, SplittableRandom random) {
			this.kind = kind;
			this.shared = shared;
			this.random = random;
		}

		private PlannedProgram draw(String name, int workspace, long start) {
			List<PromptPart> history = new ArrayList<>(List.of(this.shared));
			int turns = turns();
			for (int i = 0; i < turns; i++) {
				addTurn(history);
				if (this.random.nextDouble() < this.kind.subAgentShare()) {
					List<PromptPart> own = new ArrayList<>(List.of(this.shared));
					for (int j = 0; j < this.kind.subAgentTurns(); j++) {
						addTurn(own);
					}
				}
				for (CallShape call : LoadPlan.this.shape.calls()) {
					if (this.random.nextDouble() < call.perTurn()) {
						addCall(call);
					}
				}
				this.pauseNanos = this.kind.pauseMillis() * exponential(this.random) * NANOS_PER_MILLI;
			}
			long ideal = Math.round(this.idealNanos);
			long aim = Math.round((ideal * this.kind.aimFactor()) + (this.kind.aimMillis() * NANOS_PER_MILLI));
			return new PlannedProgram(name, workspace, start, this.drawn, ideal, aim);
		}

		private int turns() {
			double more = exponential(this.random) * (this.kind.turns() - 0.5);
			return (int) Math.min(this.kind.mostTurns(), 1 + Math.floor(more));
		}

		private void addTurn(List<PromptPart> history) {
			int tokens = randomAround(this.kind.turnTokens());
			int output = randomAround(this.kind.outputTokens());
			history.add(part(tokens));
			add(new PlannedCall(LoadPlan.this.calls++, this.kind.name(), entry(), pause(), history, output, 0,
					nanos(this.kind.aimMillis()), nanos(this.kind.deadlineMillis()), false),
					LoadPlan.this.shape.engines().idleNanos(tokens, output));
		}

		private void addCall(CallShape call) {
			long work = nanos(call.workMillis() * (0.5 + this.random.nextDouble()));
			add(new PlannedCall(LoadPlan.this.calls++, call.name(), entry(), pause(), List.of(), 0, work,
					nanos(call.aimMillis()), nanos(call.deadlineMillis()), call.repeatable()), work);
		}

		private void add(PlannedCall call, long idle) {
			this.drawn.add(call);
			this.idealNanos += call.pauseNanos() + nanos(LoadPlan.this.shape.wayMillis()) + idle;
		}

		private long pause() {
			long pause = Math.round(this.pauseNanos);
			this.pauseNanos = 0;
			return pause;
		}

		private int entry() {
			return this.random.nextInt(LoadPlan.this.shape.entries());
		}

		// Uniformly distributed between 0.5 and 1.5 times the mean.
		private int randomAround(int mean) {
			return Math.max(1, (mean / 2) + this.random.nextInt(mean + 1));
		}

		private long nanos(double millis) {
			return Math.round(millis * NANOS_PER_MILLI);
		}

	}

}
