package org.mangorack.config;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.mangorack.call.UpstreamId;
import org.mangorack.call.WorkspaceId;

/**
 * The configuration shared by all instances. Immutable.
 */
public final class Configuration {

	/**
	 * The configuration that is active before the first one is applied.
	 */
	public static final Configuration EMPTY = new Configuration(0, Map.of(), Map.of(), List.of(),
			DispatchSettings.DEFAULT);

	private final long revision;

	private final Map<WorkspaceId, Workspace> workspaces;

	private final Map<UpstreamId, Upstream> upstreams;

	private final List<Route> routes;

	private final DispatchSettings dispatch;

	private Configuration(long revision, Map<WorkspaceId, Workspace> workspaces, Map<UpstreamId, Upstream> upstreams,
			List<Route> routes, DispatchSettings dispatch) {
		this.revision = revision;
		this.workspaces = workspaces;
		this.upstreams = upstreams;
		this.routes = routes;
		this.dispatch = dispatch;
	}

	// ---- Construction

	/**
	 * Parses and validates a configuration.
	 * @param revision the revision of the configuration
	 * @param json the merged configuration
	 * @param origins the file that defines each JSON path, for error messages
	 * @return the configuration, or all problems
	 */
	public static Either<List<Problem>, Configuration> read(long revision, JsonNode json, Map<String, String> origins) {
		Problems problems = new Problems("configuration", origins);
		ObjectReader reader = new ObjectReader(problems, "$", json);
		Map<WorkspaceId, Workspace> workspaces = new LinkedHashMap<>();
		reader.objects("workspaces", Workspace::read).values().forEach((w) -> workspaces.put(w.id(), w));
		Map<UpstreamId, Upstream> upstreams = new LinkedHashMap<>();
		reader.objects("upstreams", Upstream::read).values().forEach((u) -> upstreams.put(u.id(), u));
		Map<String, Route> routes = reader.objects("routes", Route::read);
		DispatchSettings dispatch = DispatchSettings.read(reader.object("dispatch"));
		reader.reportUnknownFields();
		checkReferences(problems, workspaces.values(), upstreams.values(), routes.values());
		if (!problems.isEmpty()) {
			return Either.left(problems.sorted());
		}
		List<Route> routesByPathLength = routes.values()
			.stream()
			.sorted(Comparator.comparingInt((Route r) -> -r.path().length()).thenComparing(Route::name))
			.toList();
		return Either.right(new Configuration(revision, workspaces, upstreams, routesByPathLength, dispatch));
	}

	// ---- Accessors

	/**
	 * Returns the revision.
	 * @return a number that is incremented with each accepted configuration
	 */
	public long revision() {
		return this.revision;
	}

	/**
	 * Returns all workspaces.
	 * @return the workspaces
	 */
	public Collection<Workspace> workspaces() {
		return this.workspaces.values();
	}

	/**
	 * Returns all upstreams.
	 * @return the upstreams
	 */
	public Collection<Upstream> upstreams() {
		return this.upstreams.values();
	}

	/**
	 * Returns the settings for ordering and placing model calls.
	 * @return the settings
	 */
	public DispatchSettings dispatch() {
		return this.dispatch;
	}

	// ---- Public API

	/**
	 * Finds a workspace.
	 * @param id the workspace
	 * @return the workspace, or empty if it is not configured
	 */
	public Optional<Workspace> workspace(WorkspaceId id) {
		return Optional.ofNullable(this.workspaces.get(id));
	}

	/**
	 * Finds an upstream.
	 * @param id the upstream
	 * @return the upstream, or empty if it is not configured
	 */
	public Optional<Upstream> upstream(UpstreamId id) {
		return Optional.ofNullable(this.upstreams.get(id));
	}

	/**
	 * Finds the upstreams that serve a pool or model.
	 * @param kind the kind of the upstreams
	 * @param pool the name of the pool or model
	 * @return the upstreams, including those that are leaving
	 */
	public List<Upstream> pool(UpstreamKind kind, String pool) {
		return this.upstreams.values().stream().filter((u) -> (u.kind() == kind) && u.pools().contains(pool)).toList();
	}

	/**
	 * Finds the route of a call.
	 * @param pool the pool of the service
	 * @param method the HTTP method
	 * @param path the path within the service
	 * @return the matching route with the longest path, or empty if none matches
	 */
	public Optional<Route> route(String pool, String method, String path) {
		return this.routes.stream().filter((r) -> r.pool().equals(pool) && r.matches(method, path)).findFirst();
	}

	// ---- Helpers

	private static void checkReferences(Problems problems, Collection<Workspace> workspaces,
			Collection<Upstream> upstreams, Collection<Route> routes) {
		for (Workspace w : workspaces) {
			for (String pool : w.pools()) {
				if (upstreams.stream().noneMatch((u) -> u.pools().contains(pool))) {
					problems.add("$.workspaces." + w.id() + ".pools", null,
							"names \"" + pool + "\", which no upstream serves");
				}
			}
		}
		for (Route r : routes) {
			boolean served = upstreams.stream()
				.anyMatch((u) -> (u.kind() == UpstreamKind.SERVICE) && u.pools().contains(r.pool()));
			if (!served && !r.pool().isEmpty()) {
				problems.add("$.routes." + r.name() + ".pool", null,
						"names \"" + r.pool() + "\", which no service upstream serves");
			}
		}
	}

}
