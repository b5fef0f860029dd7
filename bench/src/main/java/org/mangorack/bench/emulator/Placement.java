package org.mangorack.bench.emulator;

import java.util.List;

/**
 * Chooses upstreams for the calls of one entry.
 */
@FunctionalInterface
interface Placement {

	/**
	 * Chooses an upstream.
	 * @param candidates the eligible upstreams; not empty
	 * @param affinity the affinity key of a turn, or {@code null} for a plain call
	 * @param now the current time in nanoseconds
	 * @return the chosen upstream
	 */
	KnownUpstream choose(List<KnownUpstream> candidates, String affinity, long now);

}
