package org.mangorack.http;

import java.io.IOException;
import java.io.InputStream;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;

/**
 * Parses response heads and rejects those that break off.
 */
final class ResponseHeadParser extends DefaultHttpResponseParser {

	/**
	 * Creates a parser.
	 * @param config the limits of a head
	 */
	ResponseHeadParser(Http1Config config) {
		super(config);
	}

	/**
	 * Parses the next response head.
	 * @param buffer the session buffer
	 * @param in the stream that refills the buffer
	 * @return the response head, or {@code null} if the connection was closed before it
	 * @throws HttpException if the head cannot be parsed
	 * @throws IOException if the connection fails or is closed within the head
	 */
	@Override
	public ClassicHttpResponse parse(SessionInputBuffer buffer, InputStream in) throws IOException, HttpException {
		return super.parse(buffer, new HeadInputStream(in, buffer.length() > 0));
	}

}
