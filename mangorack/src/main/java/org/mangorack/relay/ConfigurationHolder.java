package org.mangorack.relay;

import java.io.IOException;
import java.time.Duration;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.ByteString;

import org.mangorack.call.Jsons;
import org.mangorack.keeper.ConfigurationRelay.RateLimit;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;

/**
 * The newest configuration that a process has seen, from whichever source, and when it
 * was last certainly the newest one. It never goes back. May be used by any thread.
 */
public final class ConfigurationHolder {

	private final FleetProtocol protocol;

	private final MonotonicClock clock;

	private final Metrics metrics;

	private volatile State state;

	/**
	 * Creates a holder without a configuration.
	 * @param protocol reads documents
	 * @param clock the time source
	 * @param metrics counts documents and times their reading
	 */
	public ConfigurationHolder(FleetProtocol protocol, MonotonicClock clock, Metrics metrics) {
		this.protocol = protocol;
		this.clock = clock;
		this.metrics = metrics;
		this.state = new State(null, ByteString.EMPTY, clock.nanoTime() - Duration.ofDays(1).toNanos());
	}

	// ---- Accessors

	/**
	 * Returns the configuration.
	 * @return the configuration, or {@code null} before any is known
	 */
	public FleetConfiguration current() {
		return this.state.configuration();
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version, or 0 before any is known
	 */
	public long version() {
		FleetConfiguration known = this.state.configuration();
		return (known != null) ? known.version() : 0;
	}

	/**
	 * Returns how long ago the configuration was certainly the newest one.
	 * @return the age of this knowledge
	 */
	public Duration age() {
		return this.clock.elapsed(this.state.confirmedAt());
	}

	/**
	 * Returns the document as the platform holds it.
	 * @return the bytes; empty before any is known
	 */
	public ByteString document() {
		return this.state.document();
	}

	/**
	 * Returns the rate limit of a workspace.
	 * @param workspace the workspace
	 * @return the limit, or {@code null} if there is none
	 */
	public RateLimit limit(String workspace) {
		FleetConfiguration known = this.state.configuration();
		return (known != null) ? known.limit(workspace) : null;
	}

	/**
	 * Returns the workspaces that have a rate limit.
	 * @return their names
	 */
	public Set<String> limitedWorkspaces() {
		FleetConfiguration known = this.state.configuration();
		return (known != null) ? known.limitedWorkspaces() : Set.of();
	}

	// ---- Public API

	/**
	 * Takes over a document unless it is older than the one in use.
	 * @param document the document
	 * @param confirmedAt when it was certainly the newest one, on the monotonic clock
	 * @param source where it comes from, for the log
	 * @return the version of the document, or 0 if it cannot be read
	 */
	public synchronized long offer(JsonNode document, long confirmedAt, String source) {
		try {
			FleetConfiguration read = this.protocol.configuration(document);
			if (read.version() > version()) {
				EventLog.log(Event.CONFIGURATION_IN_FORCE, "version", read.version(), "before", version(), "source",
						source, "ageMillis", this.clock.elapsed(confirmedAt).toMillis());
				// What was known of the version before held until then, so this one is as
				// fresh.
				long known = this.state.confirmedAt();
				this.state = new State(read, ByteString.copyFrom(Jsons.bytes(document)),
						(known - confirmedAt > 0) ? known : confirmedAt);
			}
			else if (read.version() == version()) {
				confirm(read.version(), confirmedAt);
			}
			return read.version();
		}
		catch (IOException ex) {
			EventLog.log(Event.CONFIGURATION_UNREADABLE, ex, "source", source);
			return 0;
		}
	}

	/**
	 * Takes over a document as bytes.
	 * @param document the document
	 * @param confirmedAt when it was certainly the newest one, on the monotonic clock
	 * @param source where it comes from, for the log
	 */
	public void offer(ByteString document, long confirmedAt, String source) {
		try {
			long startedAt = this.clock.nanoTime();
			long before = version();
			long version = offer(Jsons.parse(document.toByteArray()), confirmedAt, source);
			Duration taken = this.clock.elapsed(startedAt);
			boolean used = version > before;
			String usedTag = Boolean.toString(used);
			this.metrics.count("mangorack.configuration.received", 1, "used", usedTag);
			this.metrics.count("mangorack.configuration.received.bytes", document.size(), "used", usedTag);
			this.metrics.timer("mangorack.configuration.read").record(taken);
			EventLog.log(Event.CONFIGURATION_RECEIVED, "version", version, "bytes", document.size(), "source", source,
					"used", used, "readMillis", taken.toMillis());
		}
		catch (IOException ex) {
			EventLog.log(Event.CONFIGURATION_UNREADABLE, ex, "source", source);
		}
	}

	/**
	 * Notes that a version was the newest one.
	 * @param version the version
	 * @param time when it certainly was, on the monotonic clock
	 */
	public synchronized void confirm(long version, long time) {
		State now = this.state;
		if ((version == version()) && (time - now.confirmedAt() > 0)) {
			this.state = new State(now.configuration(), now.document(), time);
		}
	}

	/**
	 * A configuration and when it was confirmed.
	 *
	 * @param configuration the configuration, or {@code null}
	 * @param document its document
	 * @param confirmedAt when it was certainly the newest one
	 */
	private record State(FleetConfiguration configuration, ByteString document, long confirmedAt) {
	}

}
