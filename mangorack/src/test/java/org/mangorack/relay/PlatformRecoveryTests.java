package org.mangorack.relay;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.mangorack.platform.ContactTracker;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PlatformRecovery}, with contacts as reported by {@link ContactTracker}
 * and a clock that the tests advance.
 */
class PlatformRecoveryTests {

	private long now = 1;

	private final PlatformRecovery platformRecovery = new PlatformRecovery(() -> this.now);

	private final ContactTracker first = new ContactTracker(() -> this.now);

	private final ContactTracker second = new ContactTracker(() -> this.now);

	@Test
	void withoutAnOutageThereIsNoRecovery() {
		assertThat(this.platformRecovery.timeSinceRecovery()).isEqualTo(PlatformRecovery.NO_KNOWN_OUTAGE);
		this.first.answered();
		reportContacts();
		assertThat(this.platformRecovery.timeSinceRecovery()).isEqualTo(PlatformRecovery.NO_KNOWN_OUTAGE);
	}

	@Test
	void lossOfContactByASingleSourceIsNoOutage() {
		this.first.answered();
		this.second.answered();
		advance(10_000);
		this.second.failed();
		reportContacts();
		advance(8_000);
		this.second.answered();
		reportContacts();
		assertThat(this.platformRecovery.timeSinceRecovery()).isEqualTo(Duration.ofSeconds(18));
	}

	@Test
	void recoveryIsCountedFromTheFirstSourceToRegainContact() {
		outage();
		this.first.answered();
		advance(500);
		reportContacts();
		assertThat(this.platformRecovery.timeSinceRecovery()).isEqualTo(Duration.ofMillis(500));
		this.second.answered();
		advance(300);
		reportContacts();
		assertThat(this.platformRecovery.timeSinceRecovery()).isEqualTo(Duration.ofMillis(800));
	}

	@Test
	void aSourceStartedAfterTheRecoveryDoesNotHideIt() {
		outage();
		this.first.answered();
		ContactTracker started = new ContactTracker(() -> this.now);
		started.answered();
		advance(400);
		reportContacts();
		this.platformRecovery.update("second", started.contact());
		assertThat(this.platformRecovery.timeSinceRecovery()).isEqualTo(Duration.ofMillis(400));
	}

	@Test
	void timeSinceRecoveryIsZeroDuringAnOutage() {
		outage();
		assertThat(this.platformRecovery.timeSinceRecovery()).isZero();
	}

	@Test
	void aSourceThatStoppedReportingIsIgnored() {
		this.first.answered();
		advance(10_000);
		this.second.failed();
		reportContacts();
		advance(KeeperReplies.MAX_REPLY_AGE.toMillis());
		this.second.answered();
		advance(100);
		this.platformRecovery.update("second", this.second.contact());
		assertThat(this.platformRecovery.timeSinceRecovery()).isEqualTo(Duration.ofMillis(100));
	}

	private void outage() {
		this.first.answered();
		this.second.answered();
		advance(10_000);
		this.first.failed();
		this.second.failed();
		reportContacts();
		advance(1000);
		reportContacts();
	}

	private void reportContacts() {
		this.platformRecovery.update("first", this.first.contact());
		this.platformRecovery.update("second", this.second.contact());
	}

	private void advance(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
