package org.mangorack.entry;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.google.protobuf.ByteString;

import org.mangorack.call.CallRequest;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.member.proto.Header;

/**
 * Converts calls to messages between instances and back, and selects the headers that are
 * forwarded to an upstream.
 */
final class Forwarding {

	private static final Set<String> NOT_FORWARDED = Set.of("authorization", "connection", "content-length", "cookie",
			"expect", "host", "keep-alive", "proxy-authorization", "proxy-connection", "te", "trailer",
			"transfer-encoding", "upgrade", "x-request-id");

	private static final String INTERNAL_PREFIX = "mangorack-";

	private Forwarding() {
	}

	static CallOpen.Builder toCallOpen(Caller caller) {
		CallRequest call = caller.call();
		CallOpen.Builder open = CallOpen.newBuilder()
			.setRequestId(call.requestId())
			.setMethod(call.method())
			.setPath(call.path())
			.setQuery((call.query() != null) ? call.query() : "")
			.setWorkspace(caller.workspace().id().value())
			.setKeyId(caller.key().id())
			.setBody(ByteString.copyFrom(call.body()));
		call.headers().forEach((name, value) -> open.addHeaders(Header.newBuilder().setName(name).setValue(value)));
		return open;
	}

	static CallRequest toCallRequest(CallOpen open) {
		Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		open.getHeadersList().forEach((h) -> headers.put(h.getName(), h.getValue()));
		String query = open.getQuery().isEmpty() ? null : open.getQuery();
		return new CallRequest(open.getRequestId(), open.getMethod(), open.getPath(), query, headers,
				open.getBody().toByteArray());
	}

	static Map<String, String> upstreamHeaders(CallRequest call) {
		Map<String, String> headers = new LinkedHashMap<>();
		call.headers().forEach((name, value) -> {
			String lower = name.toLowerCase(Locale.ROOT);
			if (!NOT_FORWARDED.contains(lower) && !lower.startsWith(INTERNAL_PREFIX)) {
				headers.put(name, value);
			}
		});
		return headers;
	}

}
