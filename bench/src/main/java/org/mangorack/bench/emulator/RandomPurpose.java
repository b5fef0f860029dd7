package org.mangorack.bench.emulator;

import java.util.SplittableRandom;

/**
 * What random numbers are for. Each purpose has a stream of its own, so that what one
 * draws does not change what another gets.
 */
public enum RandomPurpose {

	/** Programs and their calls. */
	LOAD,

	/** Choices of a placement policy. */
	PLACEMENT,

	/** Which calls fail at an upstream that fails a part of them. */
	FAILURE,

	/** How upstreams of a pool differ. */
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
