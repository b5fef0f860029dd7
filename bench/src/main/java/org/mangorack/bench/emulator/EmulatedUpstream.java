package org.mangorack.bench.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

import org.mangorack.bench.emulator.load.FaultKind;
import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.call.UpstreamId;

/**
 * An upstream with slots and a queue in order of arrival. A call that finds the queue
 * full is refused; a mark of it stays in the queue, takes no room, and tells when the
 * call would have begun.
 */
abstract class EmulatedUpstream implements FaultKind.FaultyUpstream {

	private static final long FAILURE_NANOS = 5_000_000;

	private final VirtualClock clock;

	private final UpstreamId id;

	private final String dataCentre;

	private final int slots;

	private final int queueLimit;

	private final RandomGenerator failures;

	private final Deque<Waiting> queue = new ArrayDeque<>();

	private int waiting;

	private double slowness = 1;

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
	 * Applies the slowness of the upstream.
	 * @param nanos the usual time, in nanoseconds
	 * @return the time that it takes now, in nanoseconds
	 */
	long slowed(long nanos) {
		return Math.round(nanos * this.slowness);
	}

	@Override
	public void setSlowness(double factor) {
		this.slowness = factor;
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
	 * Takes a call.
	 * @param call the call
	 * @param deadline when its caller no longer waits for the first event, in nanoseconds
	 * @param listener hears of the attempt
	 */
	void submit(PlannedCall call, long deadline, AttemptListener listener) {
		if ((this.failureShare > 0) && (this.failures.nextDouble() < this.failureShare)) {
			this.clock.after(FAILURE_NANOS, () -> listener.ended(CallOutcome.FAILED));
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
	 * Puts a call that was begun back to the head of the queue.
	 * @param entry the call
	 */
	void requeue(Waiting entry) {
		enqueue(entry, true);
	}

	/**
	 * Begins calls of the queue while there is room.
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

	// A request that was preempted after its first event is not found here: its entry in
	// the queue is another one.
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

	// ---- What kinds of upstreams do

	/**
	 * Tells whether the upstream can run a call at all.
	 * @param call the call
	 * @return {@code true} if it can when it has nothing else to do
	 */
	abstract boolean canHold(PlannedCall call);

	/**
	 * Tells whether a call of the queue may begin.
	 * @param ahead how many calls go before it
	 * @return {@code true} if there is a slot
	 */
	abstract boolean hasFreeSlot(int ahead);

	/**
	 * Begins a call.
	 * @param entry the call
	 * @return {@code false} if there is no room for it but the slot
	 */
	abstract boolean begin(Waiting entry);

	/**
	 * Drops a call that was begun, if its first event has not been sent.
	 * @param entry the call
	 * @return {@code true} if it was dropped
	 */
	abstract boolean abandon(Waiting entry);

	/**
	 * Returns the usual time to the first event of a call that begins now.
	 * @param call the call
	 * @return the time, in nanoseconds
	 */
	abstract long firstEventNanos(PlannedCall call);

	/**
	 * A call in the queue.
	 *
	 * @param call the call
	 * @param listener hears of the attempt
	 * @param generated the tokens that were generated before it was preempted
	 * @param refused whether it was refused, and only its place is kept
	 */
	record Waiting(PlannedCall call, AttemptListener listener, int generated, boolean refused) {

		/**
		 * Returns the entry of a call that was preempted.
		 * @param tokens the tokens that it has generated
		 * @return the entry
		 */
		Waiting resumed(int tokens) {
			return new Waiting(this.call, this.listener, tokens, false);
		}

	}

}
