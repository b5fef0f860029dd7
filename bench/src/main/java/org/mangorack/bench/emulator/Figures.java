package org.mangorack.bench.emulator;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * The measurements of one policy in an experiment.
 *
 * @param policy the policy
 * @param programs the number of programs started
 * @param finished the number of programs whose calls all succeeded
 * @param inAim the number of programs that finished within their latency target
 * @param latency the latency of finished programs relative to the ideal, in thousandths
 * @param firstEvent the times to the first event of turns, in microseconds
 * @param calls the number of calls by outcome
 * @param refusedInVain the number of calls that were rejected although an upstream would
 * have responded within their latency target
 * @param admittedInVain the number of admitted calls that missed their latency target
 * @param tokensRead the number of prompt tokens that engines processed
 * @param tokensReadAgain the number of those that an engine had processed before
 * @param preemptions the number of preempted requests
 * @param peakTokens the peak memory usage of any engine, in tokens
 */
record Figures(PlacementPolicy policy, int programs, int finished, int inAim, Histogram latency, Histogram firstEvent,
		Map<CallOutcome, Integer> calls, int refusedInVain, int admittedInVain, long tokensRead, long tokensReadAgain,
		long preemptions, int peakTokens) {

	private static final int DIGITS = 3;

	Figures {
		calls = Map.copyOf(calls);
	}

	/**
	 * Collects the measurements of an experiment.
	 * @param policy the policy
	 * @param programs the programs
	 * @param results the results of all calls, which must have ended
	 * @param fleet the fleet
	 * @return the measurements
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
	 * Returns the number of calls with an outcome.
	 * @param outcome the outcome
	 * @return the number of calls
	 */
	int calls(CallOutcome outcome) {
		return this.calls.getOrDefault(outcome, 0);
	}

	/**
	 * Returns the fraction of programs that finished within their latency target.
	 * @return the fraction, from 0 to 1
	 */
	double shareInAim() {
		return (this.programs > 0) ? (this.inAim / (double) this.programs) : 0;
	}

	/**
	 * Returns a percentile of the relative latency of programs.
	 * @param percentile the percentile, from 0 to 100
	 * @return the latency as a multiple of the ideal latency
	 */
	double latencyAt(double percentile) {
		return this.latency.getValueAtPercentile(percentile) / 1000.0;
	}

	/**
	 * Returns a percentile of the time to the first event of turns.
	 * @param percentile the percentile, from 0 to 100
	 * @return the time in milliseconds
	 */
	double firstEventMillisAt(double percentile) {
		return this.firstEvent.getValueAtPercentile(percentile) / 1000.0;
	}

}
