package org.mangorack.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.http.HttpAddress;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link UpstreamChoice} with simulated loads on a virtual clock: entries that
 * learn of each other's calls only a few times a second, and upstreams that run a number
 * of calls concurrently and queue the rest. The baseline selects the least loaded of all
 * upstreams.
 */
class UpstreamChoiceTests {

	private static final double REFRESH_SECONDS = 0.4;

	private static final double SERVICE_SECONDS = 0.17;

	private static final int SLOTS = 6;

	private long now = 1;

	@Test
	void withoutCandidatesNoUpstreamIsSelected() {
		assertThat(choice(1).choose(List.of(), this.now)).isNull();
	}

	@Test
	void anAvoidedUpstreamIsSelectedOnlyIfAllAreAvoided() {
		List<Upstream> upstreams = upstreams(2);
		upstreams.get(0).unreachable(this.now, "no connection");
		for (int i = 0; i < 50; i++) {
			assertThat(choice(i).choose(upstreams, this.now)).isSameAs(upstreams.get(1));
		}
		upstreams.get(1).unreachable(this.now, "no connection");
		assertThat(choice(1).choose(upstreams, this.now)).isNotNull();
	}

	@Test
	void theOwnDataCentreIsPreferredAmongEquals() {
		List<Upstream> upstreams = upstreams(2);
		for (int i = 0; i < 50; i++) {
			assertThat(choice(i).choose(upstreams, this.now)).isSameAs(upstreams.get(0));
		}
	}

	@Test
	void aSlowUpstreamIsSelectedOnlyIfTheOthersAreOverloaded() {
		List<Upstream> upstreams = upstreams(3);
		upstreams.get(0).setLatencyRatio(4);
		upstreams.get(1).setCallsInFlightElsewhere(SLOTS);
		upstreams.get(2).setCallsInFlightElsewhere(SLOTS);
		assertThat(choice(1).choose(upstreams, this.now)).isNotSameAs(upstreams.get(0));
		upstreams.get(1).setCallsInFlightElsewhere(SLOTS * 3);
		upstreams.get(2).setCallsInFlightElsewhere(SLOTS * 3);
		assertThat(choice(1).choose(upstreams, this.now)).isSameAs(upstreams.get(0));
	}

	/**
	 * A large fleet at a third of its capacity, and at two thirds during a burst.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 300, 550 })
	void queueingIsShorterThanWithLeastLoadedSelection(double rate) {
		Outcome baseline = new Simulation(rate, 0, true).simulate();
		Outcome chosen = new Simulation(rate, 0, false).simulate();
		assertThat(chosen.meanWait()).as("mean wait, baseline %s", baseline).isLessThan(0.6 * baseline.meanWait());
		assertThat(chosen.p95()).as("95th percentile, baseline %s", baseline)
			.isLessThanOrEqualTo(baseline.p95() * 1.01);
	}

	/**
	 * Three of 24 upstreams take four times as long.
	 */
	@Test
	void slowUpstreamsGetFewCalls() {
		Outcome baseline = new Simulation(300, 3, true).simulate();
		Outcome chosen = new Simulation(300, 3, false).simulate();
		assertThat(chosen.slowShare()).as("share of slow upstreams, baseline %s", baseline)
			.isLessThan(0.5 * baseline.slowShare());
		assertThat(chosen.p95()).as("95th percentile, baseline %s", baseline).isLessThan(baseline.p95());
	}

	// ---- Helpers

	private static UpstreamChoice<Upstream> choice(long seed) {
		return new UpstreamChoice<>(new SplittableRandom(seed), "dc0");
	}

