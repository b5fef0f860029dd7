package org.mangorack.dispatch;

import org.mangorack.config.Upstream;

/**
 * A permit to send one call to an upstream. Closing the slot releases the permit.
 */
public interface Slot extends AutoCloseable {

	/**
	 * Returns the upstream.
	 * @return the upstream that the call goes to
	 */
	Upstream upstream();

	/**
	 * Reports that the call failed at the upstream.
	 */
	void recordFailure();

	/**
	 * Reports that the upstream responded to the call.
	 */
	void recordSuccess();

	/**
	 * Reports the token counts and latencies of the call.
	 * @param measurements the token counts and latencies
	 */
	void recordMeasurements(CallMeasurements measurements);

	@Override
	void close();

}
