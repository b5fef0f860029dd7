package org.mangorack.member;

import java.util.ArrayDeque;
import java.util.Deque;

import org.mangorack.member.proto.Heartbeat;

/**
 * Tracks when another instance was last known to hear this one and to be heard by it. The
 * time of a contact is the time at which the echoed heartbeat was sent, so that delays
 * count against the contact.
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
		return this.acknowledged && (now - this.lastAcknowledgedAt <= PeerLinks.CONTACT_LIMIT.toNanos());
	}

	/**
	 * A heartbeat that was sent and not echoed yet.
	 *
	 * @param sequence the sequence number
	 * @param at the time at which it was sent, in nanoseconds
	 */
	private record SentHeartbeat(long sequence, long sentAt) {
	}

}
