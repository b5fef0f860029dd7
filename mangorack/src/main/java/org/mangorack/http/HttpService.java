package org.mangorack.http;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;

/**
 * Handles the requests of an HTTP server.
 */
@FunctionalInterface
public interface HttpService {

	/**
	 * Handles a request. A refusal is returned like any other response; if this method
	 * throws, the server responds with status 500.
	 * @param request the request
	 * @return the response
	 */
	CallAnswer answer(CallRequest request);

}
