package org.mangorack.service;

import java.util.Map;

import org.mangorack.config.Route;

/**
 * A call of a plain service.
 *
 * @param route the route that the call takes
 * @param method the HTTP method
 * @param path the path within the service, with the query
 * @param headers the headers that are passed on
 * @param body the body
 */
public record ServiceCall(Route route, String method, String path, Map<String, String> headers, byte[] body) {
}
