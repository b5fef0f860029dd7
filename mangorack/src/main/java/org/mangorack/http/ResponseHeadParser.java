package org.mangorack.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses response heads and rejects those that break off or violate the
 * {@link ResponseRules}.
 */
final class ResponseHeadParser extends DefaultHttpResponseParser {

	private final int maxHeadBytes;

	private SessionInputBuffer buffer;

	// Kept from an interim response to the final one, so that the limit applies to both.
	private HeadBuffer head;

	/**
	 * Creates a parser.
	 * @param config the limit of each line
	 * @param maxHeadBytes the maximum total size of the header lines, in bytes
	 */
	ResponseHeadParser(Http1Config config, int maxHeadBytes) {
		super(config);
		this.maxHeadBytes = maxHeadBytes;
	}

	/**
	 * Returns the number of bytes in the session buffer.
	 * @return the bytes that were read from the connection and not yet parsed
	 */
	int bufferedBytes() {
		return (this.buffer != null) ? this.buffer.length() : 0;
	}

	/**
	 * Parses the next response head.
	 * @param buffer the session buffer
	 * @param in the stream that refills the buffer
	 * @return the response head, or {@code null} if the connection was closed before it
	 * @throws HttpException if the head cannot be parsed or violates a rule
	 * @throws IOException if the connection fails or is closed within the head
	 */
	@Override
	public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream in) throws IOException, HttpException {
		this.buffer = buffer;
		if (this.head == null) {
			this.head = new HeadBuffer(buffer, this.maxHeadBytes);
		}
		ClassicHttpResponse response;
		try {
			response = super.parse(this.head, new HeadInputStream(in, buffer.length() > 0));
		}
		catch (IllegalArgumentException ex) {
			throw new ProtocolException("invalid status line: " + ex.getMessage(), ex);
		}
		if (response != null) {
			check(response);
			this.head = (response.getCode() < HttpStatus.SC_SUCCESS) ? this.head : null;
		}
		return response;
	}

	@Override
	protected ClassicHttpResponse createMessage(CharArrayBuffer statusLine) throws IOException, HttpException {
		String[] parts = statusLine.toString().split(" ", 3);
		if ((parts.length < 2) || !ResponseRules.isStatusCode(parts[1])) {
			throw new ProtocolException("the status code is not a number from 100 to 599");
		}
		return super.createMessage(statusLine);
	}

	private static void check(ClassicHttpResponse head) throws ProtocolException {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		for (Header header : head.getHeaders()) {
			headers.add(Map.entry(header.getName(), (header.getValue() != null) ? header.getValue() : ""));
		}
		Optional<String> problem = ResponseRules.check(head.getVersion().format(), head.getReasonPhrase(), headers);
		if (problem.isPresent()) {
			throw new ProtocolException(problem.get());
		}
	}

}
