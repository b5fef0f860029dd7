package org.mangorack.bench.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

import org.mangorack.bench.emulator.load.FaultKind;
import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.call.UpstreamId;

/**
 * An upstream with a number of slots and a bounded FIFO queue. A call that arrives at a
 * full queue is rejected; a placeholder that does not count towards the limit stays in
 * the queue to determine when the call would have started.
 */
abstract class EmulatedUpstream implements FaultKind.FaultyUpstream {

	private static final long FAILURE_LATENCY_NANOS = 5_000_000;

	private final VirtualClock clock;

	private final UpstreamId id;

	private final String dataCentre;

	private final int slots;

	private final int queueLimit;

	private final RandomGenerator failures;

	private final Deque<Waiting> queue = new ArrayDeque<>();

	private int waiting;

	private double slowdown = 1;

	private double failureShare;

	private boolean leaving;

	EmulatedUpstream(VirtualClock clock, UpstreamId id, String dataCentre, int slots, int queueLimit,
			RandomGenerator failures) {
		this.clock = clock;
		this.id = id;
		this.dataCentre = dataCentre;
		this.slots = slots;
		this.queueLimit = queueLimit;
		this.failures = failures;
	}

	// ---- Accessors

	UpstreamId id() {
		return this.id;
	}

	String dataCentre() {
		return this.dataCentre;
	}

	int slots() {
		return this.slots;
	}

	boolean isLeaving() {
		return this.leaving;
	}

	VirtualClock clock() {
		return this.clock;
	}

	/**
	 * Applies the current slowdown factor.
	 * @param nanos the normal duration in nanoseconds
	 * @return the current duration in nanoseconds
	 */
	long slowed(long nanos) {
		return Math.round(nanos * this.slowdown);
	}

	@Override
	public void setSlowness(double factor) {
		this.slowdown = factor;
	}

	@Override
	public void setFailureShare(double share) {
		this.failureShare = share;
	}

	@Override
	public void setLeaving(boolean leaving) {
		this.leaving = leaving;
	}

	// ---- Calls

	/**
	 * Submits a call.
	 * @param call the call
	 * @param deadline the deadline of the first event, in nanoseconds
	 * @param listener the listener of the attempt
	 */
	void submit(PlannedCall call, long deadline, AttemptListener listener) {
		if ((this.failureShare > 0) && (this.failures.nextDouble() < this.failureShare)) {
			this.clock.after(FAILURE_LATENCY_NANOS, () -> listener.ended(CallOutcome.FAILED));
			return;
		}
		boolean refused = !canHold(call) || (!hasFreeSlot(this.waiting) && (this.waiting >= this.queueLimit));
		if (refused) {
			listener.ended(CallOutcome.FULL);
			if (canHold(call)) {
				this.queue.addLast(new Waiting(call, listener, 0, true));
			}
			return;
		}
		Waiting entry = new Waiting(call, listener, 0, false);
		enqueue(entry, false);
		this.clock.at(Math.max(deadline, this.clock.nanoTime()), () -> expire(entry));
		admit();
	}

	/**
	 * Returns a preempted call to the head of the queue.
	 * @param entry the queue entry of the call
	 */
	void requeue(Waiting entry) {
		enqueue(entry, true);
	}

	/**
	 * Starts queued calls while there is capacity.
	 */
	void admit() {
		while (!this.queue.isEmpty() && hasFreeSlot(0)) {
			Waiting next = this.queue.peekFirst();
			if (next.refused()) {
				this.queue.removeFirst();
				next.listener().wouldHaveBegun(slowed(firstEventNanos(next.call())));
			}
			else if (begin(next)) {
				this.queue.removeFirst();
				this.waiting--;
			}
			else {
				return;
			}
		}
	}

	private void enqueue(Waiting entry, boolean first) {
		if (first) {
			this.queue.addFirst(entry);
		}
		else {
			this.queue.addLast(entry);
		}
		this.waiting++;
	}

	// Does not expire a request that was preempted after its first event, as that request
	// has a different queue entry.
	private void expire(Waiting entry) {
		if (this.queue.remove(entry)) {
			this.waiting--;
			entry.listener().ended(CallOutcome.EXPIRED);
			admit();
		}
		else if (abandon(entry)) {
			entry.listener().ended(CallOutcome.EXPIRED);
			admit();
		}
	}

	// ---- Operations of subclasses

	/**
	 * Returns whether an idle upstream has enough capacity for a call.
	 * @param call the call
	 * @return {@code true} if the call can be executed
	 */
	abstract boolean canHold(PlannedCall call);

	/**
	 * Returns whether there is a free slot for a queued call.
	 * @param ahead the number of calls ahead of it
	 * @return {@code true} if there is a free slot
	 */
	abstract boolean hasFreeSlot(int ahead);

	/**
	 * Starts a call in a free slot.
	 * @param entry the queue entry of the call
	 * @return {@code false} if other resources than the slot are exhausted
	 */
	abstract boolean begin(Waiting entry);

	/**
	 * Cancels a running call if its first event has not been sent.
	 * @param entry the queue entry of the call
	 * @return {@code true} if it was cancelled
	 */
	abstract boolean abandon(Waiting entry);

	/**
	 * Returns the normal time to the first event of a call that starts now.
	 * @param call the call
	 * @return the time in nanoseconds
	 */
	abstract long firstEventNanos(PlannedCall call);

	/**
	 * A call in the queue.
	 *
	 * @param call the call
	 * @param listener the listener of the attempt
	 * @param generated the number of tokens generated before a preemption
	 * @param refused whether it was rejected and this entry is a placeholder
	 */
	record Waiting(PlannedCall call, AttemptListener listener, int generated, boolean refused) {

		/**
		 * Returns the queue entry of this call after a preemption.
		 * @param tokens the number of tokens generated so far
		 * @return the new entry
		 */
		Waiting resumed(int tokens) {
			return new Waiting(this.call, this.listener, tokens, false);
		}

	}

}
