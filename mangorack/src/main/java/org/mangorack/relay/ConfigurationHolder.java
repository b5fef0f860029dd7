package org.mangorack.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;

import org.mangorack.call.Compression;
import org.mangorack.call.Jsons;
import org.mangorack.keeper.ConfigurationRelay.ConfirmedVersion;
import org.mangorack.keeper.ConfigurationRelay.RateLimit;
import org.mangorack.keeper.proto.ConfigurationDocument;
import org.mangorack.observe.DaemonThreads;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;

/**
 * Holds the newest configuration received from any source and the time at which it was
 * last confirmed as the newest one. The version never decreases. Thread-safe.
 */
public final class ConfigurationHolder {

	/**
	 * The maximum uncompressed size of a document from another instance.
	 */
	static final int MAX_DOCUMENT_BYTES = 16 * 1024 * 1024;

	private static final Duration PARSER_IDLE_TIMEOUT = Duration.ofSeconds(5);

	private final FleetProtocol protocol;

	private final MonotonicClock clock;

	private final Metrics metrics;

	private final Executor parserExecutor;

	private volatile Snapshot snapshot;

	/**
	 * Creates a holder without a configuration that parses documents from other instances
	 * on a dedicated thread.
	 * @param protocol parses documents
	 * @param clock the time source
	 * @param metrics receives document counts and parsing times
	 */
	public ConfigurationHolder(FleetProtocol protocol, MonotonicClock clock, Metrics metrics) {
		this(protocol, clock, metrics, newParserExecutor());
	}

	/**
	 * Creates a holder without a configuration.
	 * @param protocol parses documents
	 * @param clock the time source
	 * @param metrics receives document counts and parsing times
	 * @param parserExecutor parses documents from other instances
	 */
	ConfigurationHolder(FleetProtocol protocol, MonotonicClock clock, Metrics metrics, Executor parserExecutor) {
		this.protocol = protocol;
		this.clock = clock;
		this.metrics = metrics;
		this.parserExecutor = parserExecutor;
		this.snapshot = new Snapshot(null, ConfigurationDocument.getDefaultInstance(),
				clock.nanoTime() - Duration.ofDays(1).toNanos());
	}

	// The thread ends when idle, as documents arrive rarely.
	private static Executor newParserExecutor() {
		ThreadPoolExecutor executor = new ThreadPoolExecutor(1, 1, PARSER_IDLE_TIMEOUT.toMillis(),
				TimeUnit.MILLISECONDS, new LinkedBlockingQueue<>(), DaemonThreads.named("configuration"));
		executor.allowCoreThreadTimeOut(true);
		return executor;
	}

	// ---- Accessors

