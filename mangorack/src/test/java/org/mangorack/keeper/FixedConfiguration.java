package org.mangorack.keeper;

import java.time.Duration;
import java.util.Set;

import com.google.protobuf.ByteString;

import org.mangorack.call.Compression;
import org.mangorack.keeper.proto.ConfigurationDocument;

/**
 * A configuration with the same rate limit for every workspace, which changes only when a
 * test calls {@link #change}.
 */
final class FixedConfiguration implements ConfigurationRelay {

	private volatile RateLimit limit;

	private volatile long version = 1;

	private volatile long confirmedAt;

	FixedConfiguration(RateLimit limit) {
		this.limit = limit;
	}

	void change(RateLimit next) {
		this.limit = next;
		this.version++;
	}

	long confirmedAt() {
		return this.confirmedAt;
	}

	@Override
	public long version() {
		return this.version;
	}

	@Override
	public ConfirmedVersion confirmedVersion() {
		return new ConfirmedVersion(this.version, Duration.ZERO);
	}

	@Override
	public Duration timeSinceContact() {
		return Duration.ZERO;
	}

	@Override
	public void offer(ConfigurationDocument document, long confirmedAt, String source) {
		// Documents of other instances are ignored.
	}

	@Override
	public void confirm(long confirmed, long time) {
		this.confirmedAt = time;
	}

	@Override
	public Set<String> limitedWorkspaces() {
		return (this.limit != null) ? Set.of("w") : Set.of();
	}

	@Override
	public ConfigurationDocument document() {
		return ConfigurationDocument.newBuilder()
			.setVersion(this.version)
			.setContent(ByteString.copyFrom(Compression.compress(new byte[] { '{', '}' })))
			.build();
	}

	@Override
	public RateLimit limit(String workspace) {
		return this.limit;
	}

}
