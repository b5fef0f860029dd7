package org.mangorack.bench.emulator;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.relay.RouteLatencies;

/**
 * An entry, which distributes calls to upstreams by a placement policy and retries failed
 * calls at another upstream if they were not executed or are repeatable.
 */
final class Entry {

	private final VirtualClock clock;

	private final String dataCentre;

	private final Placement placement;

	private final boolean measuresGeneration;

	private final int attempts;

	private final long distanceNanos;

	private final RouteLatencies routeLatencies = new RouteLatencies();

	private final List<KnownUpstream> engines;

	private final List<KnownUpstream> services;

	private final List<KnownUpstream> upstreams;

	/**
	 * Creates an entry.
	 * @param clock the virtual clock
	 * @param dataCentre the data centre of the entry
	 * @param policy the placement policy
	 * @param placement the placement of this entry by that policy
	 * @param attempts the maximum number of attempts per call
	 * @param distanceNanos the round-trip time to another data centre, in nanoseconds
	 * @param engines the engines
	 * @param services the servers of plain services
	 */
	Entry(VirtualClock clock, String dataCentre, PlacementPolicy policy, Placement placement, int attempts,
			long distanceNanos, List<? extends EmulatedUpstream> engines, List<? extends EmulatedUpstream> services) {
		this.clock = clock;
		this.dataCentre = dataCentre;
		this.placement = placement;
		this.measuresGeneration = policy.measuresGeneration();
		this.attempts = attempts;
		this.distanceNanos = distanceNanos;
		this.engines = engines.stream().map(KnownUpstream::new).toList();
		this.services = services.stream().map(KnownUpstream::new).toList();
		this.upstreams = Stream.concat(this.engines.stream(), this.services.stream()).toList();
	}

	/**
	 * Returns the upstreams with the state that this entry knows.
	 * @return engines, then servers of plain services, in the order of the fleet
	 */
	List<KnownUpstream> upstreams() {
		return this.upstreams;
	}

	/**
	 * Submits a call.
	 * @param call the call
	 * @param affinity the affinity key, which is the name of the program
	 * @param result receives the result
	 */
	void submit(PlannedCall call, String affinity, CallResult result) {
		new PendingCall(call, call.isTurn() ? affinity : null, result).send();
	}

	/**
	 * A call that has not ended.
	 */
	private final class PendingCall {

		private final PlannedCall call;

		private final String affinity;

		private final CallResult result;

		private final long deadline;

		private final Set<KnownUpstream> tried = new HashSet<>();

		private long firstEventAt;

		private PendingCall(PlannedCall call, String affinity, CallResult result) {
			this.call = call;
			this.affinity = affinity;
			this.result = result;
			this.deadline = Entry.this.clock.nanoTime() + call.deadlineNanos();
		}

		private void send() {
			List<KnownUpstream> candidates = candidates();
			if (candidates.isEmpty()) {
				this.result.ended(CallOutcome.FULL);
				return;
			}
			long now = Entry.this.clock.nanoTime();
			KnownUpstream chosen = Entry.this.placement.choose(candidates, this.call, this.affinity, now);
			this.tried.add(chosen);
			chosen.callStarted();
			long way = chosen.dataCentre().equals(Entry.this.dataCentre) ? 0 : (Entry.this.distanceNanos / 2);
			Entry.this.clock.after(way, () -> chosen.upstream()
				.submit(this.call, this.deadline, new PendingAttempt(this, chosen, now, way)));
		}

		private List<KnownUpstream> candidates() {
			List<KnownUpstream> pool = this.call.isTurn() ? Entry.this.engines : Entry.this.services;
			return pool.stream().filter((u) -> !u.isLeaving() && !this.tried.contains(u)).toList();
		}

		private Entry entry() {
			return Entry.this;
		}

		private void ended(KnownUpstream upstream, CallOutcome outcome) {
			upstream.ended(outcome, Entry.this.clock.nanoTime());
			if (outcome.allowsRetry(this.call.repeatable()) && (this.tried.size() < Entry.this.attempts)
					&& !candidates().isEmpty()) {
				send();
			}
			else {
				this.result.ended(outcome);
			}
		}

	}

	/**
	 * An attempt that has not ended.
	 *
	 * @param pendingCall the call
	 * @param upstream the chosen upstream
	 * @param sentAt the time at which it was sent, in nanoseconds
	 * @param wayNanos the one-way latency to the upstream, in nanoseconds
	 */
	private record PendingAttempt(PendingCall pendingCall, KnownUpstream upstream, long sentAt,
			long wayNanos) implements AttemptListener {

		@Override
		public void firstEvent() {
			clock().after(this.wayNanos, () -> {
				this.pendingCall.firstEventAt = clock().nanoTime();
				if (!measuresGeneration()) {
					record(this.pendingCall.call.route(), Duration.ofNanos(clock().nanoTime() - this.sentAt));
				}
				this.pendingCall.result.firstEvent();
			});
		}

		@Override
		public void ended(CallOutcome outcome) {
			clock().after(this.wayNanos, () -> {
				if (measuresGeneration() && (outcome == CallOutcome.ANSWERED)) {
					Duration time = Duration.ofNanos(clock().nanoTime() - this.pendingCall.firstEventAt);
					record("generation", time.dividedBy(this.pendingCall.call.outputTokens()));
				}
				this.pendingCall.ended(this.upstream, outcome);
			});
		}

		private boolean measuresGeneration() {
			return entry().measuresGeneration && this.pendingCall.call.isTurn();
		}

		private void record(String route, Duration time) {
			this.upstream.responseReceived(entry().routeLatencies.latencyRatio(route, time));
		}

		@Override
		public void wouldHaveBegun(long firstEventNanos) {
			this.pendingCall.result.wouldHaveAnswered(clock().nanoTime() + firstEventNanos + this.wayNanos);
		}

		private VirtualClock clock() {
			return entry().clock;
		}

		private Entry entry() {
			return this.pendingCall.entry();
		}

	}

}
