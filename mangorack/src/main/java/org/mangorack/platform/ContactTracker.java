package org.mangorack.platform;

import java.time.Duration;

import org.mangorack.observe.MonotonicClock;

/**
 * Tracks how long the platform has been answering calls without a failure. Only one
 * thread may report outcomes; any thread may read the state.
 */
public final class ContactTracker {

	private final MonotonicClock clock;

	private volatile State state = State.INITIAL;

	/**
	 * Creates a tracker without any recorded outcome.
	 * @param clock the time source
	 */
	public ContactTracker(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Records a successful call.
	 * @return {@code true} if it is the first success after a failure
	 */
	public boolean answered() {
		State previous = this.state;
		if (!previous.answering()) {
			this.state = new State(true, this.clock.nanoTime(), previous.broken());
		}
		return previous.broken() && !previous.answering();
	}

	/**
	 * Records a failed call.
	 * @return {@code true} if the previous call did not fail
	 */
	public boolean failed() {
		boolean first = this.state.answering() || !this.state.broken();
		this.state = new State(false, 0, true);
		return first;
	}

	/**
	 * Discards all recorded outcomes. Used after a period without calls, for which the
	 * state of the platform is unknown.
	 */
	public void reset() {
		this.state = State.INITIAL;
	}

	/**
	 * Returns the current state.
	 * @return the state of the contact with the platform
	 */
	public Contact contact() {
		State current = this.state;
		return new Contact(current.answering(),
				current.answering() ? this.clock.elapsed(current.since()) : Duration.ZERO, current.broken());
	}

	/**
	 * The state of the contact with the platform.
	 *
	 * @param answering whether the last call was answered
	 * @param length how long calls have been answered without a failure
	 * @param broken whether a call has failed, either the last one or the one that ended
	 * the previous contact
	 */
	public record Contact(boolean answering, Duration length, boolean broken) {
	}

	private record State(boolean answering, long since, boolean broken) {

		private static final State INITIAL = new State(false, 0, false);

	}

}
