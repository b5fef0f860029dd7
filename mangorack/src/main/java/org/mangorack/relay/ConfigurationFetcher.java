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
final class ConfigurationFetcher {

	/**
	 * How long a keeper may take to send a document before another one is asked. The same
	 * one may be asked again after twice this time.
	 */
	static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);

	/**
	 * A document that cannot be read is not asked for again for this long, unless a newer
	 * version is named.
	 */
	static final Duration UNREADABLE_RETRY_DELAY = Duration.ofSeconds(5);

	private final ConfigurationHolder holder;

	private final MonotonicClock clock;

	private final Executor loop;

	private final Runnable onProcessed;

	// Identifies the request whose answer is awaited; null while there is none.
	private Object pendingRequest;

	private long requestSentAt;

	private String pendingSource;

	private long unreadableVersion;

	private long unreadableAt;

	/**
	 * Creates a fetch that has nothing to ask for.
	 * @param holder takes documents over
	 * @param clock the time source
	 * @param loop runs tasks on the thread for traffic
	 * @param onProcessed runs on that thread after a document was taken over
	 */
	ConfigurationFetcher(ConfigurationHolder holder, MonotonicClock clock, Executor loop, Runnable onProcessed) {
		this.holder = holder;
		this.clock = clock;
		this.loop = loop;
		this.onProcessed = onProcessed;
	}

	/**
	 * Asks for a version, unless it is known or an answer is awaited.
	 * @param version the version that a keeper named
	 * @param source the keeper
	 */
	void onVersionAnnounced(long version, ConfigurationSource source) {
		long now = this.clock.nanoTime();
		long timeout = source.name().equals(this.pendingSource) ? (2 * RESPONSE_TIMEOUT.toNanos())
				: RESPONSE_TIMEOUT.toNanos();
		boolean responsePending = (this.pendingRequest != null) && (now - this.requestSentAt < timeout);
		boolean retryDelayed = (version == this.unreadableVersion)
				&& (now - this.unreadableAt < UNREADABLE_RETRY_DELAY.toNanos());
		if ((version <= this.holder.version()) || responsePending || retryDelayed) {
			return;
		}
		Object request = new Object();
		this.pendingRequest = request;
		this.requestSentAt = now;
		this.pendingSource = source.name();
		source.fetch(this.holder.version(), (response) -> onResponse(request, response, now, source.name()));
	}

	private void onResponse(Object request, Optional<ConfigurationDocument> response, long sentAt, String source) {
		if (response.isEmpty()) {
			clearPending(request);
			return;
		}
		ConfigurationDocument document = response.get();
		long confirmedAt = sentAt - TimeUnit.MILLISECONDS.toNanos(document.getAgeMs());
		this.holder.take(document, confirmedAt, source,
				() -> this.loop.execute(() -> onDocumentProcessed(request, document.getVersion())));
	}

	private void onDocumentProcessed(Object request, long version) {
		if (this.holder.version() < version) {
			this.unreadableVersion = version;
			this.unreadableAt = this.clock.nanoTime();
		}
		clearPending(request);
		this.onProcessed.run();
	}

	private void clearPending(Object request) {
		if (this.pendingRequest == request) {
			this.pendingRequest = null;
		}
	}

}
