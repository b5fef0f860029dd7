package org.mangorack.member;

import org.mangorack.call.CallAnswer;
import org.mangorack.member.proto.CallOpen;

/**
 * Answers calls of other instances.
 */
@FunctionalInterface
public interface PeerHandler {

	/**
	 * Answers a call. Runs on a traffic thread.
	 * @param from the name of the calling instance
	 * @param open the call
	 * @return the answer
	 */
	CallAnswer answer(String from, CallOpen open);

}
