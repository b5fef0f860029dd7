package org.mangorack.limit;

import java.time.Duration;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.mangorack.call.WorkspaceId;
import org.mangorack.config.Workspace;
import org.mangorack.limit.BucketTable.Grant;
import org.mangorack.observe.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for how long {@link RateLimiter} lets a call wait for a grant. Each request for a
 * grant advances the manual clock by a fixed time.
 */
class RateLimiterTests {

	private static final Duration MAX_WAIT = Duration.ofMillis(250);

	private static final Workspace WORKSPACE = new Workspace(new WorkspaceId("w"), 2000, 4000, 1, 10,
			Duration.ofMinutes(1), 0, Set.of());

	private static final Optional<Grant> NO_OWNER = Optional.empty();

	private static final Optional<Grant> EMPTY_GRANT = Optional.of(new Grant(0, Duration.ofMillis(1)));

	private static final Optional<Grant> GRANTED = Optional.of(new Grant(1, Duration.ZERO));

	private final ManualClock clock = new ManualClock();

	@Test
	void waitForAnUnreachableOwnerIsNotCountedAsWaitForTheRate() {
		assertThat(
				acquire(Duration.ofMillis(100), List.of(NO_OWNER, NO_OWNER, NO_OWNER, NO_OWNER, EMPTY_GRANT, GRANTED)))
			.isEqualTo("taken");
	}

	@Test
	void grantReceivedAfterItsLifetimeIsNotReportedAsRateExceeded() {
		assertThat(acquire(Duration.ofMillis(500), Collections.nCopies(20, GRANTED))).isEqualTo("rate_unavailable");
	}

	@Test
	void callBeyondTheRateIsRefusedAfterTheMaximumWait() {
		assertThat(
				acquire(Duration.ofMillis(100), List.of(EMPTY_GRANT, EMPTY_GRANT, EMPTY_GRANT, EMPTY_GRANT, GRANTED)))
			.isEqualTo("rate_exceeded");
	}

	@Test
	void waitForAnUnreachableOwnerIsBounded() {
		assertThat(acquire(Duration.ofSeconds(3), List.of(NO_OWNER, NO_OWNER, NO_OWNER, GRANTED)))
			.isEqualTo("rate_unavailable");
	}

	private String acquire(Duration perRequest, List<Optional<Grant>> answers) {
		Iterator<Optional<Grant>> next = answers.iterator();
		RateLimiter limiter = new RateLimiter((workspace, wanted) -> {
			this.clock.advance(perRequest);
			return next.next();
		}, this.clock, MAX_WAIT);
		return limiter.acquire(WORKSPACE).fold((refusal) -> refusal.code(), (taken) -> "taken");
	}

}
