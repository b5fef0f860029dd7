package org.mangorack.ownership;

import java.time.Duration;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.mangorack.http.HttpAddress;
import org.mangorack.journal.JournalId;
import org.mangorack.member.LeaseRecord;
import org.mangorack.member.LeaseRecord.Phase;
import org.mangorack.observe.ManualClock;
import org.mangorack.platform.FakeStore;
import org.mangorack.platform.ObjectKind;
import org.mangorack.platform.StoreException;

import static org.assertj.core.api.Assertions.assertThat;

class LeaseKeeperTests {

	private static final Duration DURATION = Duration.ofSeconds(3);

	private static final HttpAddress ADDRESS = new HttpAddress("127.0.0.1", 1);

	private final ManualClock clock = new ManualClock();

	private final FakeStore store = new FakeStore();

	private final LeaseKeeper keeper = new LeaseKeeper(this.store, this.clock, DURATION,
			new LeaseRecord(new JournalId("a", "1"), "dc1", ADDRESS, ADDRESS, ADDRESS, Phase.ACTIVE, 0, 0, "first"));

	@BeforeEach
	void create() throws StoreException {
		this.keeper.create();
	}

	@Test
	void leaseIsValidForItsDurationAfterARenewal() {
		this.clock.advance(Duration.ofSeconds(2));
		assertThat(this.keeper.renew()).isTrue();
		this.clock.advance(DURATION.minusMillis(1));
		assertThat(this.keeper.isValid()).isTrue();
		this.clock.advance(Duration.ofMillis(1));
		assertThat(this.keeper.isValid()).isFalse();
	}

	@Test
	void renewalWithLostAnswerCounts() {
		this.clock.advance(Duration.ofSeconds(2));
		this.store.loseAnswers(1);
		assertThat(this.keeper.renew()).isTrue();
		this.clock.advance(Duration.ofSeconds(2));
		assertThat(this.keeper.isValid()).isTrue();
		assertThat(this.keeper.renew()).isTrue();
	}

	@Test
	void leaseLapsesDuringAnOutageAndIsRegainedAfterwards() {
		this.store.setUnreachable(true);
		this.clock.advance(DURATION);
		assertThat(this.keeper.renew()).isFalse();
		assertThat(this.keeper.isValid()).isFalse();
		this.store.setUnreachable(false);
		assertThat(this.keeper.renew()).isTrue();
		assertThat(this.keeper.isValid()).isTrue();
	}

	@Test
	void removedLeaseIsLostForGood() throws StoreException {
		this.store.delete(ObjectKind.LEASE, "a.1", null);
		assertThat(this.keeper.renew()).isFalse();
		assertThat(this.keeper.isLost()).isTrue();
		assertThat(this.keeper.isValid()).isFalse();
	}

	@Test
	void announcedPhaseIsWrittenWithTheNextRenewal() throws StoreException {
		this.keeper.announce(Phase.LEAVING, 7);
		assertThat(this.keeper.isDirty()).isTrue();
		this.keeper.renew();
		assertThat(this.keeper.isDirty()).isFalse();
		LeaseRecord stored = LeaseRecord.read(this.store.get(ObjectKind.LEASE, "a.1").get()).get();
		assertThat(stored.phase()).isEqualTo(Phase.LEAVING);
		assertThat(stored.firstSegment()).isEqualTo(7);
	}

}
