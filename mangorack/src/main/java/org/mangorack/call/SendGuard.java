package org.mangorack.call;

import java.util.Optional;

/**
 * A check that runs immediately before a call is sent to an upstream.
 */
@FunctionalInterface
public interface SendGuard {

	/**
	 * Checks whether the call may still be sent.
	 * @return the refusal, or empty if the call may be sent
	 */
	Optional<Refusal> check();

}
