package org.mangorack.dispatch;

/**
 * What a finished call of a model engine showed.
 *
 * @param promptTokens the tokens of the prompt
 * @param cachedTokens the tokens of the prompt that the engine had cached
 * @param generatedTokens the tokens that the engine generated
 * @param firstTokenMicros the time from sending the call to its first token, in
 * microseconds; 0 when not measured
 * @param generationMicros the time from the first token to the last, in microseconds; 0
 * when not measured
 */
public record CallTimes(long promptTokens, long cachedTokens, long generatedTokens, long firstTokenMicros,
		long generationMicros) {
}
