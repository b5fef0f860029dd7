package org.mangorack.member;

import org.mangorack.call.CallAnswer;
import org.mangorack.member.proto.CallOpen;

/**
 * Handles calls from other instances.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Handles a call. Runs on a thread of the traffic executor.
	 * @param from the name of the calling instance
	 * @param open the call
	 * @return the response
	 */
	CallAnswer answer(String from, CallOpen open);

}
