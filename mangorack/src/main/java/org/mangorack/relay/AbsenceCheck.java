package org.mangorack.relay;

import java.time.Duration;
import java.util.Optional;

import io.netty.channel.EventLoop;

/**
 * Decides whether a route or key that the configuration lacks is certainly missing. A
 * newer version may have it, so only a copy that was confirmed lately tells. Requests for
 * what an older copy lacks are held until the copy is confirmed or replaced, which beats
 * and questions to the platform do anyway: no request causes one. Used by the thread for
 * traffic only.
 */
final class AbsenceCheck {

	/**
	 * The longest time that a request is held.
	 */
	static final Duration MAX_WAIT = Duration.ofMillis(600);

	/**
	 * Requests that are held at once; more are refused. Bounds what callers who ask for
	 * anything can take.
	 */
	static final int MAX_HELD = 256;

	private final ConfigurationHolder configuration;

	private final Duration maxAge;

	private final HeldCalls held;

	private FleetConfiguration lastConfiguration;

	/**
	 * Creates a check.
	 * @param loop the event loop of the thread for traffic
	 * @param configuration the configuration
	 * @param maxAge how long ago the configuration must have been confirmed
	 */
	AbsenceCheck(EventLoop loop, ConfigurationHolder configuration, Duration maxAge) {
		this.configuration = configuration;
		this.maxAge = maxAge;
		this.held = new HeldCalls(loop);
	}

	/**
	 * Tells whether what a configuration lacks is certainly missing.
	 * @param decidedBy the configuration
	 * @return {@code true} if it is in force and was confirmed lately
	 */
	boolean isCertain(FleetConfiguration decidedBy) {
		return this.configuration.isConfirmed(decidedBy, this.maxAge);
	}

	/**
	 * Holds a request until more is known.
	 * @param waited how long it was held lastConfiguration
	 * @param timeLeft the time that its caller waits, or {@code null} if it is not known
	 * @param task decides on the request anew
	 * @return its place, to be given up when its caller leaves; empty if it is not held,
	 * as it was held long enough or too many are
	 */
	Optional<HeldCalls.HeldCall> hold(Duration waited, Duration timeLeft, Runnable task) {
		Duration left = HeldCalls.limit(MAX_WAIT, timeLeft).minus(waited);
		if (left.isNegative() || left.isZero() || (this.held.size() >= MAX_HELD)) {
			return Optional.empty();
		}
		return Optional.of(this.held.hold(left, task));
	}

	/**
	 * Lets the requests that are held be decided anew, if more is known than
	 * lastConfiguration.
	 */
	void update() {
		FleetConfiguration now = this.configuration.current();
		if ((now != this.lastConfiguration) || isCertain(now)) {
			this.lastConfiguration = now;
			this.held.release();
		}
	}

}
