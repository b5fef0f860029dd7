package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.mangorack.http.HttpAddress;
import org.mangorack.keeper.UpstreamLatencies;
import org.mangorack.keeper.proto.Load;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link StartRoom} with simulated loads on a virtual clock: entries that learn of
 * each other's calls and answers every 400 ms, and upstreams that queue a few calls
 * beyond their slots, refuse the next ones, and take longer the more calls they run while
 * they are cold. Callers retry once. The baseline sends calls to upstreams that start
 * without a limit.
 */
class UpstreamStartSimulationTests {

	private static final double HEARTBEAT = 0.4;

	private static final double SERVICE = 0.2;

	private static final int SLOTS = 8;

	// Beyond the slots.
	private static final int QUEUE = 4;

	// How much a call is slowed down by each call that runs at a cold upstream.
	private static final double COLD = 0.75;

	// In time: 1.3 times the time when idle and some slack.
	private static final double TARGET = (1.3 * SERVICE) + 0.25;

	private static final double RELEASE = 5;

	/**
	 * Guards callers against the release of half a pool: new upstreams are slow, and all
	 * entries prefer them as they are idle.
	 */
	@ParameterizedTest
	@CsvSource({ "30, 0.3", "100, 0.3", "100, 0.4", "400, 0.3" })
	void moreCallersAreServedInTimeAfterTheReleaseOfHalfAPool(int warmCalls, double fill) {
		double baseline = release(warmCalls, fill, false);
		double limited = release(warmCalls, fill, true);
		assertThat(limited).as("in time, baseline %.3f", baseline).isGreaterThan(baseline);
	}

	/**
	 * Guards against a larger cost where the limit does not pay: the other upstreams are
	 * nearly full, and those that start would be warm within a second of full use.
	 */
	@Test
	void aFastWarmUpOfHalfAPoolWhoseOtherHalfIsNearlyFullCostsFewCallers() {
		assertThat(release(30, 0.4, true)).isGreaterThan(release(30, 0.4, false) - 0.02);
	}

	private static double release(int warmCalls, double fill, boolean limited) {
		double sum = 0;
		for (int seed = 1; seed <= 5; seed++) {
			Simulation s = new Simulation(seed, 40, 12, fill, limited);
			s.run(RELEASE);
			s.replace(0, 6, warmCalls, 0);
			s.run(RELEASE + 10);
			sum += s.inTime(RELEASE, RELEASE + 10);
		}
		return sum / 5;
	}

	/**
	 * Guards against a limit that lasts after the upstream became warm, and against one
	 * that ends after few of the calls that it needs for that. Times in seconds.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 8", "30, 40", "100, 120" })
	void theLimitEndsAfterAFastOrSlowWarmUp(int warmCalls, double latest) {
		Simulation s = new Simulation(1, 40, 12, 0.4, true);
		s.run(RELEASE);
		s.replace(0, 1, warmCalls, 0);
		double end = RELEASE;
		while ((s.limitedShare("u-0") > 0.5) && (end <= RELEASE + latest)) {
			end += 0.1;
			s.run(end);
		}
		assertThat(end - RELEASE).isLessThan(latest);
		assertThat(s.server("u-0").served).isGreaterThan(warmCalls / 2);
	}

	/**
	 * Guards against refusals if there is no upstream that did not start.
	 */
	@Test
	void aPoolThatRestartsAsAWholeServesAsManyCallersAsWithoutLimits() {
		double[] served = new double[2];
		for (int i = 0; i < 10; i++) {
			Simulation s = new Simulation(i / 2, 40, 12, 0.3, i % 2 == 1);
			s.run(RELEASE);
			s.replace(0, 12, 30, 0);
			s.run(RELEASE + 10);
			served[i % 2] += s.served(RELEASE, RELEASE + 10) / 5;
		}
		assertThat(served[1]).isGreaterThan(served[0] - 0.01);
	}

	/**
	 * Guards against full use of an upstream that fails many of its requests after a
	 * start.
	 */
	@Test
	void anUpstreamThatFailsPartOfItsRequestsGetsFewOfThem() {
		int[] calls = new int[2];
		for (int i = 0; i < 2; i++) {
			Simulation s = new Simulation(1, 40, 12, 0.5, i == 1);
			s.run(RELEASE);
			s.replace(0, 1, 1, 0.5);
			s.run(RELEASE + 20);
			calls[i] = s.server("u-0").arrived;
		}
		assertThat(calls[1]).isPositive().isLessThan(calls[0] / 2);
	}

