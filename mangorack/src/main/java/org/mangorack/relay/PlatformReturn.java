package org.mangorack.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ContactTracker;

/**
 * Tells how long ago the platform came back after an outage, from what several sources
 * know. A source that lost its contact alone says nothing about the platform, so the
 * longest contact of any source decides. Used by one thread.
 */
final class PlatformReturn {

	/**
	 * The answer when the platform was there all along.
	 */
	static final Duration NEVER = Duration.ofDays(1);

	private final MonotonicClock clock;

	private final Map<String, Heard> sources = new HashMap<>();

	PlatformReturn(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Takes over what a source knows.
	 * @param source names the source
	 * @param contact its contact with the platform
	 */
	void heard(String source, ContactTracker.Contact contact) {
		long now = this.clock.nanoTime();
		this.sources.put(source, new Heard(now, now - contact.length().toNanos(), contact));
	}

	/**
	 * Returns how long ago the platform came back.
	 * @return the longest contact of the sources heard lately if one of them saw a break,
	 * zero while none is in contact, and {@link #NEVER} if no break is known
	 */
	Duration sinceReturn() {
		long now = this.clock.nanoTime();
		this.sources.values().removeIf((s) -> now - s.heardAt() > KeeperReplies.REPLY_MAX_AGE.toNanos());
		if (this.sources.values().stream().noneMatch((s) -> s.contact().broken())) {
			return NEVER;
		}
		return Duration.ofNanos(this.sources.values()
			.stream()
			.filter((s) -> s.contact().answering())
			.mapToLong((s) -> now - s.contactSince())
			.max()
			.orElse(0));
	}

	/**
	 * What a source said last.
	 *
	 * @param heardAt when, on the monotonic clock
	 * @param contactSince since when the platform has answered it, on the monotonic clock
	 * @param contact its contact
	 */
	private record Heard(long heardAt, long contactSince, ContactTracker.Contact contact) {
	}

}
