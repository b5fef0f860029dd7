package org.mangorack.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mangorack.call.UpstreamId;
import org.mangorack.config.Configuration;
import org.mangorack.config.ConfigurationStore;
import org.mangorack.config.Upstream;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.ownership.OwnedShard;
import org.mangorack.ownership.ShardHost;
import org.mangorack.program.ProgramTable;
import org.mangorack.program.ProgramTable.Release;
import org.mangorack.upstream.UpstreamClient;

/**
 * Ends idle programs, removes expired records, and asks engines to release the memory of
 * ended programs until they confirm it.
 */
final class Maintenance {

	private static final Duration SUB_AGENT_ROOT_RETENTION = Duration.ofDays(8);

	private static final Duration RELEASE_RETRY_DELAY = Duration.ofSeconds(2);

	private static final int MAX_RELEASES_PER_RUN = 200;

	private final ShardHost<ShardContents> host;

	private final ConfigurationStore configuration;

	private final UpstreamClient client;

	private final MonotonicClock clock;

	private final Map<Release, Long> lastAttempts = new HashMap<>();

	Maintenance(ShardHost<ShardContents> host, ConfigurationStore configuration, UpstreamClient client,
			MonotonicClock clock) {
		this.host = host;
		this.configuration = configuration;
		this.client = client;
		this.clock = clock;
	}

	/**
	 * Runs maintenance once on every owned shard.
	 */
	void runOnce() {
		Configuration current = this.configuration.current();
		int releases = 0;
		for (OwnedShard<ShardContents> shard : this.host.owned()) {
			if (!this.host.isLeaseHeld()) {
				return;
			}
			shard.replica().programs().expire(current.workspaces());
			shard.replica().subAgentRoots().expire(SUB_AGENT_ROOT_RETENTION);
			shard.replica().calls().expire();
			releases += release(shard.replica().programs(), current, MAX_RELEASES_PER_RUN - releases);
		}
		this.lastAttempts.values()
			.removeIf((at) -> this.clock.elapsed(at).compareTo(RELEASE_RETRY_DELAY.multipliedBy(5)) > 0);
	}

	private int release(ProgramTable programs, Configuration current, int limit) {
		int count = 0;
		List<Release> releases = programs.unconfirmedReleases();
		for (Release release : releases) {
			if ((count >= limit) || !isDue(release)) {
				continue;
			}
			count++;
			this.lastAttempts.put(release, this.clock.nanoTime());
			Optional<Upstream> upstream = current.upstream(new UpstreamId(release.upstream()));
			boolean confirmed = upstream.isEmpty() || this.client.release(upstream.get(), release.program());
			if (confirmed) {
				programs.confirmRelease(release);
				this.lastAttempts.remove(release);
			}
			EventLog.log(confirmed ? Event.RELEASE_CONFIRMED : Event.RELEASE_FAILED, "program", release.program(),
					"upstream", release.upstream());
		}
		return count;
	}

	private boolean isDue(Release release) {
		Long last = this.lastAttempts.get(release);
		return (last == null) || (this.clock.elapsed(last).compareTo(RELEASE_RETRY_DELAY) > 0);
	}

}
