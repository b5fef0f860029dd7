package org.mangorack.dispatch;

/**
 * Token counts and latencies of a completed call to a model engine.
 *
 * @param promptTokens the tokens of the prompt
 * @param cachedTokens the tokens of the prompt that the engine served from its cache
 * @param generatedTokens the tokens that the engine generated
 * @param firstTokenMicros the time from sending the call to its first token, in
 * microseconds; 0 if it was not measured
 * @param generationMicros the time from the first token to the last, in microseconds; 0
 * if it was not measured
 */
public record CallMeasurements(long promptTokens, long cachedTokens, long generatedTokens, long firstTokenMicros,
		long generationMicros) {
}
