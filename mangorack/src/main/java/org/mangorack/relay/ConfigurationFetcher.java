package org.mangorack.relay;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import org.mangorack.keeper.ConfigurationSource;
import org.mangorack.keeper.proto.ConfigurationDocument;
import org.mangorack.observe.MonotonicClock;

/**
 * Fetches newer configurations from the keepers that announce them, one document from one
 * keeper at a time. Not thread-safe: confined to the traffic event loop.
 */
final class ConfigurationFetcher {

	/**
	 * How long a keeper may take to send a document before another one is asked. The same
	 * one may be asked again after twice this time.
	 */
	static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(800);

	/**
	 * How long a version whose document cannot be read is not requested again. A newer
	 * version is requested nevertheless.
	 */
	static final Duration UNREADABLE_RETRY_DELAY = Duration.ofSeconds(5);

	private final ConfigurationHolder holder;

	private final MonotonicClock clock;

	private final Executor loop;

	private final Runnable onProcessed;

	// Identifies the request in flight; null if there is none.
	private Object pendingRequest;

	private long requestSentAt;

	private String pendingSource;

	private long unreadableVersion;

	private long unreadableAt;

	/**
	 * Creates a fetcher without a request in flight.
	 * @param holder applies received documents
	 * @param clock the time source
	 * @param loop runs tasks on the traffic event loop
	 * @param onProcessed runs on that event loop after a document was processed, whether
	 * it was applied or not
	 */
	ConfigurationFetcher(ConfigurationHolder holder, MonotonicClock clock, Executor loop, Runnable onProcessed) {
		this.holder = holder;
		this.clock = clock;
		this.loop = loop;
		this.onProcessed = onProcessed;
	}

	/**
	 * Requests a version, unless it is already known, a request is in flight, or its
	 * document could not be read recently.
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
		this.holder.offerAsync(document, confirmedAt, source,
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
