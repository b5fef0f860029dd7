package org.mangorack.relay;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.keeper.KeeperClient;
import org.mangorack.observe.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the log records of refusals by {@link RelayCall}.
 */
class RelayRefusalTests {

	private static final Object[] FIELDS = { "request", "r-1" };

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final KeeperClient keepers = new KeeperClient(this.loops.next(), MonotonicClock.SYSTEM, "dc", 1);

	@AfterEach
	void close() {
		this.loops.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	@ParameterizedTest
	@ValueSource(strings = { "keepers_away", "rate_unknown", "turn_uncertain", "reservation_lost" })
	void aRefusalForLackOfKeepersNamesThoseThatAreConnected(String code) {
		assertThat(RelayCall.withKeepers(FIELDS, code, this.keepers)).containsExactly("request", "r-1", "connected",
				List.of(), "members", 0, "epoch", 0L);
	}

	@Test
	void anotherRefusalDoesNotNameKeepers() {
		assertThat(RelayCall.withKeepers(FIELDS, "no_route", this.keepers)).isEqualTo(FIELDS);
	}

}
