package org.mangorack.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.mangorack.platform.ContactTracker;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlatformReturn}, with contacts as {@link ContactTracker} tells them,
 * on a clock that the tests advance.
 */
class PlatformReturnTests {

	private long now = 1;

	private final PlatformReturn platformReturn = new PlatformReturn(() -> this.now);

	private final ContactTracker first = new ContactTracker(() -> this.now);

	private final ContactTracker second = new ContactTracker(() -> this.now);

	@Test
	void withoutABreakThereIsNoReturn() {
		assertThat(this.platformReturn.sinceReturn()).isEqualTo(PlatformReturn.NEVER);
		this.first.answered();
		hear();
		assertThat(this.platformReturn.sinceReturn()).isEqualTo(PlatformReturn.NEVER);
	}

	@Test
	void oneSourceThatLostItsContactAloneSaysNothing() {
		this.first.answered();
		this.second.answered();
		advance(10_000);
		this.second.failed();
		hear();
		advance(8_000);
		this.second.answered();
		hear();
		assertThat(this.platformReturn.sinceReturn()).isEqualTo(Duration.ofSeconds(18));
	}

	@Test
	void afterAnOutageTheFirstToRegainContactDecides() {
		outage();
		this.first.answered();
		advance(500);
		hear();
		assertThat(this.platformReturn.sinceReturn()).isEqualTo(Duration.ofMillis(500));
		this.second.answered();
		advance(300);
		hear();
		assertThat(this.platformReturn.sinceReturn()).isEqualTo(Duration.ofMillis(800));
	}

	@Test
	void aSourceThatStartedAfterTheReturnDoesNotHideIt() {
		outage();
		this.first.answered();
		ContactTracker started = new ContactTracker(() -> this.now);
		started.answered();
		advance(400);
		hear();
		this.platformReturn.heard("second", started.contact());
		assertThat(this.platformReturn.sinceReturn()).isEqualTo(Duration.ofMillis(400));
	}

	@Test
	void duringAnOutageNothingHasReturned() {
		outage();
		assertThat(this.platformReturn.sinceReturn()).isZero();
	}

	@Test
	void aSourceThatFellSilentNoLongerCounts() {
		this.first.answered();
		advance(10_000);
		this.second.failed();
		hear();
		advance(KeeperReplies.REPLY_MAX_AGE.toMillis());
		this.second.answered();
		advance(100);
		this.platformReturn.heard("second", this.second.contact());
		assertThat(this.platformReturn.sinceReturn()).isEqualTo(Duration.ofMillis(100));
	}

	private void outage() {
		this.first.answered();
		this.second.answered();
		advance(10_000);
		this.first.failed();
		this.second.failed();
		hear();
		advance(1000);
		hear();
	}

	private void hear() {
		this.platformReturn.heard("first", this.first.contact());
		this.platformReturn.heard("second", this.second.contact());
	}

	private void advance(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
