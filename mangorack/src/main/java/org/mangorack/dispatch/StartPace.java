package org.mangorack.dispatch;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Limits the calls in flight at an upstream, over all entries, while it starts or
 * recovers.
 * <p>
 * Answers the load of releases and restarts during traffic. An upstream that has just
 * started has no calls in flight, so that all entries prefer it, but its answers may take
 * several times as long until its caches are filled. Its room grows with each answer that
 * took about as long as those of its peers and shrinks with each one that took much
 * longer, was refused or failed. Once the room reaches the slots, the upstream is no
 * longer limited until it fails again. Time alone changes nothing.
 * <p>
 * The answers of all entries count, as a single one of a large fleet calls an upstream
 * too rarely. An entry may use the part of the room that corresponds to its part of the
 * calls of the pool. A fraction of a call is rounded at random for each
 * {@linkplain #INTERVAL interval}, so that the entries together use the room although
 * they learn of each other's calls late. An entry that is alone in calling the pool may
 * use all of it.
 * <p>
 * Not thread-safe.
 */
public final class StartPace {

	/**
	 * The room at a start and the least room, in calls: single calls show whether the
	 * upstream has recovered.
	 */
	static final double MIN_ROOM = 1;

	/**
	 * By how many calls a good answer widens the room. The room grows by half with each
	 * round of answers.
	 */
	static final double GOOD_STEP = 0.5;

	/**
	 * The factor of the room for a bad answer. With {@link #GOOD_STEP}, an upstream of
	 * eight slots stays limited if two fifths of its answers are bad, but not if a tenth
	 * are.
	 */
	static final double BAD_FACTOR = 0.5;

	/**
	 * The latency ratio from which on an answer is bad. Programs are in time at 1.2 to
	 * 1.3 times their idle time and some slack, so one of several turns may take twice as
	 * long. Engines of one pool differ in speed by up to 2.4, thus the slowest ones are
	 * below twice the average.
	 */
	static final double BAD_RATIO = 2;

	/**
	 * How long an entry keeps its rounding of the room: the time between heartbeats,
	 * after which it knows of the calls of others.
	 */
	static final Duration INTERVAL = Duration.ofMillis(400);

	/**
	 * The least time between two counts of the answers to other entries. Heartbeats are
	 * 200 to 400 ms apart, and two keepers reply to each with the same answers, so that
	 * each answer counts once at most.
	 */
	static final Duration MIN_NEWS_INTERVAL = Duration.ofMillis(300);

	private final RandomGenerator random;

	private boolean limited;

	private double room;

	// Answers since the previous heartbeat.
	private long good;

	private long bad;

	private long elsewhereAt;

	private double rounding;

	private long roundedAt;

	/**
	 * Creates the state of an upstream that is not limited.
	 * @param now the time on the monotonic clock
	 * @param random the source of randomness
	 */
	public StartPace(long now, RandomGenerator random) {
		this.random = random;
		this.elsewhereAt = now;
		this.roundedAt = now - INTERVAL.toNanos();
	}

	// ---- Accessors

	/**
	 * Returns whether the calls in flight are limited.
	 * @return {@code true} from a start or recovery until the room reached the slots
	 */
	public boolean isLimited() {
		return this.limited;
	}

	/**
	 * Returns the room.
	 * @return the calls that all entries together may have in flight; meaningless while
	 * the upstream is not limited
	 */
	double room() {
		return this.room;
	}

	/**
	 * Returns whether this entry may send another call.
	 * @param own the calls that this entry has in flight at the upstream
	 * @param elsewhere the calls that other entries have in flight there
	 * @param share the part of the calls of the pool that this entry has in flight, from
	 * 0 to 1
	 * @param now the time on the monotonic clock
	 * @return {@code true} if the upstream is not limited or has room for the call
	 */
	public boolean hasRoom(int own, int elsewhere, double share, long now) {
		if (!this.limited) {
			return true;
		}
		if (now - this.roundedAt >= INTERVAL.toNanos()) {
			this.rounding = this.random.nextDouble();
			this.roundedAt = now;
		}
		return (own + elsewhere + 1 <= this.room) && (own + 1 <= (this.room * share) + this.rounding);
	}

	// ---- Operations

	/**
	 * Begins a start or a recovery.
	 */
	public void begin() {
		this.limited = true;
		this.room = MIN_ROOM;
	}

	/**
	 * Records how a call of this entry was answered.
	 * @param latencyRatio the ratio of its time to the usual one; that of a refusal or
	 * failure is larger than {@link #BAD_RATIO}
	 * @param slots the slots of the upstream
	 */
	public void answered(double latencyRatio, int slots) {
		boolean isGood = latencyRatio < BAD_RATIO;
		if (isGood) {
			this.good++;
		}
		else {
			this.bad++;
		}
		adjust(isGood ? 1 : 0, isGood ? 0 : 1, slots);
	}

	/**
	 * Counts the answers to other entries, as of their latest heartbeats. Ignores news
	 * that follows the former within {@link #MIN_NEWS_INTERVAL}.
	 * @param good the number of good answers
	 * @param bad the number of bad answers
	 * @param slots the slots of the upstream
	 * @param now the time on the monotonic clock
	 */
	public void answeredElsewhere(long good, long bad, int slots, long now) {
		if (now - this.elsewhereAt >= MIN_NEWS_INTERVAL.toNanos()) {
			this.elsewhereAt = now;
			adjust(good, bad, slots);
		}
	}

	/**
	 * Returns the good answers to this entry since the previous call.
	 * @return the number of answers
	 */
	public long drainGood() {
		long drained = this.good;
		this.good = 0;
		return drained;
	}

	/**
	 * Returns the bad answers to this entry since the previous call.
	 * @return the number of answers
	 */
	public long drainBad() {
		long drained = this.bad;
		this.bad = 0;
		return drained;
	}

	// The order of the answers within a heartbeat is unknown; the bad ones count last.
	private void adjust(long goodAnswers, long badAnswers, int slots) {
		if (this.limited) {
			double widened = Math.min(slots, this.room + (GOOD_STEP * goodAnswers));
			this.room = Math.max(MIN_ROOM, widened * Math.pow(BAD_FACTOR, badAnswers));
			this.limited = (this.room < slots) || (goodAnswers == 0) || (badAnswers > 0);
		}
	}

}
