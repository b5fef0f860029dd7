package org.mangorack.call;

import java.util.Optional;

/**
 * Checked right before a call is sent to an upstream.
 */
@FunctionalInterface
public interface SendGuard {

	/**
	 * Tells whether the call may still be sent.
	 * @return the refusal, or empty when the call may be sent
	 */
	Optional<Refusal> check();

}
