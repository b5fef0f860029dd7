package org.mangorack.config;

import java.time.Duration;
import java.util.Set;

/**
 * A route for calls to a plain service.
 *
 * @param name the name of the route
 * @param pool the pool of the service
 * @param path the path prefix of the calls
 * @param methods the HTTP methods; empty means all
 * @param idempotent whether executing a call twice has the same effect as executing it
 * once
 * @param open whether callers may omit the key
 * @param deadline the maximum duration of a call
 */
public record Route(String name, String pool, String path, Set<String> methods, boolean idempotent, boolean open,
		Duration deadline) {

	static Route read(String name, ObjectReader reader) {
		Route route = new Route(name, reader.string("pool"), reader.string("path"),
				Set.copyOf(reader.strings("methods")), reader.bool("idempotent", false), reader.bool("open", false),
				Duration.ofMillis(reader.integer("deadlineMillis", 10, 600_000, 10_000)));
		if (!route.path().isEmpty() && !route.path().startsWith("/")) {
			reader.reject("path", "does not start with \"/\"");
		}
		if (route.open() && !route.idempotent()) {
			reader.reject("open", "is only allowed on idempotent routes");
		}
		return route;
	}

	/**
	 * Returns whether the route matches a call.
	 * @param method the HTTP method
	 * @param requestPath the path within the service
	 * @return {@code true} if the call takes this route
	 */
	public boolean matches(String method, String requestPath) {
		boolean methodMatches = this.methods.isEmpty() || this.methods.contains(method);
		boolean pathMatches = requestPath.equals(this.path) || requestPath.startsWith(pathPrefix());
		return methodMatches && pathMatches;
	}

	private String pathPrefix() {
		return this.path.endsWith("/") ? this.path : this.path + "/";
	}

}
