package org.mangorack.http;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;

/**
 * Answers the requests of a server.
 */
@FunctionalInterface
public interface HttpService {

	/**
	 * Answers a request. Refusals are answers as well; an exception is answered by status
	 * 500.
	 * @param request the request
	 * @return the answer
	 */
	CallAnswer answer(CallRequest request);

}
