package org.mangorack.relay;

/**
 * What {@link UpstreamChoice} has to know of an upstream.
 */
public interface UpstreamCandidate {

	/**
	 * Returns the id of the upstream.
	 * @return the id
	 */
	String id();

	/**
	 * Returns where the upstream stands.
	 * @return the data centre
	 */
	String dataCentre();

	/**
	 * Returns how full the upstream is.
	 * @return calls under way for each slot
	 */
	double load();

	/**
	 * Returns how long its answers took lately, over all entries.
	 * @return a multiple of what their routes usually take
	 */
	double pace();

	/**
	 * Tells whether it gets calls only if there is no other.
	 * @param now the time on the monotonic clock
	 * @return {@code true} if it failed or was full lately
	 */
	boolean isAvoided(long now);

}
