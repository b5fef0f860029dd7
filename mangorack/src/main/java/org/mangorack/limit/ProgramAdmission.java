package org.mangorack.limit;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides which programs begin while the engines of a pool are nearly full.
 * <p>
 * Answers the load of more programs than a pool can finish in time. If all of them begin,
 * all of them end late; a program that is refused at its first turn has cost nothing. The
 * probability falls gradually with the fill of the pool, because all entries learn of the
 * fill at the same time and would otherwise refuse and admit together. Programs of a
 * lower priority are refused at a lower fill, but a part of them always begins.
 */
public final class ProgramAdmission {

	/**
	 * The fill up to which all programs of the highest priority begin. Callers notice
	 * waits from full slots on only.
	 */
	static final double FULL_ADMISSION_FILL = 0.85;

	/**
	 * By how much that fill is lower for each lower priority.
	 */
	static final double FILL_STEP = 0.1;

	/**
	 * The priority from which on the fill does not fall any further.
	 */
	static final int LOWEST_PRIORITY = 2;

	/**
	 * The range of fill in which the probability falls to its minimum.
	 */
	static final double RAMP = 0.4;

	/**
	 * The part of the programs that begins at any fill.
	 */
	static final double MIN_PROBABILITY = 0.15;

	/**
	 * The shortest time after which a caller is told to come back.
	 */
	static final Duration MIN_RETRY_AFTER = Duration.ofMillis(150);

	private final RandomGenerator random;

	/**
	 * Creates an admission.
	 * @param random the source of randomness
	 */
	public ProgramAdmission(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Decides whether a program begins.
	 * @param priority its priority; 0 is the highest
	 * @param fill the calls in flight of the pool, over all entries, per slot
	 * @return {@code true} if it begins
	 */
	public boolean admits(int priority, double fill) {
		return this.random.nextDouble() < probability(priority, fill);
	}

	/**
	 * Returns when the caller of a refused program should come back: once turns of the
	 * usual length have made room, spread so that callers do not return together.
	 * @param fill the calls in flight of the pool, over all entries, per slot
	 * @param turnMillis the usual time of a turn, in milliseconds
	 * @return the time to wait
	 */
	public Duration retryAfter(double fill, double turnMillis) {
		double millis = turnMillis * fill * (0.5 + this.random.nextDouble());
		return Duration.ofMillis(Math.max(MIN_RETRY_AFTER.toMillis(), (long) millis));
	}

	static double probability(int priority, double fill) {
		int steps = Math.max(0, Math.min(LOWEST_PRIORITY, priority));
		double over = fill - (FULL_ADMISSION_FILL - (steps * FILL_STEP));
		return Math.max(MIN_PROBABILITY, Math.min(1, 1 - ((1 - MIN_PROBABILITY) * over / RAMP)));
	}

}