	/**
	 * Guards against more calls to an upstream that fails all of them while it starts
	 * than avoidance alone leaves, and against a limit that lasts after its recovery.
	 */
	@Test
	void anUpstreamThatRelapsesGetsFewCallsUntilItRecovers() {
		int[] calls = new int[2];
		for (int i = 0; i < 2; i++) {
			Simulation s = new Simulation(1, 40, 12, 0.5, i == 1);
			s.run(RELEASE);
			s.replace(0, 1, 1, 0);
			s.run(RELEASE + 3);
			int before = s.server("u-0").arrived;
			s.server("u-0").failing = 1;
			s.run(RELEASE + 8);
			calls[i] = s.server("u-0").arrived - before;
			s.server("u-0").failing = 0;
			s.run(RELEASE + 40);
			assertThat(s.limitedShare("u-0")).isLessThan(0.5);
		}
		assertThat(calls[1]).isPositive().isLessThanOrEqualTo(calls[0]);
	}

	/**
	 * Guards against an upstream that is never tried as few callers need its pool.
	 */
	@ParameterizedTest
	@ValueSource(doubles = { 0.002, 0.01 })
	void anUpstreamThatFewCallersNeedGetsTrialCalls(double fill) {
		Simulation s = new Simulation(1, 40, 3, fill, true);
		s.run(RELEASE);
		s.replace(0, 1, 1, 0);
		s.run(RELEASE + 60);
		assertThat(s.server("u-0").arrived).isPositive();
	}

	private static final class Server {

		private final int warmCalls;

		private double failing;

		private final Deque<Call> queue = new ArrayDeque<>();

		private int running;

		private int served;

		private int arrived;

		Server(int warmCalls, double failing) {
			this.warmCalls = warmCalls;
			this.failing = failing;
		}

		double serviceTime() {
			double cold = 1 - Math.min(1, this.served / (double) Math.max(1, this.warmCalls));
			return SERVICE * (1 + (COLD * cold * this.running));
		}

	}

	private static final class Call {

		private final double arrivedAt;

		private final Entry entry;

		private final Set<Upstream> tried = new HashSet<>();

		private Upstream upstream;

		private Server server;

		private double sentAt;

		private double endedAt = Double.POSITIVE_INFINITY;

		Call(double arrivedAt, Entry entry) {
			this.arrivedAt = arrivedAt;
			this.entry = entry;
		}

	}

	private static final class Entry {

		private final Map<String, Upstream> upstreams = new HashMap<>();

		private final RouteLatencies latencies = new RouteLatencies();

		private final UpstreamChoice<Upstream> choice;

		private List<Load> beat = List.of();

		Entry(SplittableRandom random) {
			this.choice = new UpstreamChoice<>(random, "dc");
		}

	}

	private record Scheduled(double at, long number, Runnable action) {
	}

	private static final class Simulation {

		private final PriorityQueue<Scheduled> events = new PriorityQueue<>(
				(a, b) -> (a.at() != b.at()) ? Double.compare(a.at(), b.at()) : Long.compare(a.number(), b.number()));

		private final SplittableRandom random;

		private final List<Entry> entries = new ArrayList<>();

		private final Map<String, Server> servers = new HashMap<>();

		private final List<Call> calls = new ArrayList<>();

		private final UpstreamLatencies latencies = new UpstreamLatencies(this::nanos);

		private final boolean limited;

		private final double rate;

		private double now;

		private long number;

		private long starts;

		Simulation(long seed, int entryCount, int upstreamCount, double fill, boolean limited) {
			this.random = new SplittableRandom(seed);
			this.limited = limited;
			this.rate = fill * upstreamCount * SLOTS / SERVICE;
			for (int e = 0; e < entryCount; e++) {
				Entry entry = new Entry(this.random.split());
				this.entries.add(entry);
				schedule(this.random.nextDouble() * HEARTBEAT, () -> heartbeat(entry));
			}
			for (int u = 0; u < upstreamCount; u++) {
				add("u-" + u, new Server(0, 0), false);
			}
			schedule(0, this::arrive);
		}

		// ---- Operations

		void run(double until) {
			while (!this.events.isEmpty() && (this.events.peek().at() <= until)) {
				Scheduled next = this.events.poll();
				this.now = next.at();
				next.action().run();
			}
			this.now = until;
		}

		// The former upstreams serve what they have, but get no further calls.
		void replace(int from, int to, int warmCalls, double failing) {
			for (int u = from; u < to; u++) {
				add("u-" + u, new Server(warmCalls, failing), true);
			}
		}

