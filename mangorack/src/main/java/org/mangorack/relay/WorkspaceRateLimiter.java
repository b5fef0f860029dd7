package org.mangorack.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.netty.channel.EventLoop;

import org.mangorack.keeper.ConfigurationRelay.RateLimit;
import org.mangorack.keeper.KeeperClient;
import org.mangorack.keeper.proto.Draw;
import org.mangorack.keeper.proto.Level;
import org.mangorack.keeper.proto.Pulse;
import org.mangorack.keeper.proto.Usage;
import org.mangorack.observe.MonotonicClock;

/**
 * Enforces the rate limits of workspaces. While the token buckets at the keepers are well
 * filled, a request is admitted at once and reported with the next heartbeat; otherwise
 * it is first taken from the buckets. Not thread-safe: used only on the traffic event
 * loop.
 */
final class WorkspaceRateLimiter {

	/**
	 * The age beyond which a level counts as unknown: two and a half times the longest
	 * heartbeat interval.
	 */
	static final Duration MAX_LEVEL_AGE = Duration.ofMillis(1000);

	/**
	 * The fraction of the burst that must remain for a request to be admitted at once. It
	 * is the reserve for what other entries admit at the same time.
	 */
	static final double IMMEDIATE_CONTINUATION_LEVEL = 0.4;

	/**
	 * How long the first request of a program waits for the bucket before it is refused.
	 */
	static final Duration MAX_BEGINNING_WAIT = Duration.ofMillis(80);

	/**
	 * How long a later request of a program waits for the bucket. Refusing it would waste
	 * the resources that the program has already used.
	 */
	static final Duration MAX_CONTINUATION_WAIT = Duration.ofMillis(150);

	/**
	 * The fraction of the burst that must remain for the first request of a program to be
	 * admitted at once. It is higher than for later requests, as more calls will follow.
	 */
	static final double IMMEDIATE_BEGINNING_LEVEL = 0.5;

	private final KeeperClient keepers;

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final Map<String, Long> admitted = new HashMap<>();

	private final Map<String, Long> reported = new HashMap<>();

	private final Map<String, Integer> beginnings = new HashMap<>();

	private final Map<String, KeeperLevels> levels = new HashMap<>();

	private final LongSupplier configurationVersion;

	WorkspaceRateLimiter(KeeperClient keepers, LongSupplier configurationVersion, EventLoop loop,
			MonotonicClock clock) {
		this.keepers = keepers;
		this.configurationVersion = configurationVersion;
		this.loop = loop;
		this.clock = clock;
	}

	// ---- Heartbeats

	/**
	 * Returns the calls that were admitted at once since the previous heartbeat.
	 * @return the calls by workspace
	 */
	List<Usage> takeUsage() {
		List<Usage> usage = new ArrayList<>();
		this.admitted.forEach((workspace, total) -> {
			long before = this.reported.getOrDefault(workspace, 0L);
			if (total != before) {
				usage.add(Usage.newBuilder()
					.setWorkspace(workspace)
					.setCalls((int) (total - before))
					.setBeginnings(this.beginnings.getOrDefault(workspace, 0))
					.build());
				this.reported.put(workspace, total);
			}
		});
		this.beginnings.clear();
		return usage;
	}

	/**
	 * Returns the totals reported so far, to be passed to {@link #setLevels} with the
	 * response to the heartbeat.
	 * @return the calls by workspace
	 */
	Map<String, Long> reported() {
		return new HashMap<>(this.reported);
	}

	/**
	 * Stores the bucket levels of a keeper.
	 * @param disk the disk of the keeper
	 * @param pulse the keeper's reply; workspaces that it does not list are nearly full
	 * @param reportedBefore the totals reported up to the heartbeat that it replies to
	 */
	void setLevels(String disk, Pulse pulse, Map<String, Long> reportedBefore) {
		Map<String, Level> listed = new HashMap<>();
		pulse.getLevelList().forEach((l) -> listed.put(l.getWorkspace(), l));
		this.levels.put(disk,
				new KeeperLevels(listed, pulse.getConfiguration(), reportedBefore, this.clock.nanoTime()));
	}

	// ---- Admission

