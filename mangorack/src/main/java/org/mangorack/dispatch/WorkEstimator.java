package org.mangorack.dispatch;

import java.util.HashMap;
import java.util.Map;

import org.mangorack.member.proto.SlotRequest;
import org.mangorack.member.proto.SlotResult;

/**
 * Predicts the engine work of calls, in milliseconds, from the times that finished calls
 * reported.
 */
final class WorkEstimator {

	private static final double WEIGHT = 0.05;

	private static final double INITIAL_PREFILL_MILLIS = 0.02;

	private static final double INITIAL_TOKEN_MILLIS = 10;

	private static final double INITIAL_GENERATED = 64;

	private final Map<String, Double> generated = new HashMap<>();

	private double prefillMillis = INITIAL_PREFILL_MILLIS;

	private double tokenMillis = INITIAL_TOKEN_MILLIS;

	/**
	 * Predicts the work of a call.
	 * @param request the call
	 * @return the work in milliseconds
	 */
	double predict(SlotRequest request) {
		double tokens = this.generated.getOrDefault(request.getWorkspace(), INITIAL_GENERATED);
		if (request.getMaxTokens() > 0) {
			tokens = Math.min(tokens, request.getMaxTokens());
		}
		return work(request.getPromptTokens() - request.getCachedTokens(), tokens);
	}

	/**
	 * Computes the work of a finished call.
	 * @param result the finished call
	 * @return the work in milliseconds
	 */
	double actual(SlotResult result) {
		return work(result.getPromptTokens() - result.getCachedTokens(), result.getGeneratedTokens());
	}

	/**
	 * Returns how long prefill of tokens takes.
	 * @param tokens the tokens that are not cached
	 * @return the time in milliseconds
	 */
	double prefill(long tokens) {
		return Math.max(0, tokens) * this.prefillMillis;
	}

	/**
	 * Learns from a finished call.
	 * @param workspace the workspace of the call
	 * @param result the finished call
	 */
	void recordResult(String workspace, SlotResult result) {
		this.generated.merge(workspace, (double) result.getGeneratedTokens(), WorkEstimator::blend);
		long uncached = result.getPromptTokens() - result.getCachedTokens();
		if ((uncached > 100) && (result.getFirstTokenMicros() > 0)) {
			this.prefillMillis = blend(this.prefillMillis, result.getFirstTokenMicros() / 1000.0 / uncached);
		}
		if ((result.getGeneratedTokens() > 1) && (result.getGenerationMicros() > 0)) {
			this.tokenMillis = blend(this.tokenMillis,
					result.getGenerationMicros() / 1000.0 / (result.getGeneratedTokens() - 1));
		}
	}

	private double work(long uncached, double tokens) {
		return Math.max(1, prefill(uncached) + (tokens * this.tokenMillis));
	}

	private static double blend(double old, double sample) {
		return (old * (1 - WEIGHT)) + (sample * WEIGHT);
	}

}
