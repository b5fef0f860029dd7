package org.mangorack.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangorack.observe.MonotonicClock;
import org.mangorack.platform.ContactTracker;

/**
 * Determines how long ago the platform recovered from an outage, from the reports of
 * several sources. A source that alone lost its contact is no evidence of an outage, so
 * the longest contact of any source decides. Not thread-safe.
 */
final class PlatformRecovery {

	/**
	 * The result if no outage is known.
	 */
	static final Duration NO_KNOWN_OUTAGE = Duration.ofDays(1);

	private final MonotonicClock clock;

	private final Map<String, SourceReport> sources = new HashMap<>();

	PlatformRecovery(MonotonicClock clock) {
		this.clock = clock;
	}

	/**
	 * Stores the report of a source.
	 * @param source the name of the source
	 * @param contact its contact with the platform
	 */
	void update(String source, ContactTracker.Contact contact) {
		long now = this.clock.nanoTime();
		this.sources.put(source, new SourceReport(now, now - contact.length().toNanos(), contact));
	}

	/**
	 * Returns how long ago the platform recovered.
	 * @return the longest contact of the recently reporting sources if one of them had an
	 * interruption, zero while none is in contact, and {@link #NO_KNOWN_OUTAGE} if no
	 * interruption is known
	 */
	Duration timeSinceRecovery() {
		long now = this.clock.nanoTime();
		this.sources.values().removeIf((s) -> now - s.receivedAt() > KeeperReplies.MAX_REPLY_AGE.toNanos());
		if (this.sources.values().stream().noneMatch((s) -> s.contact().broken())) {
			return NO_KNOWN_OUTAGE;
		}
		return Duration.ofNanos(this.sources.values()
			.stream()
			.filter((s) -> s.contact().answering())
			.mapToLong((s) -> now - s.contactSince())
			.max()
			.orElse(0));
	}

	/**
	 * The latest report of a source.
	 *
	 * @param receivedAt when it was received, on the monotonic clock
	 * @param contactSince since when the platform has responded to it, on the monotonic
	 * clock
	 * @param contact its contact
	 */
	private record SourceReport(long receivedAt, long contactSince, ContactTracker.Contact contact) {
	}

}
