package org.mangorack.call;

import java.time.Duration;

/**
 * The error that ends a call instead of the requested response.
 *
 * @param status the HTTP status code
 * @param code a short stable identifier, such as {@code unknown_model}
 * @param detail a sentence that names the refused value
 * @param verdict whether the request may have run
 * @param retryAfter the delay after which to retry, or {@code null} if retrying does not
 * help
 */
public record Refusal(int status, String code, String detail, Verdict verdict, Duration retryAfter) {

	/**
	 * Creates a refusal for a request that did not run and will not be accepted on a
	 * retry.
	 * @param status the HTTP status code
	 * @param code the stable identifier
	 * @param detail a sentence that names the refused value
	 * @return the refusal
	 */
	public static Refusal notRun(int status, String code, String detail) {
		return new Refusal(status, code, detail, Verdict.NOT_RUN, null);
	}

	/**
	 * Creates a refusal with status 503 for a request that did not run.
	 * @param code the stable identifier
	 * @param detail a sentence that names the cause
	 * @param retryAfter the delay after which to retry
	 * @return the refusal
	 */
	public static Refusal unavailable(String code, String detail, Duration retryAfter) {
		return new Refusal(503, code, detail, Verdict.NOT_RUN, retryAfter);
	}

	/**
	 * Creates a refusal for a request that may have run.
	 * @param status the HTTP status code
	 * @param code the stable identifier
	 * @param detail a sentence that names the cause
	 * @return the refusal
	 */
	public static Refusal mayHaveRun(int status, String code, String detail) {
		return new Refusal(status, code, detail, Verdict.MAY_HAVE_RUN, null);
	}

	/**
	 * Returns a copy with another retry delay.
	 * @param time the delay after which to retry
	 * @return the copy
	 */
	public Refusal withRetryAfter(Duration time) {
		return new Refusal(this.status, this.code, this.detail, this.verdict, time);
	}

	/**
	 * Returns a copy with another verdict.
	 * @param other the verdict of the copy
	 * @return the copy
	 */
	public Refusal withVerdict(Verdict other) {
		return new Refusal(this.status, this.code, this.detail, other, this.retryAfter);
	}

	/**
	 * Creates a copy whose verdict also holds for earlier attempts of the request.
	 * @param earlier the refusal after these attempts, or {@code null} if there were none
	 * @return the refusal
	 */
	public Refusal withEarlierAttempts(Refusal earlier) {
		return (earlier != null) ? withVerdict(this.verdict.combine(earlier.verdict())) : this;
	}

}
