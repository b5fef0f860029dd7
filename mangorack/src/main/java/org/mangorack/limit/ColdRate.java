package org.mangorack.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.mangorack.dispatch.RendezvousHash;
import org.mangorack.observe.MonotonicClock;

/**
 * Bounds the requests that an entry sends to cold upstreams, so that all entries together
 * keep the promised rate without exchanging a message for each request.
 * <p>
 * Answers the load of many entries that send to an upstream which has just started. The
 * requests that an upstream may get within a second are permits, which are dealt to the
 * entries in the order of their rendezvous hash with the upstream; entries beyond the
 * last permit get none. A permit can be used again only after the time in which the
 * upstream tolerates as many requests as there are permits, one second at least. So no
 * common clock is needed.
 * <p>
 * The sum holds although the entries have different lists of each other: an entry sends
 * only while a keeper confirms its list within the time in which the keepers would remove
 * the entry, and only once it has been listed for longer than a list takes to reach the
 * others; it counts entries that left for the same time. Thus the list of every sender
 * contains all senders of the last second, and a longer list never gives an entry more
 * permits. Not thread-safe.
 */
public final class ColdRate {

	/**
	 * How long an entry may send after the heartbeat whose reply confirmed its list. The
	 * keepers list an entry for as long after its last heartbeat, so that its permits are
	 * not dealt to others before.
	 */
	static final Duration LIST_LEASE = Duration.ofMillis(1000);

	/**
	 * How long an entry has to be listed before it sends, and how long it counts those
	 * that left: the time in which all others have heard of it, at most 1.4 s, and the
	 * second for which the rate is promised.
	 */
	static final Duration SETTLING_TIME = Duration.ofMillis(2500);

	/**
	 * The shortest time after which a permit is used again. The difference to one second
	 * allows for requests that take different times to arrive.
	 */
	static final Duration MIN_REUSE_TIME = Duration.ofMillis(1100);

	private final MonotonicClock clock;

	private final String instance;

	private final double overshoot;

	private final double slack;

	// The entries of the lists within the settling time, and when each was last listed.
	private final Map<String, Long> lastListed = new HashMap<>();

	// Changes with the set of entries.
	private long version;

	private long confirmedAt;

	// When the entry was first listed, without a break since.
	private long listedSince;

	private boolean listed;

	/**
	 * Creates a rate that permits nothing before the first list.
	 * @param clock the time source
	 * @param instance the name of this entry
	 * @param overshoot the promised bound as a multiple of the tolerated rate
	 * @param slack the requests that are promised beyond that
	 */
	public ColdRate(MonotonicClock clock, String instance, double overshoot, double slack) {
		this.clock = clock;
		this.instance = instance;
		this.overshoot = overshoot;
		this.slack = slack;
		this.confirmedAt = clock.nanoTime() - LIST_LEASE.toNanos();
	}

	/**
	 * Applies a list of entries.
	 * @param entries the names of all entries that accept requests
	 * @param confirmed when the heartbeat was sent whose reply confirmed the list, on the
	 * monotonic clock
	 */
	public void setEntries(Set<String> entries, long confirmed) {
		long now = this.clock.nanoTime();
		boolean interrupted = !isConfirmed(now);
		boolean listedNow = entries.contains(this.instance);
		if (listedNow && (!this.listed || interrupted)) {
			this.listedSince = now;
		}
		this.listed = listedNow;
		this.confirmedAt = Math.max(this.confirmedAt, confirmed);
		for (String entry : entries) {
			if (this.lastListed.put(entry, now) == null) {
				this.version++;
			}
		}
		if (this.lastListed.values().removeIf((at) -> now - at > SETTLING_TIME.toNanos())) {
			this.version++;
		}
	}

	/**
	 * Ends all sending to cold upstreams until the entry is listed again.
	 */
	public void withdraw() {
		this.listed = false;
	}

	/**
	 * Returns whether a request may be sent to a cold upstream now.
	 * @param upstream the id of the upstream
	 * @param perSecond the requests that it tolerates in a second, above 0
	 * @param sends what this entry sent to it since its start
	 * @return {@code true} if this entry has a permit left
	 */
	public boolean permits(String upstream, double perSecond, Sends sends) {
		long now = this.clock.nanoTime();
		boolean settled = this.listed && isConfirmed(now) && (now - this.listedSince >= SETTLING_TIME.toNanos());
		if (!settled) {
			return false;
		}
		int permits = permits(perSecond);
		long reuseNanos = Math.max(MIN_REUSE_TIME.toNanos(),
				(long) (permits / perSecond * Duration.ofSeconds(1).toNanos()));
		return sends.countSince(now - reuseNanos) < sends.share(this, upstream, permits);
	}

	private boolean isConfirmed(long now) {
		return now - this.confirmedAt < LIST_LEASE.toNanos();
	}

	private int permits(double perSecond) {
		return (int) Math.max(1, Math.min(Integer.MAX_VALUE, (perSecond * this.overshoot) + this.slack));
	}

	// The permits are dealt one by one, in the order of the scores.
	private int shareOf(String upstream, int permits) {
		double own = RendezvousHash.score(upstream, this.instance, 1);
		int rank = 0;
		for (String other : this.lastListed.keySet()) {
			double score = RendezvousHash.score(upstream, other, 1);
			boolean before = (score > own) || ((score == own) && (other.compareTo(this.instance) < 0));
			rank += before ? 1 : 0;
		}
		return (rank < permits) ? (((permits - 1 - rank) / this.lastListed.size()) + 1) : 0;
	}

	/**
	 * The requests that this entry sent to one start of an upstream. A start gets a new
	 * object, as it tolerates as much as any other.
	 */
	public static final class Sends {

		private final Deque<Long> times = new ArrayDeque<>();

		private long shareVersion = -1;

		private int sharePermits;

		private int share;

		/**
		 * Records a request.
		 * @param now the time on the monotonic clock
		 */
		public void add(long now) {
			this.times.add(now);
		}

		private int countSince(long time) {
			while (!this.times.isEmpty() && (this.times.peek() - time <= 0)) {
				this.times.poll();
			}
			return this.times.size();
		}

		private int share(ColdRate rate, String upstream, int permits) {
			if ((this.shareVersion != rate.version) || (this.sharePermits != permits)) {
				this.share = rate.shareOf(upstream, permits);
				this.shareVersion = rate.version;
				this.sharePermits = permits;
			}
			return this.share;
		}

	}

}
