package org.mangorack.observe;

import java.time.Duration;

import io.micrometer.core.instrument.Timer;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Metrics}.
 */
class MetricsTests {

	private static final int WORKSPACES = 60;

	private static final int ROUTES = 1400;

	private static final Duration TIME = Duration.ofMillis(5);

	private final Metrics metrics = new Metrics();

	// Guards against a heap that fills up with the timers of many workspaces and routes.
	@Test
	void theNumberOfTimersOfCallsIsLimited() {
		for (int workspace = 0; workspace < WORKSPACES; workspace++) {
			for (int route = 0; route < ROUTES; route++) {
				this.metrics.recordCall("w" + workspace, "r" + route, "ok", TIME);
			}
			this.metrics.recordCall("w" + workspace, "r0", "upstream_failed", TIME);
			this.metrics.recordFirstByte("w" + workspace, "chat", TIME);
		}
		assertThat(this.metrics.registry().find("mangorack.calls").timers())
			.hasSizeLessThanOrEqualTo(LimitedTimers.MAX_TIMERS + 2);
		assertThat(count("mangorack.calls")).isEqualTo(WORKSPACES * (ROUTES + 1L));
		assertThat(this.metrics.registry()
			.find("mangorack.calls")
			.tags("workspace", "other", "class", "other", "outcome", "upstream_failed")
			.timers()).hasSize(1);
		assertThat(count("mangorack.calls.first.byte")).isEqualTo(WORKSPACES);
	}

	@Test
	void aCombinationThatIsKnownKeepsItsTimer() {
		this.metrics.recordCall("first", "chat", "ok", TIME);
		for (int route = 0; route < 2 * LimitedTimers.MAX_TIMERS; route++) {
			this.metrics.recordCall("w", "r" + route, "ok", TIME);
		}
		this.metrics.recordCall("first", "chat", "ok", TIME);
		assertThat(this.metrics.registry().get("mangorack.calls").tag("workspace", "first").timer().count())
			.isEqualTo(2);
	}

	private long count(String name) {
		return this.metrics.registry().find(name).timers().stream().mapToLong(Timer::count).sum();
	}

}
