package org.mangorack.keeper;

import java.time.Duration;

import com.google.protobuf.ByteString;

/**
 * A configuration that never changes, with one rate for every workspace.
 *
 * @param limit the rate of every workspace, or {@code null}
 */
record FixedConfiguration(RateLimit limit) implements ConfigurationRelay {

	@Override
	public long version() {
		return 1;
	}

	@Override
	public Duration age() {
		return Duration.ZERO;
	}

	@Override
	public Duration sinceContact() {
		return Duration.ZERO;
	}

	@Override
	public void offer(ByteString fresh, long confirmedAt, String source) {
		// It never changes.
	}

	@Override
	public ByteString document() {
		return ByteString.copyFromUtf8("{}");
	}

	@Override
	public RateLimit limit(String workspace) {
		return this.limit;
	}

}
