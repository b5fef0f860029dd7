package org.mangorack.dispatch;

import java.util.HashMap;
import java.util.Map;

import org.mangorack.member.proto.SlotRequest;
import org.mangorack.member.proto.SlotResult;

/**
 * Predicts the engine work of calls, in milliseconds, from exponential moving averages of
 * the token counts and latencies of completed calls.
 */
final class WorkEstimator {

	private static final double SMOOTHING_FACTOR = 0.05;

	private static final double INITIAL_PREFILL_MILLIS_PER_TOKEN = 0.02;

	private static final double INITIAL_GENERATION_MILLIS_PER_TOKEN = 10;

	private static final double INITIAL_GENERATED_TOKENS = 64;

	private final Map<String, Double> generatedTokens = new HashMap<>();

	private double prefillMillisPerToken = INITIAL_PREFILL_MILLIS_PER_TOKEN;

	private double generationMillisPerToken = INITIAL_GENERATION_MILLIS_PER_TOKEN;

	/**
	 * Predicts the work of a call.
	 * @param request the call
	 * @return the work in milliseconds
	 */
	double predict(SlotRequest request) {
		double tokens = this.generatedTokens.getOrDefault(request.getWorkspace(), INITIAL_GENERATED_TOKENS);
		if (request.getMaxTokens() > 0) {
			tokens = Math.min(tokens, request.getMaxTokens());
		}
		return work(request.getPromptTokens() - request.getCachedTokens(), tokens);
	}

	/**
	 * Computes the work of a completed call.
	 * @param result the result of the call
	 * @return the work in milliseconds
	 */
	double actual(SlotResult result) {
		return work(result.getPromptTokens() - result.getCachedTokens(), result.getGeneratedTokens());
	}

	/**
	 * Estimates the duration of a prefill.
	 * @param tokens the number of tokens that are not cached
	 * @return the time in milliseconds
	 */
	double prefillMillis(long tokens) {
		return Math.max(0, tokens) * this.prefillMillisPerToken;
	}

	/**
	 * Updates the averages with the result of a completed call.
	 * @param workspace the workspace of the call
	 * @param result the result of the call
	 */
	void recordResult(String workspace, SlotResult result) {
		this.generatedTokens.merge(workspace, (double) result.getGeneratedTokens(), WorkEstimator::smooth);
		long uncached = result.getPromptTokens() - result.getCachedTokens();
		if ((uncached > 100) && (result.getFirstTokenMicros() > 0)) {
			this.prefillMillisPerToken = smooth(this.prefillMillisPerToken,
					result.getFirstTokenMicros() / 1000.0 / uncached);
		}
		if ((result.getGeneratedTokens() > 1) && (result.getGenerationMicros() > 0)) {
			this.generationMillisPerToken = smooth(this.generationMillisPerToken,
					result.getGenerationMicros() / 1000.0 / (result.getGeneratedTokens() - 1));
		}
	}

	private double work(long uncached, double tokens) {
		return Math.max(1, prefillMillis(uncached) + (tokens * this.generationMillisPerToken));
	}

	private static double smooth(double old, double sample) {
		return (old * (1 - SMOOTHING_FACTOR)) + (sample * SMOOTHING_FACTOR);
	}

}
