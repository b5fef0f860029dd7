package org.mangorack.bench.emulator;

import java.util.List;

/**
 * Chooses upstreams for the calls of one entry.
 */
@FunctionalInterface
interface Placement {

	/**
	 * Chooses an upstream.
	 * @param candidates the upstreams that may be asked; not empty
	 * @param affinity names the program of a turn, or {@code null} for a plain call
	 * @param now the time on the clock, in nanoseconds
	 * @return the choice
	 */
	KnownUpstream choose(List<KnownUpstream> candidates, String affinity, long now);

}
