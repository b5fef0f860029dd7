package org.mangorack.dispatch;

import java.time.Duration;

/**
 * The usual times of the engines of a pool, as exponentially weighted moving averages of
 * the turns that this instance sent there. Not thread-safe.
 */
public final class EngineTimes {

	private static final double SMOOTHING_FACTOR = 0.05;

	/**
	 * Turns with fewer tokens to read say little about the time for one token.
	 */
	private static final int MIN_READ_TOKENS = 200;

	private static final double INITIAL_READ_MILLIS_PER_TOKEN = 0.015;

	private static final double INITIAL_GENERATION_MILLIS = 200;

	/**
	 * Bounds the time for a token, as the time to the first event also contains waits.
	 */
	private static final double MAX_READ_MILLIS_PER_TOKEN = 0.1;

	private double readMillisPerToken = INITIAL_READ_MILLIS_PER_TOKEN;

	private double generationMillis = INITIAL_GENERATION_MILLIS;

	/**
	 * Records the time that an engine took to read a prompt.
	 * @param tokens the tokens that it probably did not keep
	 * @param firstEvent the time to the first event
	 */
	public void recordRead(long tokens, Duration firstEvent) {
		if (tokens >= MIN_READ_TOKENS) {
			double sample = Math.min(MAX_READ_MILLIS_PER_TOKEN, firstEvent.toNanos() / 1e6 / tokens);
			this.readMillisPerToken += SMOOTHING_FACTOR * (sample - this.readMillisPerToken);
		}
	}

	/**
	 * Records the time that an engine took to generate the output of a turn.
	 * @param time the time from the first event to the last
	 */
	public void recordGeneration(Duration time) {
		this.generationMillis += SMOOTHING_FACTOR * ((time.toNanos() / 1e6) - this.generationMillis);
	}

	/**
	 * Estimates the time to read a part of a prompt.
	 * @param tokens the number of tokens that are not kept
	 * @return the time in milliseconds
	 */
	public double readMillis(long tokens) {
		return Math.max(0, tokens) * this.readMillisPerToken;
	}

	/**
	 * Returns the usual time to generate the output of a turn.
	 * @return the time in milliseconds
	 */
	public double generationMillis() {
		return this.generationMillis;
	}

}
