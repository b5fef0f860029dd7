package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.observe.Metrics;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link AbsenceCheck}, with a clock that the tests advance.
 */
class AbsenceCheckTests {

	private static final Duration MAX_AGE = Duration.ofSeconds(2);

	private long now = 1;

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ConfigurationHolder holder = new ConfigurationHolder(VersionedDocuments.protocol(), () -> this.now,
			new Metrics(), Runnable::run);

	private final AbsenceCheck check = new AbsenceCheck(this.channel.eventLoop(), this.holder, MAX_AGE);

	private final List<String> ran = new ArrayList<>();

	AbsenceCheckTests() {
		this.channel.freezeTime();
		this.holder.offer(VersionedDocuments.document(1), this.now, "platform");
		this.check.update();
	}

	@Test
	void absenceIsCertainWhileTheCopyWasConfirmedRecently() {
		advance(MAX_AGE.toMillis() - 1);
		assertThat(this.check.isCertain(this.holder.current())).isTrue();
		advance(1);
		assertThat(this.check.isCertain(this.holder.current())).isFalse();
		this.holder.confirm(1, this.now);
		assertThat(this.check.isCertain(this.holder.current())).isTrue();
	}

	@Test
	void confirmationOfANewerConfigurationDoesNotCoverAnOlderOne() {
		FleetConfiguration older = this.holder.current();
		this.holder.offer(VersionedDocuments.document(2), this.now, "platform");
		assertThat(this.check.isCertain(older)).isFalse();
		assertThat(this.check.isCertain(this.holder.current())).isTrue();
	}

	@Test
	void heldRequestsAreReleasedInOrderWhenTheCopyIsConfirmed() {
		advance(MAX_AGE.toMillis());
		hold("first");
		hold("second");
		this.check.update();
		assertThat(this.ran).isEmpty();
		this.holder.confirm(1, this.now);
		this.check.update();
		assertThat(this.ran).containsExactly("first", "second");
	}

	@Test
	void heldRequestsAreReleasedByANewerVersionThatIsNotConfirmedRecently() {
		advance(MAX_AGE.toMillis());
		hold("one");
		this.holder.offer(VersionedDocuments.document(2), this.now - MAX_AGE.toNanos(), "platform");
		this.check.update();
		assertThat(this.ran).containsExactly("one");
		assertThat(this.check.isCertain(this.holder.current())).isFalse();
	}

	@ParameterizedTest
	@CsvSource({ ", 600", "1000, 400", "60000, 600" })
	void aRequestIsHeldForAFractionOfItsRemainingTime(Long timeLeftMillis, long waitMillis) {
		advance(MAX_AGE.toMillis());
		Duration remainingTime = (timeLeftMillis != null) ? Duration.ofMillis(timeLeftMillis) : null;
		assertThat(this.check.hold(Duration.ZERO, remainingTime, () -> this.ran.add("one"))).isPresent();
		advance(waitMillis - 1);
		assertThat(this.ran).isEmpty();
		advance(1);
		assertThat(this.ran).containsExactly("one");
		assertThat(this.check.hold(Duration.ofMillis(waitMillis), remainingTime, () -> this.ran.add("two"))).isEmpty();
	}

	@Test
	void requestsHeldAgainDuringAReleaseAreNotReleasedByIt() {
		advance(MAX_AGE.toMillis());
		this.check.hold(Duration.ZERO, null, () -> {
			this.ran.add("one");
			hold("one again");
		});
		this.holder.offer(VersionedDocuments.document(2), this.now - MAX_AGE.toNanos(), "platform");
		this.check.update();
		assertThat(this.ran).containsExactly("one");
	}

	@Test
	void theNumberOfHeldRequestsIsBounded() {
		advance(MAX_AGE.toMillis());
		for (int i = 0; i < AbsenceCheck.MAX_HELD_REQUESTS; i++) {
			assertThat(hold("one of many")).isPresent();
		}
		assertThat(hold("one too many")).isEmpty();
	}

	@Test
	void cancellingAHeldRequestFreesItsCapacity() {
		advance(MAX_AGE.toMillis());
		List<HeldCalls.HeldCall> heldCalls = new ArrayList<>();
		for (int i = 0; i < AbsenceCheck.MAX_HELD_REQUESTS; i++) {
			heldCalls.add(hold("left").orElseThrow());
		}
		heldCalls.forEach(HeldCalls.HeldCall::cancel);
		for (int i = 0; i < AbsenceCheck.MAX_HELD_REQUESTS; i++) {
			assertThat(hold("stays")).isPresent();
		}
		this.holder.confirm(1, this.now);
		this.check.update();
		assertThat(this.ran).hasSize(AbsenceCheck.MAX_HELD_REQUESTS).containsOnly("stays");
	}

	private Optional<HeldCalls.HeldCall> hold(String name) {
		return this.check.hold(Duration.ZERO, null, () -> this.ran.add(name));
	}

	private void advance(long millis) {
		this.now += TimeUnit.MILLISECONDS.toNanos(millis);
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

}
