package org.mangorack.bench.fleet;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;

import org.mangorack.bench.fleet.CallerConnection.Answer;

/**
 * The answers that upstreams gave, by their signatures, which answers of callers are
 * compared with.
 */
final class GivenAnswers {

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( [^\r\n]*)?");

	private static final int MAX_SHOWN = 200;

	private final Map<String, Given> bySignature = new ConcurrentHashMap<>();

	/**
	 * Records an answer, before its first byte is written.
	 * @param response the answer
	 * @param whole whether all of it is written
	 */
	void add(UpstreamResponse response, boolean whole) {
		this.bySignature.put(response.signature(), new Given(response, whole));
	}

	/**
	 * Compares an answer with those that upstreams gave.
	 * @param id the id of the request
	 * @param answer the answer, whole or not
	 * @return what is wrong with it, or empty if nothing is
	 */
	Optional<Mix> check(String id, Answer answer) {
		if (answer.isMalformed()) {
			return Optional.of(Mix.NO_ANSWER);
		}
		String named = answer.header("Request-Id");
		if ((named != null) && !named.equals(id)) {
			return Optional.of(Mix.OTHER_REQUEST);
		}
		String signature = answer.header("Response-Signature");
		if (signature == null) {
			return (isSuccess(answer.status()) && answer.isWhole()) ? Optional.of(Mix.UNSIGNED) : Optional.empty();
		}
		Given given = this.bySignature.get(signature);
		if (given == null) {
			return Optional.of(Mix.UNKNOWN_SIGNATURE);
		}
		return !given.response.id().equals(id) ? Optional.of(Mix.OTHER_REQUEST) : given.check(answer);
	}

	/**
	 * Judges bytes that came while no request was waiting.
	 * @param bytes the bytes
	 * @return what is wrong with them, or empty if they are a failure of the entry itself
	 */
	static Optional<Mix> checkUnawaited(String bytes) {
		List<String> lines = bytes.lines().toList();
		if (lines.isEmpty() || !isStatusLine(lines.get(0))) {
			return Optional.of(Mix.NO_ANSWER);
		}
		boolean signed = lines.stream().anyMatch((l) -> l.regionMatches(true, 0, "Response-Signature:", 0, 19));
		boolean success = isSuccess(Integer.parseInt(lines.get(0).split(" ")[1]));
		return (signed || success) ? Optional.of(Mix.UNAWAITED) : Optional.empty();
	}

	static boolean isStatusLine(String line) {
		return STATUS_LINE.matcher(line).matches();
	}

	/**
	 * Describes an answer and the one that its signature belongs to.
	 * @param answer the answer
	 * @return the text
	 */
	String describe(Answer answer) {
		String signature = answer.header("Response-Signature");
		Given given = (signature != null) ? this.bySignature.get(signature) : null;
		int common = (given != null) ? commonLength(given.response.body(), answer.body()) : 0;
		return answer.status() + ", signature " + signature + ", body" + shown(answer.body(), common) + ", given "
				+ ((given != null) ? given + shown(given.response.body(), common) : null) + ", " + answer.failure();
	}

	private static int commonLength(String one, String other) {
		int i = 0;
		while ((i < one.length()) && (i < other.length()) && (one.charAt(i) == other.charAt(i))) {
			i++;
		}
		return i;
	}

	private static String shown(String text, int from) {
		return " from byte " + from + " of " + text.length() + " \""
				+ text.substring(from, Math.min(text.length(), from + MAX_SHOWN)).replace("\n", "\\n") + "\"";
	}

	private static boolean isSuccess(int status) {
		return status / 100 == 2;
	}

	/**
	 * How a caller can be deceived.
	 */
	enum Mix {

		/** A success without a signature. */
		UNSIGNED,

		/** A signature that no upstream gave. */
		UNKNOWN_SIGNATURE,

		/** An answer to another request. */
		OTHER_REQUEST,

		/** A success whose upstream failed. */
		SUCCESS_OF_FAILURE,

		/** A whole success whose upstream broke off. */
		NOT_WHOLE,

		/** A success with another body than that of the upstream. */
		OTHER_BODY,

		/** A failure with the signature of an upstream that gave another status. */
		OTHER_STATUS,

		/** An answer while no request was waiting. */
		UNAWAITED,

		/** Bytes that are no answer. */
		NO_ANSWER

	}

	private record Given(UpstreamResponse response, boolean whole) {

		private Optional<Mix> check(Answer answer) {
			if (answer.status() != this.response.status()) {
				return Optional.of(isSuccess(answer.status()) ? Mix.SUCCESS_OF_FAILURE : Mix.OTHER_STATUS);
			}
			if (!isSuccess(answer.status())) {
				return Optional.empty();
			}
			if (!answer.isWhole()) {
				return this.response.body().startsWith(answer.body()) ? Optional.empty() : Optional.of(Mix.OTHER_BODY);
			}
			if (!this.whole) {
				return Optional.of(Mix.NOT_WHOLE);
			}
			return this.response.body().equals(answer.body()) ? Optional.empty() : Optional.of(Mix.OTHER_BODY);
		}

		@Override
		public String toString() {
			return this.response.status() + " to " + this.response.id() + (this.whole ? "" : " (broken off)");
		}

	}

}
