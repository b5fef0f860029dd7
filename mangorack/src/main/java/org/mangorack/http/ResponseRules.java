package org.mangorack.http;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Validation rules for HTTP responses. All interfaces apply the same rules, independently
 * of the HTTP library that parses the response.
 */
public final class ResponseRules {

	/**
	 * For how long the connections to a server carry one request each after stray bytes.
	 */
	public static final Duration SINGLE_USE_PERIOD = Duration.ofSeconds(5);

	private static final List<String> PROTOCOLS = List.of("HTTP/1.1", "HTTP/1.0");

	private static final String PROTOCOL_PREFIX = "HTTP/1.";

	// An invalid status line may be torn too.
	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d");

	private static final Pattern STATUS_CODE = Pattern.compile("[1-5]\\d\\d");

	private ResponseRules() {
	}

	/**
	 * Validates a response head. A server may break off within the head of a response and
	 * send the next response on the same connection. A parser then takes both for one
	 * head, with the status of the first one and the remaining headers of the second one.
	 * Such a head contains a second status line.
	 * @param protocol the protocol and version
	 * @param reason the reason phrase, or {@code null}
	 * @param headers all headers, in the order received
	 * @return a description of the problem, or empty if the head is valid
	 */
	public static Optional<String> check(String protocol, String reason, Iterable<Map.Entry<String, String>> headers) {
		if (!PROTOCOLS.contains(protocol)) {
			return Optional.of("the protocol is \"" + protocol + "\" instead of one of " + PROTOCOLS);
		}
		if (containsStatusLine(reason)) {
			return Optional.of("the reason phrase contains a status line: \"" + reason + "\"");
		}
		for (Map.Entry<String, String> header : headers) {
			if (containsStatusLine(header.getKey()) || containsStatusLine(header.getValue())) {
				return Optional
					.of("a header contains a status line: \"" + header.getKey() + ": " + header.getValue() + "\"");
			}
		}
		return Optional.empty();
	}

	/**
	 * Returns whether a text is a status code: three digits, from 100 to 599. Parsers of
	 * numbers accept other texts too, of which callers would take some for a success, for
	 * an interim response or for a status that their HTTP library rejects.
	 * @param text the text between the protocol and the reason phrase
	 * @return {@code true} if it is a status code
	 */
	public static boolean isStatusCode(String text) {
		return STATUS_CODE.matcher(text).matches();
	}

	private static boolean containsStatusLine(String text) {
		return (text != null) && text.contains(PROTOCOL_PREFIX) && STATUS_LINE.matcher(text).find();
	}

}
