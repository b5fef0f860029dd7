package org.mangorack.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpRequestParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

import org.mangorack.call.Refusal;

/**
 * Parses request heads and rejects those that break off or violate the
 * {@link RequestRules}.
 */
final class RequestHeadParser extends DefaultHttpRequestParser {

	private final int maxHeadBytes;

	private final int maxBodyBytes;

	/**
	 * Creates a parser.
	 * @param config the line length limits
	 * @param maxHeadBytes the maximum total size of the header lines, in bytes
	 * @param maxBodyBytes the maximum value of Content-Length, in bytes
	 */
	RequestHeadParser(Http1Config config, int maxHeadBytes, int maxBodyBytes) {
		super(config);
		this.maxHeadBytes = maxHeadBytes;
		this.maxBodyBytes = maxBodyBytes;
	}

	/**
	 * Parses the next request head.
	 * @param buffer the session buffer
	 * @param in the stream that refills the buffer
	 * @return the request head, or {@code null} if the connection was closed before it
	 * @throws RefusedRequestException if the head violates a rule
	 * @throws HttpException if the head cannot be parsed
	 * @throws IOException if the connection fails or is closed within the head
	 */
	@Override
	public ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream in) throws IOException, HttpException {
		ClassicHttpRequest head = super.parse(new HeadBuffer(buffer, this.maxHeadBytes),
				new HeadInputStream(in, buffer.length() > 0));
		if (head != null) {
			check(head);
		}
		return head;
	}

	private void check(ClassicHttpRequest head) throws RefusedRequestException {
		List<Map.Entry<String, String>> headers = new ArrayList<>();
		for (Header header : head.getHeaders()) {
			headers.add(Map.entry(header.getName(), (header.getValue() != null) ? header.getValue() : ""));
		}
		Optional<Refusal> refusal = RequestRules.check(head.getVersion().format(), head.getMethod(), target(head),
				headers, this.maxBodyBytes);
		if (refusal.isPresent()) {
			throw new RefusedRequestException(refusal.get());
		}
	}

	// HttpCore splits a target in absolute form into its parts. The rules need it as
	// sent.
	private static String target(ClassicHttpRequest head) {
		return (head.getAuthority() != null) ? (head.getScheme() + "://" + head.getAuthority() + head.getPath())
				: String.valueOf(head.getPath());
	}

}
