package org.mangorack.member;

import java.time.Duration;

import org.junit.jupiter.api.Test;

import org.mangorack.member.proto.Heartbeat;

import static org.assertj.core.api.Assertions.assertThat;

class HeartbeatTrackerTests {

	private static final Heartbeat STATE = Heartbeat.getDefaultInstance();

	private final HeartbeatTracker tracker = new HeartbeatTracker();

	@Test
	void peerIsNotReachableUntilItEchoesAHeartbeat() {
		this.tracker.nextHeartbeat(STATE, 0);
		this.tracker.heartbeatReceived(Heartbeat.newBuilder().setSequence(5).setEcho(0).build());
		assertThat(this.tracker.isReachable(0)).isFalse();
	}

	@Test
	void reachabilityAgeIsMeasuredFromTheSendTimeOfTheEchoedHeartbeat() {
		long sequence = this.tracker.nextHeartbeat(STATE, 0).getSequence();
		long limit = PeerLinks.REACHABILITY_TIMEOUT.toNanos();
		this.tracker.heartbeatReceived(Heartbeat.newBuilder().setSequence(1).setEcho(sequence).build());
		assertThat(this.tracker.isReachable(limit)).isTrue();
		assertThat(this.tracker.isReachable(limit + Duration.ofMillis(1).toNanos())).isFalse();
	}

	@Test
	void heartbeatEchoesTheLastReceivedSequenceNumber() {
		this.tracker.heartbeatReceived(Heartbeat.newBuilder().setSequence(42).build());
		assertThat(this.tracker.nextHeartbeat(STATE, 0).getEcho()).isEqualTo(42);
	}

}
