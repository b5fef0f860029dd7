package org.mangorack.member;

import org.mangorack.member.proto.Heartbeat;

/**
 * Supplies the state of this instance for heartbeats.
 */
@FunctionalInterface
public interface HeartbeatSource {

	/**
	 * Returns the current state, without sequence numbers.
	 * @return the heartbeat to complete and send
	 */
	Heartbeat current();

}
