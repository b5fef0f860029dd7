package org.mangorack.member;

import java.util.ArrayDeque;
import java.util.Deque;

import org.mangorack.member.proto.Heartbeat;

/**
 * Tracks when another instance was last known to hear this one and to be heard by it. The
 * time of a contact is the time at which the echoed heartbeat was sent, so that delays
 * count against the contact.
 */
final class PeerContact {

	private static final int MAX_REMEMBERED = 64;

	private final Deque<Sent> sent = new ArrayDeque<>();

	private long sequence;

	private long heard;

	private long contactAt;

	private boolean everInTouch;

	synchronized Heartbeat next(Heartbeat state, long now) {
		this.sequence++;
		this.sent.addLast(new Sent(this.sequence, now));
		if (this.sent.size() > MAX_REMEMBERED) {
			this.sent.removeFirst();
		}
		return state.toBuilder().setSequence(this.sequence).setEcho(this.heard).build();
	}

	synchronized void received(Heartbeat heartbeat) {
		this.heard = heartbeat.getSequence();
		while (!this.sent.isEmpty() && (this.sent.peekFirst().sequence() <= heartbeat.getEcho())) {
			this.contactAt = this.sent.removeFirst().at();
			this.everInTouch = true;
		}
	}

	synchronized boolean isFresh(long now) {
		return this.everInTouch && (now - this.contactAt <= PeerLinks.CONTACT_LIMIT.toNanos());
	}

	/**
	 * A heartbeat that was sent and not echoed yet.
	 *
	 * @param sequence the sequence number
	 * @param at the time at which it was sent, in nanoseconds
	 */
	private record Sent(long sequence, long at) {
	}

}