	/**
	 * Checks whether a request is within the rate limit of its workspace.
	 * @param workspace the workspace
	 * @param limit its limit, or {@code null} if it has none
	 * @param beginning whether this is the first request of a program
	 * @param urgent whether it takes precedence over other first requests
	 * @param callback receives zero if the request is admitted, else the time after which
	 * to retry, or {@code null} if the rate cannot be determined at present
	 */
	void acquire(String workspace, RateLimit limit, boolean beginning, boolean urgent, Consumer<Duration> callback) {
		if (limit == null) {
			callback.accept(Duration.ZERO);
			return;
		}
		double threshold = limit.burst() * (beginning ? IMMEDIATE_BEGINNING_LEVEL : IMMEDIATE_CONTINUATION_LEVEL);
		if (level(workspace, limit) > Math.max(2, threshold)) {
			this.admitted.merge(workspace, 1L, Long::sum);
			if (beginning) {
				this.beginnings.merge(workspace, 1, Integer::sum);
			}
			callback.accept(Duration.ZERO);
			return;
		}
		Draw draw = Draw.newBuilder().setWorkspace(workspace).setBeginning(beginning).setUrgent(urgent).build();
		draw(draw, this.clock.nanoTime() + (beginning ? MAX_BEGINNING_WAIT : MAX_CONTINUATION_WAIT).toNanos(),
				callback);
	}

	/**
	 * Refunds a request that was admitted but will not run.
	 * @param workspace the workspace
	 * @param limit its limit, or {@code null} if it has none
	 * @param beginning whether this was the first request of a program
	 */
	void refund(String workspace, RateLimit limit, boolean beginning) {
		if (limit != null) {
			this.admitted.merge(workspace, -1L, Long::sum);
			if (beginning) {
				this.beginnings.merge(workspace, -1, Integer::sum);
			}
		}
	}

	private void draw(Draw draw, long waitUntil, Consumer<Duration> callback) {
		this.keepers.draw(draw, (wait) -> {
			boolean canWait = (wait != null) && !wait.isZero() && (this.clock.nanoTime() + wait.toNanos() < waitUntil);
			if (canWait) {
				this.loop.schedule(() -> draw(draw, waitUntil, callback), wait.toNanos(), TimeUnit.NANOSECONDS);
			}
			else {
				callback.accept(wait);
			}
		});
	}

	// Returns the lowest level that a majority of the keepers reports, or a negative
	// number if too few report.
	private double level(String workspace, RateLimit limit) {
		long now = this.clock.nanoTime();
		long total = this.admitted.getOrDefault(workspace, 0L);
		Set<String> reporting = new HashSet<>();
		double lowest = Double.MAX_VALUE;
		for (Map.Entry<String, KeeperLevels> e : this.levels.entrySet()) {
			KeeperLevels known = e.getValue();
			OptionalDouble calls = known.calls(workspace, limit, this.configurationVersion.getAsLong());
			if (calls.isPresent() && (now - known.receivedAt() < MAX_LEVEL_AGE.toNanos())) {
				reporting.add(e.getKey());
				long unreported = total - known.reportedBefore().getOrDefault(workspace, 0L);
				lowest = Math.min(lowest, calls.getAsDouble() - unreported);
			}
		}
		return this.keepers.view().isMajority(reporting) ? lowest : -1;
	}

	/**
	 * The bucket levels of a keeper.
	 *
	 * @param listed the buckets that are not nearly full
	 * @param configuration the version of the keeper's configuration
	 * @param reportedBefore the totals that this entry had reported by then, by workspace
	 * @param receivedAt when they were received, on the monotonic clock
	 */
	private record KeeperLevels(Map<String, Level> listed, long configuration, Map<String, Long> reportedBefore,
			long receivedAt) {

		private OptionalDouble calls(String workspace, RateLimit limit, long version) {
			Level level = this.listed.get(workspace);
			if (level != null) {
				return level.getWarming() ? OptionalDouble.empty() : OptionalDouble.of(level.getCalls());
			}
			// An older configuration may lack this limit.
			return (this.configuration >= version) ? OptionalDouble.of(limit.nearlyFullLevel())
					: OptionalDouble.empty();
		}

	}

}