	/**
	 * Returns the configuration.
	 * @return the configuration, or {@code null} before any is known
	 */
	public FleetConfiguration current() {
		return this.snapshot.configuration();
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version, or 0 before any is known
	 */
	public long version() {
		return this.snapshot.version();
	}

	/**
	 * Returns the time since the configuration was last confirmed as the newest one.
	 * @return the time since the last confirmation
	 */
	public Duration age() {
		return this.clock.elapsed(this.snapshot.confirmedAt());
	}

	/**
	 * Returns the current version and the time since it was last confirmed, as one
	 * consistent pair.
	 * @return the version and its age
	 */
	public ConfirmedVersion confirmedVersion() {
		Snapshot latest = this.snapshot;
		return new ConfirmedVersion(latest.version(), this.clock.elapsed(latest.confirmedAt()));
	}

	/**
	 * Returns whether a configuration is the current one and was confirmed within a
	 * period.
	 * @param configuration the configuration
	 * @param maxAge the maximum time since the confirmation
	 * @return {@code true} if it is current and was confirmed less than {@code maxAge}
	 * ago
	 */
	public boolean isConfirmed(FleetConfiguration configuration, Duration maxAge) {
		Snapshot latest = this.snapshot;
		return (latest.configuration() == configuration)
				&& (this.clock.elapsed(latest.confirmedAt()).compareTo(maxAge) < 0);
	}

	/**
	 * Returns the document of the configuration, for sending to other instances.
	 * @return the document with its age; its version is 0 before any is known
	 */
	public ConfigurationDocument document() {
		Snapshot latest = this.snapshot;
		return latest.document().toBuilder().setAgeMs(this.clock.elapsed(latest.confirmedAt()).toMillis() + 1).build();
	}

	/**
	 * Returns the rate limit of a workspace.
	 * @param workspace the workspace
	 * @return the limit, or {@code null} if there is none
	 */
	public RateLimit limit(String workspace) {
		FleetConfiguration configuration = this.snapshot.configuration();
		return (configuration != null) ? configuration.limit(workspace) : null;
	}

	/**
	 * Returns the workspaces that have a rate limit.
	 * @return their names
	 */
	public Set<String> limitedWorkspaces() {
		FleetConfiguration configuration = this.snapshot.configuration();
		return (configuration != null) ? configuration.limitedWorkspaces() : Set.of();
	}

	// ---- Public API

	/**
	 * Applies a document from the platform, unless the current one is as new or newer. A
	 * document of the current version only confirms it.
	 * @param document the document
	 * @param confirmedAt a time at which it was the newest version, on the monotonic
	 * clock
	 * @param source the origin, for the log
	 * @return the version of the document, or 0 if it cannot be read
	 */
	public long offer(JsonNode document, long confirmedAt, String source) {
		long version = this.protocol.configurationVersion(document);
		if ((version > 0) && (version <= version())) {
			confirm(version, confirmedAt);
			return version;
		}
		try {
			FleetConfiguration parsed = this.protocol.configuration(document);
			ConfigurationDocument compressed = ConfigurationDocument.newBuilder()
				.setVersion(parsed.version())
				.setContent(ByteString.copyFrom(Compression.compress(Jsons.bytes(document))))
				.build();
			install(parsed, compressed, confirmedAt, source);
			return parsed.version();
		}
		catch (IOException | RuntimeException ex) {
			EventLog.log(Event.CONFIGURATION_UNREADABLE, ex, "source", source, "version", version);
			return 0;
		}
	}

	/**
	 * Applies a document from another instance, unless the current one is as new or
	 * newer. It is parsed on another thread, as a large document takes long.
	 * @param document the document
	 * @param confirmedAt a time at which it was the newest version, on the monotonic
	 * clock
	 * @param source the origin, for the log
	 * @param done runs on any thread after the document was applied or discarded
	 */
	public void offerAsync(ConfigurationDocument document, long confirmedAt, String source, Runnable done) {
		this.parserExecutor.execute(() -> {
			try {
				process(document, confirmedAt, source);
			}
			finally {
				done.run();
			}
		});
	}

	/**
	 * Records that a version was the newest one. Ignored for other versions than the
	 * current one.
	 * @param version the version
	 * @param time a time at which it was the newest version, on the monotonic clock
	 */
	public synchronized void confirm(long version, long time) {
		Snapshot latest = this.snapshot;
		if ((version == version()) && (time - latest.confirmedAt() > 0)) {
			this.snapshot = new Snapshot(latest.configuration(), latest.document(), time);
		}
	}

	// ---- Helpers

	private void process(ConfigurationDocument document, long confirmedAt, String source) {
		long startedAt = this.clock.nanoTime();
		boolean used = document.getVersion() > version();
		try {
			if (used) {
				byte[] bytes = Compression.decompress(document.getContent().toByteArray(), MAX_DOCUMENT_BYTES);
				FleetConfiguration parsed = this.protocol.configuration(Jsons.parse(bytes));
				if (parsed.version() != document.getVersion()) {
					throw new IOException("configuration document contains version " + parsed.version()
							+ " but was announced as version " + document.getVersion());
				}
				install(parsed, document.toBuilder().clearAgeMs().build(), confirmedAt, source);
			}
			else {
				confirm(document.getVersion(), confirmedAt);
			}
		}
		catch (IOException | RuntimeException ex) {
			EventLog.log(Event.CONFIGURATION_UNREADABLE, ex, "source", source, "version", document.getVersion());
		}
		Duration duration = this.clock.elapsed(startedAt);
		int size = document.getContent().size();
		String usedTag = Boolean.toString(used);
		this.metrics.count("mangorack.configuration.received", 1, "used", usedTag);
		this.metrics.count("mangorack.configuration.received.bytes", size, "used", usedTag);
		this.metrics.timer("mangorack.configuration.read").record(duration);
		EventLog.log(Event.CONFIGURATION_RECEIVED, "version", document.getVersion(), "bytes", size, "source", source,
				"used", used, "readMillis", duration.toMillis());
	}

	private synchronized void install(FleetConfiguration parsed, ConfigurationDocument document, long confirmedAt,
			String source) {
		if (parsed.version() <= version()) {
			confirm(parsed.version(), confirmedAt);
			return;
		}
		EventLog.log(Event.CONFIGURATION_IN_FORCE, "version", parsed.version(), "before", version(), "source", source,
				"ageMillis", this.clock.elapsed(confirmedAt).toMillis());
		// The previous version was the newest one until it was replaced, so this version
		// is confirmed for at least as late a time.
		long previousConfirmedAt = this.snapshot.confirmedAt();
		this.snapshot = new Snapshot(parsed, document,
				(previousConfirmedAt - confirmedAt > 0) ? previousConfirmedAt : confirmedAt);
	}

	/**
	 * A configuration and the time of its confirmation.
	 *
	 * @param configuration the configuration, or {@code null}
	 * @param document its document, without an age
	 * @param confirmedAt a time at which it was the newest version, on the monotonic
	 * clock
	 */
	private record Snapshot(FleetConfiguration configuration, ConfigurationDocument document, long confirmedAt) {

		private long version() {
			return (this.configuration != null) ? this.configuration.version() : 0;
		}

	}

}
