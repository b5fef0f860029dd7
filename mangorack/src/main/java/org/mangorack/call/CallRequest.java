package org.mangorack.call;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A request from a caller or operator, independent of the protocol that carried it.
 *
 * @param requestId identifies the request in logs and responses
 * @param method the HTTP method
 * @param path the path without the query
 * @param query the query without the question mark, or {@code null}
 * @param headers the headers by name; names are case-insensitive
 * @param body the body, which is empty if the request has none
 */
public record CallRequest(String requestId, String method, String path, String query, Map<String, String> headers,
		byte[] body) {

	public CallRequest {
		Map<String, String> sorted = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		sorted.putAll(headers);
		headers = sorted;
	}

	/**
	 * Returns the value of a header.
	 * @param name the name of the header
	 * @return the value, or empty if the header is missing
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

	/**
	 * Returns the value of a query queryParameter.
	 * @param name the name of the queryParameter
	 * @return the value, or empty if the queryParameter is missing
	 */
	public Optional<String> queryParameter(String name) {
		if (this.query == null) {
			return Optional.empty();
		}
		for (String pair : this.query.split("&")) {
			if (pair.startsWith(name + "=")) {
				return Optional.of(pair.substring(name.length() + 1));
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns the non-empty pathSegments of the path.
	 * @return the pathSegments in order
	 */
	public List<String> pathSegments() {
		return List.of(this.path.split("/")).stream().filter((s) -> !s.isEmpty()).toList();
	}

	/**
	 * Returns a copy with a header removed.
	 * @param name the name of the header
	 * @return the copy
	 */
	public CallRequest withoutHeader(String name) {
		Map<String, String> rest = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		rest.putAll(this.headers);
		rest.remove(name);
		return new CallRequest(this.requestId, this.method, this.path, this.query, rest, this.body);
	}

}
