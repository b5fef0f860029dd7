package org.mangorack.bench.emulator;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * What an experiment measured of one policy.
 *
 * @param policy the policy
 * @param programs the programs that started
 * @param finished those of them whose calls were all answered
 * @param inAim those of them that finished within their aim
 * @param latency the time of finished programs against their ideal one, in thousandths
 * @param firstEvent the time to the first event of turns, in microseconds
 * @param calls the calls by outcome
 * @param refusedInVain the calls that were refused although an upstream would have
 * answered them within their aim
 * @param admittedInVain the calls that were admitted and not answered within their aim
 * @param tokensRead the prompt tokens that engines read
 * @param tokensReadAgain those of them that an engine had read before
 * @param preemptions how often a request gave up its memory
 * @param peakTokens the most memory that was in use at one engine, in tokens
 */
record Figures(PlacementPolicy policy, int programs, int finished, int inAim, Histogram latency, Histogram firstEvent,
		Map<CallOutcome, Integer> calls, int refusedInVain, int admittedInVain, long tokensRead, long tokensReadAgain,
		long preemptions, int peakTokens) {

	private static final int DIGITS = 3;

	Figures {
		calls = Map.copyOf(calls);
	}

	/**
	 * Collects the figures of an experiment.
	 * @param policy the policy
	 * @param programs the programs
	 * @param results the results of calls, all of which have ended
	 * @param fleet the fleet
	 * @return the figures
	 */
	static Figures of(PlacementPolicy policy, List<ProgramRun> programs, List<CallResult> results, Fleet fleet) {
		Histogram latency = new Histogram(DIGITS);
		programs.stream().filter(ProgramRun::isFinished).forEach((p) -> latency.recordValue(p.latencyPerMille()));
		Histogram firstEvent = new Histogram(DIGITS);
		Map<CallOutcome, Integer> calls = new EnumMap<>(CallOutcome.class);
		for (CallResult result : results) {
			calls.merge(result.outcome(), 1, Integer::sum);
			if (result.isTurn() && result.hasFirstEvent()) {
				firstEvent.recordValue(result.firstEventNanos() / 1000);
			}
		}
		PromptReads reads = fleet.reads();
		return new Figures(policy, programs.size(), (int) programs.stream().filter(ProgramRun::isFinished).count(),
				(int) programs.stream().filter(ProgramRun::isInAim).count(), latency, firstEvent, calls,
				(int) results.stream().filter(CallResult::isRefusedInVain).count(),
				(int) results.stream().filter(CallResult::isAdmittedInVain).count(), reads.tokens(),
				reads.tokensAgain(), reads.preemptions(),
				fleet.engines().stream().mapToInt(Engine::peakTokens).max().orElse(0));
	}

	/**
	 * Returns the calls that ended in one way.
	 * @param outcome how they ended
	 * @return their number
	 */
	int calls(CallOutcome outcome) {
		return this.calls.getOrDefault(outcome, 0);
	}

	/**
	 * Returns the part of programs that finished within their aim.
	 * @return the part, from 0 to 1
	 */
	double shareInAim() {
		return (this.programs > 0) ? (this.inAim / (double) this.programs) : 0;
	}

	/**
	 * Returns a percentile of the time of programs.
	 * @param percentile the percentile, from 0 to 100
	 * @return a multiple of the ideal time
	 */
	double latencyAt(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / 1000.0;
	}

	/**
	 * Returns a percentile of the time to the first event of turns.
	 * @param percentile the percentile, from 0 to 100
	 * @return the time, in milliseconds
	 */
	double firstEventMillisAt(double percentile) {
		return this.firstEvent.getValueAtPercentile(percentile) / 1000.0;
	}

}
