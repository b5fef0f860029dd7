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

class LeaseManagerTests {

	private static final Duration DURATION = Duration.ofSeconds(3);

	private static final HttpAddress ADDRESS = new HttpAddress("127.0.0.1", 1);

	private final ManualClock clock = new ManualClock();

	private final FakeStore store = new FakeStore();

	private final LeaseManager leaseManager = new LeaseManager(this.store, this.clock, DURATION,
			new LeaseRecord(new JournalId("a", "1"), "dc1", ADDRESS, ADDRESS, ADDRESS, Phase.ACTIVE, 0, 0, "first"));

	@BeforeEach
	void create() throws StoreException {
		this.leaseManager.create();
	}

	@Test
	void leaseIsValidForItsDurationAfterARenewal() {
		this.clock.advance(Duration.ofSeconds(2));
		assertThat(this.leaseManager.renew()).isTrue();
		this.clock.advance(DURATION.minusMillis(1));
		assertThat(this.leaseManager.isValid()).isTrue();
		this.clock.advance(Duration.ofMillis(1));
		assertThat(this.leaseManager.isValid()).isFalse();
	}

	@Test
	void renewalWithLostAnswerCounts() {
		this.clock.advance(Duration.ofSeconds(2));
		this.store.loseAnswers(1);
		assertThat(this.leaseManager.renew()).isTrue();
		this.clock.advance(Duration.ofSeconds(2));
		assertThat(this.leaseManager.isValid()).isTrue();
		assertThat(this.leaseManager.renew()).isTrue();
	}

	@Test
	void leaseLapsesDuringAnOutageAndIsRegainedAfterwards() {
		this.store.setUnreachable(true);
		this.clock.advance(DURATION);
		assertThat(this.leaseManager.renew()).isFalse();
		assertThat(this.leaseManager.isValid()).isFalse();
		this.store.setUnreachable(false);
		assertThat(this.leaseManager.renew()).isTrue();
		assertThat(this.leaseManager.isValid()).isTrue();
	}

	@Test
	void removedLeaseIsLostForGood() throws StoreException {
		this.store.delete(ObjectKind.LEASE, "a.1", null);
		assertThat(this.leaseManager.renew()).isFalse();
		assertThat(this.leaseManager.isLost()).isTrue();
		assertThat(this.leaseManager.isValid()).isFalse();
	}

	@Test
	void requestedPhaseIsWrittenWithTheNextRenewal() throws StoreException {
		this.leaseManager.requestUpdate(Phase.LEAVING, 7);
		assertThat(this.leaseManager.isDirty()).isTrue();
		this.leaseManager.renew();
		assertThat(this.leaseManager.isDirty()).isFalse();
		LeaseRecord stored = LeaseRecord.read(this.store.get(ObjectKind.LEASE, "a.1").get()).get();
		assertThat(stored.phase()).isEqualTo(Phase.LEAVING);
		assertThat(stored.firstSegment()).isEqualTo(7);
	}

}
