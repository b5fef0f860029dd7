package org.mangorack.platform;

import java.time.Duration;

import org.mangorack.observe.MonotonicClock;

/**
 * Keeps for how long the platform has answered without a break. One thread reports
 * outcomes, any thread may ask.
 */
public final class ContactTracker {

	private final MonotonicClock clock;

	private volatile State state = State.INITIAL;

	/**
	 * Creates a tracker that knows of no answer.
	 * @param clock the time source
	 */
	public ContactTracker(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Notes an answer.
	 * @return {@code true} if it is the first one after a failure
	 */
	public boolean answered() {
		State previous = this.state;
		if (!previous.answering()) {
			this.state = new State(true, this.clock.nanoTime(), previous.broken());
		}
		return previous.broken() && !previous.answering();
	}

	/**
	 * Notes that a call failed.
	 * @return {@code true} if the one before did not
	 */
	public boolean failed() {
		boolean first = this.state.answering() || !this.state.broken();
		this.state = new State(false, 0, true);
		return first;
	}

	/**
	 * Forgets all outcomes, after a time without calls, in which nothing was learnt.
	 */
	public void forget() {
		this.state = State.INITIAL;
	}

	/**
	 * Returns what is known of the contact.
	 * @return the contact at present
	 */
	public Contact contact() {
		State current = this.state;
		return new Contact(current.answering(),
				current.answering() ? this.clock.elapsed(current.since()) : Duration.ZERO, current.broken());
	}

	/**
	 * The contact with the platform.
	 *
	 * @param answering whether the last call was answered
	 * @param length how long calls have been answered without a break
	 * @param broken whether a call failed, at the end of the contact before or last
	 */
	public record Contact(boolean answering, Duration length, boolean broken) {
	}

	private record State(boolean answering, long since, boolean broken) {

		private static final State INITIAL = new State(false, 0, false);

	}

}
