package org.mangorack.member;

import java.util.ArrayDeque;
import java.util.Deque;

import org.mangorack.member.proto.Heartbeat;

/**
 * Tracks whether heartbeats are exchanged with another instance in both directions. A
 * peer is reachable if it echoed a recent heartbeat. The age is measured from the time at
 * which the echoed heartbeat was sent, not from the arrival of the echo, so delays in
 * either direction reduce the remaining time.
 */
final class HeartbeatTracker {

	private static final int MAX_UNACKNOWLEDGED = 64;

	private final Deque<SentHeartbeat> sent = new ArrayDeque<>();

	private long sequence;

	private long lastReceivedSequence;

	private long lastAcknowledgedAt;

	private boolean acknowledged;

	synchronized Heartbeat nextHeartbeat(Heartbeat state, long now) {
		this.sequence++;
		this.sent.addLast(new SentHeartbeat(this.sequence, now));
		if (this.sent.size() > MAX_UNACKNOWLEDGED) {
			this.sent.removeFirst();
		}
		return state.toBuilder().setSequence(this.sequence).setEcho(this.lastReceivedSequence).build();
	}

	synchronized void heartbeatReceived(Heartbeat heartbeat) {
		this.lastReceivedSequence = heartbeat.getSequence();
		while (!this.sent.isEmpty() && (this.sent.peekFirst().sequence() <= heartbeat.getEcho())) {
			this.lastAcknowledgedAt = this.sent.removeFirst().sentAt();
			this.acknowledged = true;
		}
	}

	synchronized boolean isReachable(long now) {
		return this.acknowledged && (now - this.lastAcknowledgedAt <= PeerLinks.REACHABILITY_TIMEOUT.toNanos());
	}

	/**
	 * A sent heartbeat that the peer has not echoed yet.
	 *
	 * @param sequence the sequence number
	 * @param sentAt the monotonic time at which it was sent, in nanoseconds
	 */
	private record SentHeartbeat(long sequence, long sentAt) {
	}

}
