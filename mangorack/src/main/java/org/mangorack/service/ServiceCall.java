package org.mangorack.service;

import java.util.Map;

import org.mangorack.config.Route;

/**
 * A call to a plain service.
 *
 * @param route the route that matches the call
 * @param method the HTTP method
 * @param path the path within the service, with the query
 * @param headers the headers that are forwarded to the upstream
 * @param body the request body
 */
public record ServiceCall(Route route, String method, String path, Map<String, String> headers, byte[] body) {
}
