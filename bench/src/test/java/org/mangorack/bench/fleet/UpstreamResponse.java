package org.mangorack.bench.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The response of an upstream to one request.
 *
 * @param id the id of the request
 * @param status the status
 * @param signature the signature, which no other response has
 * @param framing how the end of the body is told
 * @param parts the body, in the parts that are written one by one
 */
record UpstreamResponse(String id, int status, String signature, Framing framing, List<String> parts) {

	/** The status of a response to a request that was not run. */
	static final int NOT_RUN = 503;

	/**
	 * Returns a response with a length that reports a failure.
	 * @param failure the status
	 * @return the response
	 */
	UpstreamResponse failed(int failure) {
		return new UpstreamResponse(this.id, failure, this.signature, Framing.LENGTH,
				List.of("failed " + this.id + " with " + failure));
	}

	/**
	 * Returns this response without a length, so that it ends with its connection.
	 * @return the response
	 */
	UpstreamResponse withoutLength() {
		return new UpstreamResponse(this.id, this.status, this.signature, Framing.CLOSE, this.parts);
	}

	String body() {
		return String.join("", this.parts);
	}

	/**
	 * Returns what is written.
	 * @return the head, the parts of the body and what ends it
	 */
	List<String> pieces() {
		List<String> pieces = new ArrayList<>();
		pieces.add(head());
		this.parts
			.forEach((part) -> pieces.add((this.framing == Framing.CHUNKED) ? ScriptedUpstream.chunk(part) : part));
		if (this.framing == Framing.CHUNKED) {
			pieces.add("0\r\n\r\n");
		}
		return pieces;
	}

	String text() {
		return String.join("", pieces());
	}

	private String head() {
		return "HTTP/1.1 " + this.status + " Reason\r\n" + idHeader() + "Response-Signature: " + this.signature + "\r\n"
				+ ((this.status == NOT_RUN) ? "Not-Executed: 1\r\n" : "") + this.framing.headers(body().length())
				+ (body().startsWith("id:") ? "Content-Type: text/event-stream\r\n" : "") + "\r\n";
	}

	String idHeader() {
		return "Request-Id: " + this.id + "\r\n";
	}

	/**
	 * How the end of a body is told.
	 */
	enum Framing {

		/** By its length. */
		LENGTH {

			@Override
			String headers(int length) {
				return "Keep-Alive: timeout=5\r\nContent-Length: " + length + "\r\n";
			}

		},

		/** By the last chunk. */
		CHUNKED {

			@Override
			String headers(int length) {
				return "Transfer-Encoding: chunked\r\n";
			}

		},

		/** By the end of the connection. */
		CLOSE {

			@Override
			String headers(int length) {
				return "";
			}

		};

		abstract String headers(int length);

	}

}
