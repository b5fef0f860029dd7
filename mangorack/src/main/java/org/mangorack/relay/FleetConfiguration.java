package org.mangorack.relay;

import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import org.mangorack.http.RequestRules;
import org.mangorack.keeper.ConfigurationRelay.RateLimit;

/**
 * An immutable version of the fleet configuration.
 */
public final class FleetConfiguration {

	private final long version;

	// Routes by host and path prefix.
	private final Map<String, Map<String, RelayRoute>> routes = new HashMap<>();

	private final Map<String, Pool> pools = new HashMap<>();

	private final Map<String, Workspace> workspacesByKey = new HashMap<>();

	private final Map<String, RateLimit> limits = new HashMap<>();

	private final boolean keyed;

	private final CallerLimits callerLimits;

	private final long largestTokenBytes;

	/**
	 * Creates a configuration.
	 * @param version its version, which increases with each change
	 * @param routes all routes; their prefixes end with a slash
	 * @param pools all pools
	 * @param workspaces all workspaces, or {@code null} if callers need no keys
	 * @param callerLimits the limits on requests from callers
	 */
	public FleetConfiguration(long version, List<RelayRoute> routes, List<Pool> pools, List<Workspace> workspaces,
			CallerLimits callerLimits) {
		this.version = version;
		this.callerLimits = callerLimits;
		this.keyed = (workspaces != null);
		routes.forEach(
				(r) -> this.routes.computeIfAbsent(r.host(), (host) -> new HashMap<>()).putIfAbsent(r.prefix(), r));
		pools.forEach((p) -> this.pools.put(p.name(), p));
		this.largestTokenBytes = pools.stream()
			.map(Pool::memory)
			.filter(Objects::nonNull)
			.mapToLong(EngineMemory::tokenBytes)
			.max()
			.orElse(0);
		if (workspaces != null) {
			workspaces.forEach((w) -> {
				w.keys().forEach((key) -> this.workspacesByKey.put(key, w));
				if (w.limit() != null) {
					this.limits.put(w.name(), w.limit());
				}
			});
		}
	}

	// ---- Accessors

	/**
	 * Returns the version.
	 * @return a number that increases with each change
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on requests from callers.
	 * @return the limits
	 */
	public CallerLimits callerLimits() {
		return this.callerLimits;
	}

	/**
	 * Returns whether requests require a key, except on open routes.
	 * @return {@code true} if workspaces are configured
	 */
	public boolean requiresKeys() {
		return this.keyed;
	}

	// ---- Public API

	/**
	 * Finds the route of a request.
	 * @param host the host of the request
	 * @param path the path without the query
	 * @return the route with the longest matching prefix
	 */
	public Optional<RelayRoute> route(String host, String path) {
		Map<String, RelayRoute> routesOfHost = this.routes.getOrDefault(host, Map.of());
		for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
			RelayRoute found = routesOfHost.get(path.substring(0, end + 1));
			if (found != null) {
				return Optional.of(found);
			}
		}
		return Optional.empty();
	}

	/**
	 * Finds the workspace of a key.
	 * @param key the key
	 * @return the workspace, or empty if the key is unknown
	 */
	public Optional<Workspace> workspace(String key) {
		return Optional.ofNullable((key != null) ? this.workspacesByKey.get(key) : null);
	}

	/**
	 * Finds a pool.
	 * @param name the name of the pool
	 * @return the pool, or {@code null} if it is unknown
	 */
	public Pool pool(String name) {
		return this.pools.get(name);
	}

	/**
	 * Returns the largest memory for a token among the engines of all pools.
	 * @return the size in bytes; 0 if there are no engines
	 */
	public long largestTokenBytes() {
		return this.largestTokenBytes;
	}

	/**
	 * Finds the rate limit of a workspace.
	 * @param workspace the name of the workspace
	 * @return the limit, or {@code null} if it has none
	 */
	public RateLimit limit(String workspace) {
		return this.limits.get(workspace);
	}

	/**
	 * Returns the workspaces that have a rate limit.
	 * @return their names
	 */
	public Set<String> limitedWorkspaces() {
		return Collections.unmodifiableSet(this.limits.keySet());
	}

	/**
	 * A pool of upstreams.
	 *
	 * @param name the name of the pool
	 * @param maxConnections the maximum number of connections to each upstream from all
	 * instances together
	 * @param tokensPerEvent the number of tokens that a stream event represents; 0 if the
	 * upstreams are not engines
	 * @param memory the memory of each upstream, or {@code null} if the upstreams are not
	 * engines
	 * @param coldPerSecond the requests that a cold upstream tolerates in a second; 0 if
	 * the pool has no cold upstreams
	 * @param coldStart for how long an upstream is cold after its start
	 */
	public record Pool(String name, int maxConnections, int tokensPerEvent, EngineMemory memory, double coldPerSecond,
			Duration coldStart) {
	}

	/**
	 * The memory of an engine, which holds the prompts and outputs of running requests
	 * and what is kept of earlier ones.
	 *
	 * @param tokens its size in tokens
	 * @param tokenBytes the bytes that it takes for a token, which grow with the size of
	 * the model
	 */
	public record EngineMemory(long tokens, long tokenBytes) {
	}

	/**
	 * A workspace.
	 *
	 * @param name the name of the workspace
	 * @param keys its keys
	 * @param priority the priority of its requests, or {@code null} to use that of the
	 * route
	 * @param limit its rate limit, or {@code null} if it has none
	 */
	public record Workspace(String name, List<String> keys, Integer priority, RateLimit limit) {
	}

	/**
	 * Limits on requests from callers.
	 *
	 * @param maxHeadBytes the maximum size of a request head, in bytes
	 * @param maxBodyBytes the maximum size of a request body, in bytes
	 * @param headTimeout the maximum time from the first byte to the end of a request
	 * head
	 * @param idleTimeout the maximum time without received data
	 */
	public record CallerLimits(int maxHeadBytes, int maxBodyBytes, Duration headTimeout, Duration idleTimeout) {

		/**
		 * The limits that apply before a configuration is known.
		 */
		public static final CallerLimits DEFAULT = new CallerLimits(RequestRules.DEFAULT_MAX_HEAD_BYTES,
				4 * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

	}

}
