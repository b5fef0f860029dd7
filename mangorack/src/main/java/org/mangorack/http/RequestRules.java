package org.mangorack.http;

import java.util.Map;
import java.util.Optional;

import org.mangorack.call.Refusal;

/**
 * Validation rules for HTTP requests. All interfaces apply the same rules, independently
 * of the HTTP library that parses the request.
 */
public final class RequestRules {

	/**
	 * Default maximum size of a request head, in bytes. It applies to the request line,
	 * and separately to the total of the header lines.
	 */
	public static final int DEFAULT_MAX_HEAD_BYTES = 16 * 1024;

	private static final String PROTOCOL = "HTTP/1.1";

	// Numbers with more digits may overflow a long.
	private static final int MAX_LENGTH_DIGITS = 18;

	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	private RequestRules() {
	}

	// ---- Public API

	/**
	 * Validates a request head.
	 * @param protocol the protocol and version
	 * @param method the HTTP method
	 * @param target the request target, as received
	 * @param headers all headers, in the order received
	 * @param maxBodyBytes the maximum size of the body, in bytes
	 * @return a refusal with status 400 or 413, or empty if the head is valid
	 */
	public static Optional<Refusal> check(String protocol, String method, String target,
			Iterable<Map.Entry<String, String>> headers, int maxBodyBytes) {
		if (!protocol.equals(PROTOCOL)) {
			return Optional.of(malformed("the protocol is " + protocol + " instead of " + PROTOCOL));
		}
		if (!isToken(method)) {
			return Optional.of(malformed("the method \"" + method + "\" is no token"));
		}
		if (!target.startsWith("/") || !hasNoControlCharacters(target)) {
			return Optional.of(malformed("the target \"" + target + "\" is not a path"));
		}
		return checkHeaders(headers, maxBodyBytes);
	}

	/**
	 * Creates the refusal of a malformed request.
	 * @param problem a description of the problem
	 * @return a refusal with status 400
	 */
	public static Refusal malformed(String problem) {
		return Refusal.notRun(400, "malformed_request", problem);
	}

	/**
	 * Creates the refusal of a request whose head is too large.
	 * @param maxHeadBytes the maximum size of a request head, in bytes
	 * @return a refusal with status 431
	 */
	public static Refusal headTooLarge(int maxHeadBytes) {
		return Refusal.notRun(431, "head_too_large", "the head is longer than " + maxHeadBytes + " bytes");
	}

	/**
	 * Creates the refusal of a request whose body is too large.
	 * @param maxBodyBytes the maximum size of the body, in bytes
	 * @return a refusal with status 413
	 */
	public static Refusal bodyTooLarge(int maxBodyBytes) {
		return Refusal.notRun(413, "body_too_large", "the body is longer than " + maxBodyBytes + " bytes");
	}

	// ---- Helpers

	private static Optional<Refusal> checkHeaders(Iterable<Map.Entry<String, String>> headers, int maxBodyBytes) {
		int hostCount = 0;
		int lengthCount = 0;
		int encodingCount = 0;
		long length = 0;
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey();
			String value = header.getValue();
			if (!isToken(name)) {
				return Optional.of(malformed("the name of the header \"" + name + "\" is no token"));
			}
			if (!hasNoControlCharacters(value)) {
				return Optional.of(malformed("the header " + name + " holds control characters"));
			}
			hostCount += name.equalsIgnoreCase("Host") ? 1 : 0;
			if (name.equalsIgnoreCase("Content-Length")) {
				lengthCount++;
				if (!isNumber(value.strip())) {
					return Optional.of(malformed(
							"the length \"" + value + "\" is no number of up to " + MAX_LENGTH_DIGITS + " digits"));
				}
				length = Long.parseLong(value.strip());
			}
			if (name.equalsIgnoreCase("Transfer-Encoding")) {
				encodingCount++;
				if (!value.strip().equalsIgnoreCase("chunked")) {
					return Optional.of(malformed("the transfer encoding \"" + value + "\" is not chunked"));
				}
			}
		}
		if (hostCount != 1) {
			return Optional.of(malformed("the header Host occurs " + hostCount + " times"));
		}
		if (lengthCount + encodingCount > 1) {
			return Optional.of(malformed("the length is stated " + lengthCount + " times by Content-Length and "
					+ encodingCount + " times by Transfer-Encoding"));
		}
		return (length > maxBodyBytes) ? Optional.of(bodyTooLarge(maxBodyBytes)) : Optional.empty();
	}

	private static boolean isToken(String text) {
		return !text.isEmpty() && text.chars().allMatch((c) -> isLetterOrDigit(c) || (TOKEN_SYMBOLS.indexOf(c) >= 0));
	}

	private static boolean isLetterOrDigit(int c) {
		return ((c >= 'a') && (c <= 'z')) || ((c >= 'A') && (c <= 'Z')) || isDigit(c);
	}

	private static boolean isNumber(String text) {
		return !text.isEmpty() && (text.length() <= MAX_LENGTH_DIGITS) && text.chars().allMatch(RequestRules::isDigit);
	}

	private static boolean isDigit(int c) {
		return (c >= '0') && (c <= '9');
	}

	private static boolean hasNoControlCharacters(String text) {
		return text.chars().noneMatch((c) -> ((c < ' ') && (c != '\t')) || (c == 0x7f));
	}

}
