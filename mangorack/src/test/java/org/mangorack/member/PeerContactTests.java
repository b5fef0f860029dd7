package org.mangorack.member;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import org.mangorack.member.proto.Heartbeat;

import static org.assertj.core.api.Assertions.assertThat;

class PeerContactTests {

	private static final Heartbeat STATE = Heartbeat.getDefaultInstance();

	private final PeerContact contact = new PeerContact();

	@Test
	void hearingWithoutBeingHeardIsNoContact() {
		this.contact.next(STATE, 0);
		this.contact.received(Heartbeat.newBuilder().setSequence(5).setEcho(0).build());
		assertThat(this.contact.isFresh(0)).isFalse();
	}

	@Test
	void contactCountsFromWhenTheEchoedHeartbeatWasSent() {
		long sequence = this.contact.next(STATE, 0).getSequence();
		long limit = PeerLinks.CONTACT_LIMIT.toNanos();
		this.contact.received(Heartbeat.newBuilder().setSequence(1).setEcho(sequence).build());
		assertThat(this.contact.isFresh(limit)).isTrue();
		assertThat(this.contact.isFresh(limit + Duration.ofMillis(1).toNanos())).isFalse();
	}

	@Test
	void heartbeatsEchoWhatWasHeard() {
		this.contact.received(Heartbeat.newBuilder().setSequence(42).build());
		assertThat(this.contact.next(STATE, 0).getEcho()).isEqualTo(42);
	}

}