	private List<Upstream> upstreams(int count) {
		List<Upstream> upstreams = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			upstreams.add(new Upstream(new UpstreamRegistration("u" + i, "p", new HttpAddress("127.0.0.1", 1),
					"dc" + (i % 4), SLOTS, false, 0), this.now));
		}
		return upstreams;
	}

	/**
	 * The result of a simulation.
	 *
	 * @param meanWait the mean time in the queue of an upstream, in seconds
	 * @param p95 the 95th percentile of the total time of a call, in seconds
	 * @param slowShare the fraction of calls that were sent to slow upstreams
	 */
	private record Outcome(double meanWait, double p95, double slowShare) {
	}

	/**
	 * Simulates 20 seconds of load.
	 */
	private final class Simulation {

		private static final int ENTRIES = 65;

		private static final int UPSTREAMS = 24;

		private static final double DURATION_SECONDS = 20;

		private final SplittableRandom random = new SplittableRandom(7);

		private final PriorityQueue<TimedEvent> timedEvents = new PriorityQueue<>(
				Comparator.comparingDouble(TimedEvent::at));

		private final List<List<Upstream>> views = new ArrayList<>();

		private final List<UpstreamChoice<Upstream>> choices = new ArrayList<>();

		private final int[] running = new int[UPSTREAMS];

		private final int[] callsInFlight = new int[UPSTREAMS];

		private final double[] latencyRatio = new double[UPSTREAMS];

		private final List<Deque<Call>> queues = new ArrayList<>();

		private final List<Double> times = new ArrayList<>();

		private final int slow;

		private final boolean leastLoaded;

		private double waited;

		private int slowCalls;

		private Simulation(double rate, int slow, boolean leastLoaded) {
			this.slow = slow;
			this.leastLoaded = leastLoaded;
			Arrays.fill(this.latencyRatio, 1);
			for (int e = 0; e < ENTRIES; e++) {
				this.views.add(upstreams(UPSTREAMS));
				this.choices.add(new UpstreamChoice<>(new SplittableRandom(e), "dc" + (e % 4)));
				int entry = e;
				this.timedEvents
					.add(new TimedEvent(this.random.nextDouble() * REFRESH_SECONDS, (at) -> refresh(entry, at)));
			}
			for (int i = 0; i < UPSTREAMS; i++) {
				this.queues.add(new ArrayDeque<>());
			}
			for (double t = 0; t < DURATION_SECONDS; t -= Math.log(1 - this.random.nextDouble()) / rate) {
				this.timedEvents.add(new TimedEvent(t, this::arrive));
			}
		}

		private Outcome simulate() {
			while (!this.timedEvents.isEmpty()) {
				TimedEvent next = this.timedEvents.poll();
				next.action().run(next.at());
			}
			this.times.sort(null);
			int count = this.times.size();
			return new Outcome(this.waited / count, this.times.get((int) (count * 0.95)),
					this.slowCalls / (double) count);
		}

		private void refresh(int entry, double at) {
			List<Upstream> view = this.views.get(entry);
			for (int i = 0; i < UPSTREAMS; i++) {
				view.get(i).setCallsInFlightElsewhere(this.callsInFlight[i] - view.get(i).callsInFlight());
				view.get(i).setLatencyRatio(this.leastLoaded ? 1 : this.latencyRatio[i]);
			}
			if (at < DURATION_SECONDS) {
				this.timedEvents.add(new TimedEvent(at + REFRESH_SECONDS, (later) -> refresh(entry, later)));
			}
		}

		private void arrive(double at) {
			int entry = this.random.nextInt(ENTRIES);
			List<Upstream> view = this.views.get(entry);
			Upstream upstream = this.leastLoaded ? view.stream()
				.min(Comparator.comparingDouble((u) -> u.load() + (this.random.nextDouble() * 0.02)))
				.orElseThrow() : this.choices.get(entry).choose(view, UpstreamChoiceTests.this.now);
			Call call = new Call(view.indexOf(upstream), upstream, at);
			upstream.callStarted();
			this.callsInFlight[call.number()]++;
			this.slowCalls += (call.number() < this.slow) ? 1 : 0;
			if (this.running[call.number()] < SLOTS) {
				this.running[call.number()]++;
				run(call, at);
			}
			else {
				this.queues.get(call.number()).add(call);
			}
		}

		private void run(Call call, double at) {
			this.waited += at - call.arrivedAt();
			double factor = (call.number() < this.slow) ? 4 : 1;
			double time = SERVICE_SECONDS * factor * (0.5 + this.random.nextDouble());
			this.timedEvents.add(new TimedEvent(at + time, (end) -> finish(call, end, time / SERVICE_SECONDS)));
		}

		private void finish(Call call, double at, double callLatencyRatio) {
			int number = call.number();
			call.upstream().callEnded();
			this.callsInFlight[number]--;
			this.latencyRatio[number] += 0.15 * (callLatencyRatio - this.latencyRatio[number]);
			this.times.add(at - call.arrivedAt());
			Call next = this.queues.get(number).poll();
			if (next != null) {
				run(next, at);
			}
			else {
				this.running[number]--;
			}
		}

	}

	/**
	 * A call at an upstream.
	 *
	 * @param number the index of the upstream
	 * @param upstream the upstream's state at the entry that sent the call
	 * @param arrivedAt when the call arrived, in seconds
	 */
	private record Call(int number, Upstream upstream, double arrivedAt) {
	}

	/**
	 * An event of the simulation.
	 *
	 * @param at when it happens, in seconds
	 * @param action what it does
	 */
	private record TimedEvent(double at, Action action) {
	}

	/**
	 * The action of an event.
	 */
	@FunctionalInterface
	private interface Action {

		void run(double at);

	}

}
