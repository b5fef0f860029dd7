package org.mangorack.dispatch;

/**
 * What the placement of a call needs to know about an upstream.
 */
public interface PlacementCandidate {

	/**
	 * Returns the id of the upstream.
	 * @return the id
	 */
	String id();

	/**
	 * Returns the data centre of the upstream.
	 * @return the data centre
	 */
	String dataCentre();

	/**
	 * Returns the number of calls that the upstream runs concurrently.
	 * @return the slots, at least one
	 */
	int slots();

	/**
	 * Returns the load of the upstream, over all entries.
	 * @return the calls in flight per slot
	 */
	double load();

	/**
	 * Returns the recent latency ratio of the upstream, over all entries.
	 * @return the ratio of its response times to the usual ones
	 */
	double latencyRatio();

	/**
	 * Returns whether the upstream gets calls only if no other is available.
	 * @param now the time on the monotonic clock
	 * @return {@code true} if it recently failed or had no free capacity
	 */
	boolean isAvoided(long now);

}