		private void add(String id, Server server, boolean starts) {
			this.servers.put(id, server);
			this.starts++;
			for (Entry e : this.entries) {
				Upstream upstream = new Upstream(new UpstreamRegistration(id, "pool", new HttpAddress("127.0.0.1", 9),
						"dc", SLOTS, false, this.starts), nanos(), () -> this.limited, this.random.split());
				e.upstreams.put(id, upstream);
				if (starts) {
					upstream.beginStart("started");
				}
			}
		}

		// ---- Outcomes

		Server server(String id) {
			return this.servers.get(id);
		}

		double limitedShare(String id) {
			return this.entries.stream().filter((e) -> e.upstreams.get(id).startPace().isLimited()).count()
					/ (double) this.entries.size();
		}

		double inTime(double from, double to) {
			run(to + 5);
			return share(from, to, TARGET);
		}

		double served(double from, double to) {
			run(to + 60);
			return share(from, to, 1000);
		}

		private double share(double from, double to, double target) {
			List<Call> arrived = this.calls.stream()
				.filter((c) -> (c.arrivedAt >= from) && (c.arrivedAt < to))
				.toList();
			return arrived.stream().filter((c) -> c.endedAt - c.arrivedAt <= target).count() / (double) arrived.size();
		}

		// ---- Events

		private void arrive() {
			schedule(-Math.log(1 - this.random.nextDouble()) / this.rate, this::arrive);
			Call call = new Call(this.now, this.entries.get(this.random.nextInt(this.entries.size())));
			this.calls.add(call);
			send(call);
		}

		private void send(Call call) {
			List<Upstream> candidates = call.entry.upstreams.values()
				.stream()
				.filter((u) -> !call.tried.contains(u))
				.toList();
			if (this.limited) {
				candidates = StartRoom.select(candidates, nanos());
			}
			call.upstream = call.entry.choice.choose(candidates, null, nanos());
			call.upstream.callStarted();
			call.server = this.servers.get(call.upstream.id());
			call.server.arrived++;
			call.sentAt = this.now;
			call.tried.add(call.upstream);
			if (call.server.running < SLOTS) {
				serve(call);
			}
			else if (call.server.queue.size() < QUEUE) {
				call.server.queue.add(call);
			}
			else {
				call.upstream.callEnded();
				call.upstream.capacityExceeded(nanos());
				retry(call);
			}
		}

		private void retry(Call call) {
			if (call.tried.size() < 2) {
				send(call);
			}
		}

		private void serve(Call call) {
			call.server.running++;
			schedule(call.server.serviceTime() * (0.8 + (0.4 * this.random.nextDouble())), () -> end(call));
		}

		private void end(Call call) {
			call.server.running--;
			call.server.served++;
			if (!call.server.queue.isEmpty()) {
				serve(call.server.queue.poll());
			}
			call.upstream.callEnded();
			if (this.random.nextDouble() < call.server.failing) {
				call.upstream.failed(nanos(), "reset");
				retry(call);
				return;
			}
			call.endedAt = this.now;
			call.upstream.succeeded();
			Duration time = Duration.ofNanos((long) ((this.now - call.sentAt) * 1e9));
			call.upstream.responseReceived(call.entry.latencies.latencyRatio("route", time));
		}

		private void heartbeat(Entry entry) {
			schedule(HEARTBEAT, () -> heartbeat(entry));
			entry.beat = entry.upstreams.values().stream().map((u) -> {
				Load.Builder load = u.drainLoad().toBuilder();
				return load.setGood(u.startPace().drainGood()).setBad(u.startPace().drainBad()).build();
			}).toList();
			entry.beat.forEach(this.latencies::add);
			Map<String, Double> ratios = this.latencies.all();
			Map<String, long[]> sums = new HashMap<>();
			this.entries.stream().filter((e) -> e != entry).forEach((e) -> e.beat.forEach((l) -> {
				long[] sum = sums.computeIfAbsent(l.getUpstream(), (u) -> new long[3]);
				sum[0] += l.getCalls();
				sum[1] += l.getGood();
				sum[2] += l.getBad();
			}));
			entry.upstreams.forEach((id, u) -> {
				long[] sum = sums.getOrDefault(id, new long[3]);
				u.setCallsInFlightElsewhere((int) sum[0]);
				u.setLatencyRatio(ratios.getOrDefault(id, 1.0));
				u.answeredElsewhere(sum[1], sum[2], nanos());
			});
		}

		private void schedule(double delay, Runnable action) {
			this.events.add(new Scheduled(this.now + delay, this.number++, action));
		}

		private long nanos() {
			return (long) (this.now * 1e9) + 1;
		}

	}

}
