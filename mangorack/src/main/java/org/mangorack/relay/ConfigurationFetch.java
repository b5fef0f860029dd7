package org.mangorack.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.mangorack.keeper.ConfigurationSource;
import org.mangorack.keeper.proto.ConfigurationDocument;
import org.mangorack.observe.MonotonicClock;

/**
 * Takes newer configurations from the keepers that name them, one document at a time from
 * one keeper at a time. Used by the thread for traffic only.
 */
final class ConfigurationFetch {

	/**
	 * How long a keeper may take to send a document before another one is asked. The same
	 * one may be asked again after twice this time.
	 */
	static final Duration LIMIT = Duration.ofMillis(800);

	/**
	 * A document that cannot be read is not asked for again for this long, unless a newer
	 * version is named.
	 */
	static final Duration UNREADABLE_PAUSE = Duration.ofSeconds(5);

	private final ConfigurationHolder holder;

	private final MonotonicClock clock;

	private final Executor loop;

	private final Runnable onTaken;

	// Identifies the request whose answer is awaited; null while there is none.
	private Object asked;

	private long askedAt;

	private String askedSource;

	private long unreadable;

	private long unreadableAt;

	/**
	 * Creates a fetch that has nothing to ask for.
	 * @param holder takes documents over
	 * @param clock the time source
	 * @param loop runs tasks on the thread for traffic
	 * @param onTaken runs on that thread after a document was taken over
	 */
	ConfigurationFetch(ConfigurationHolder holder, MonotonicClock clock, Executor loop, Runnable onTaken) {
		this.holder = holder;
		this.clock = clock;
		this.loop = loop;
		this.onTaken = onTaken;
	}

	/**
	 * Asks for a version, unless it is known or an answer is awaited.
	 * @param version the version that a keeper named
	 * @param source the keeper
	 */
	void heard(long version, ConfigurationSource source) {
		long now = this.clock.nanoTime();
		long patience = source.name().equals(this.askedSource) ? (2 * LIMIT.toNanos()) : LIMIT.toNanos();
		boolean awaited = (this.asked != null) && (now - this.askedAt < patience);
		boolean paused = (version == this.unreadable) && (now - this.unreadableAt < UNREADABLE_PAUSE.toNanos());
		if ((version <= this.holder.version()) || awaited || paused) {
			return;
		}
		Object request = new Object();
		this.asked = request;
		this.askedAt = now;
		this.askedSource = source.name();
		source.fetch(this.holder.version(), (answer) -> answered(request, answer, now, source.name()));
	}

	private void answered(Object request, Optional<ConfigurationDocument> answer, long sentAt, String source) {
		if (answer.isEmpty()) {
			finished(request);
			return;
		}
		ConfigurationDocument document = answer.get();
		long confirmedAt = sentAt - TimeUnit.MILLISECONDS.toNanos(document.getAgeMs());
		this.holder.take(document, confirmedAt, source,
				() -> this.loop.execute(() -> taken(request, document.getVersion())));
	}

	private void taken(Object request, long version) {
		if (this.holder.version() < version) {
			this.unreadable = version;
			this.unreadableAt = this.clock.nanoTime();
		}
		finished(request);
		this.onTaken.run();
	}

	private void finished(Object request) {
		if (this.asked == request) {
			this.asked = null;
		}
	}

}
