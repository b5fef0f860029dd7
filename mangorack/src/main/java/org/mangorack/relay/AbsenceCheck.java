package org.mangorack.relay;

import java.time.Duration;
import java.util.Optional;

import io.netty.channel.EventLoop;

/**
 * Decides whether a route or key that is not in the configuration is certain not to
 * exist. A newer version may contain it, so only a recently confirmed copy is conclusive.
 * Requests for routes or keys that an older copy lacks are held until that copy is
 * confirmed or replaced, which heartbeats and requests to the platform do anyway: a held
 * request triggers none. Not thread-safe: used only on the traffic event loop.
 */
final class AbsenceCheck {

	/**
	 * The longest time that a request is held.
	 */
	static final Duration MAX_WAIT = Duration.ofMillis(600);

	/**
	 * The largest number of requests held at a time; further ones are refused. Bounds the
	 * resources that callers can use up with requests for arbitrary routes or keys.
	 */
	static final int MAX_HELD_REQUESTS = 256;

	private final ConfigurationHolder configuration;

	private final Duration maxAge;

	private final HeldCalls held;

	private FleetConfiguration lastConfiguration;

	/**
	 * Creates a check.
	 * @param loop the traffic event loop
	 * @param configuration the configuration
	 * @param maxAge the largest time since the configuration was last confirmed
	 */
	AbsenceCheck(EventLoop loop, ConfigurationHolder configuration, Duration maxAge) {
		this.configuration = configuration;
		this.maxAge = maxAge;
		this.held = new HeldCalls(loop);
	}

	/**
	 * Returns whether a route or key that a configuration lacks is certain not to exist.
	 * @param decidedBy the configuration
	 * @return {@code true} if it is in force and was confirmed recently
	 */
	boolean isCertain(FleetConfiguration decidedBy) {
		return this.configuration.isConfirmed(decidedBy, this.maxAge);
	}

	/**
	 * Holds a request until the configuration is confirmed or replaced.
	 * @param waited how long it was held before
	 * @param remainingTime the remaining time until the caller's deadline, or
	 * {@code null} if unknown
	 * @param task decides on the request again
	 * @return the held request, to be cancelled when its caller disconnects; empty if it
	 * is not held, because it was held long enough or too many requests are held
	 */
	Optional<HeldCalls.HeldCall> hold(Duration waited, Duration remainingTime, Runnable task) {
		Duration left = HeldCalls.maxWait(MAX_WAIT, remainingTime).minus(waited);
		if (left.isNegative() || left.isZero() || (this.held.size() >= MAX_HELD_REQUESTS)) {
			return Optional.empty();
		}
		return Optional.of(this.held.hold(left, task));
	}

	/**
	 * Releases the held requests for another decision, if the configuration was replaced
	 * or confirmed.
	 */
	void update() {
		FleetConfiguration now = this.configuration.current();
		if ((now != this.lastConfiguration) || isCertain(now)) {
			this.lastConfiguration = now;
			this.held.release();
		}
	}

}
