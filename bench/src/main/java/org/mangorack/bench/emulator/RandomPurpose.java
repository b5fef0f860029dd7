package org.mangorack.bench.emulator;

import java.util.SplittableRandom;

/**
 * The purposes of random numbers. Each purpose has its own stream, so that draws for one
 * purpose do not affect another.
 */
public enum RandomPurpose {

	/** Programs and their calls. */
	LOAD,

	/** Decisions of a placement policy. */
	PLACEMENT,

	/** Call failures at an upstream with partial failures. */
	FAILURE,

	/** Differences between the upstreams of a pool. */
	UPSTREAM;

	/**
	 * Creates the stream of this purpose.
	 * @param seed the seed of the experiment
	 * @return the stream
	 */
	public SplittableRandom stream(long seed) {
		SplittableRandom streams = new SplittableRandom(seed);
		SplittableRandom stream = streams.split();
		for (int i = 0; i < ordinal(); i++) {
			stream = streams.split();
		}
		return stream;
	}

}
