package org.mangorack.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import org.mangorack.call.UpstreamId;
import org.mangorack.config.DispatchSettings;
import org.mangorack.config.Upstream;
import org.mangorack.config.UpstreamKind;
import org.mangorack.http.HttpAddress;
import org.mangorack.member.proto.SlotReport;
import org.mangorack.member.proto.SlotRequest;
import org.mangorack.member.proto.SlotResult;
import org.mangorack.observe.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Measures the time that {@link PoolScheduler} takes to grant and release one slot. Not
 * part of the tests that CI runs; to run it, name the class on the command line.
 */
class PoolSchedulerMeasurements {

	private static final int ROUNDS = 3000;

	@ParameterizedTest
	@CsvSource({ "10, 0", "100, 0", "1000, 0", "100, 50", "100, 500" })
	void decisions(int upstreamCount, int queued) {
		PoolScheduler pool = new PoolScheduler(MonotonicClock.SYSTEM, true);
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < upstreamCount; i++) {
			upstreams.add(new Upstream(new UpstreamId("u" + i), UpstreamKind.MODEL, Set.of("m"),
					new HttpAddress("127.0.0.1", 1), "dc1", (queued > 0) ? 1 : 64, false, false));
		}
		pool.configure(upstreams, DispatchSettings.DEFAULT, Set.of("i1"));
		List<Long> slots = new ArrayList<>();
		for (int i = 0; i < ((queued > 0) ? upstreamCount + queued : 0); i++) {
			submit(pool, i, slots);
		}
		submitAndRelease(pool, slots);
		long startedAt = System.nanoTime();
		submitAndRelease(pool, slots);
		double micros = (System.nanoTime() - startedAt) / 1000.0 / ROUNDS;
		System.out.printf("MEASURED upstreams=%d queued=%d: %.0f us per slot granted and released%n", upstreamCount,
				queued, micros);
		assertThat(slots).isNotNull();
	}

	private static void submitAndRelease(PoolScheduler pool, List<Long> slots) {
		for (int i = 0; i < ROUNDS; i++) {
			submit(pool, i, slots);
			long slot = slots.remove(0);
			pool.report(SlotReport.newBuilder().addResults(SlotResult.newBuilder().setSlot(slot)).build());
		}
	}

	private static void submit(PoolScheduler pool, int number, List<Long> slots) {
		SlotRequest request = SlotRequest.newBuilder()
			.setPool("m")
			.setInstance("i1")
			.setWorkspace("w" + (number % 20))
			.setPromptTokens(1000)
			.setMaxWaitMillis(3_600_000)
			.build();
		pool.submit(request, 1).thenAccept((slot) -> slots.add(slot.get().getSlot()));
	}

}
