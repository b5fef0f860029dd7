package org.mangorack.bench.emulator;

import java.util.List;

import org.mangorack.bench.emulator.load.PlannedCall;

/**
 * Chooses upstreams for the calls of one entry.
 */
@FunctionalInterface
interface Placement {

	/**
	 * Chooses an upstream.
	 * @param candidates the eligible upstreams; not empty
	 * @param call the call
	 * @param affinity the affinity key of a turn, or {@code null} for a plain call
	 * @param now the current time in nanoseconds
	 * @return the chosen upstream
	 */
	KnownUpstream choose(List<KnownUpstream> candidates, PlannedCall call, String affinity, long now);

}
