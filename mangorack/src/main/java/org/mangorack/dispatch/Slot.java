package org.mangorack.dispatch;

import org.mangorack.config.Upstream;

/**
 * The right to send one call to an upstream. Closing it gives the right back.
 */
public interface Slot extends AutoCloseable {

	/**
	 * Returns the upstream.
	 * @return the upstream that the call goes to
	 */
	Upstream upstream();

	/**
	 * Reports that the upstream did not answer.
	 */
	void failed();

	/**
	 * Reports that the upstream answered.
	 */
	void answered();

	/**
	 * Reports what the call showed.
	 * @param times the times and tokens of the call
	 */
	void measured(CallTimes times);

	@Override
	void close();

}
