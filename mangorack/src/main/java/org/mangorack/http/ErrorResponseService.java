package org.mangorack.http;

import java.util.UUID;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;

/**
 * Responds to requests that cannot be parsed with a problem document, after which the
 * connection is closed.
 */
final class ErrorResponseService extends HttpService {

	private final int maxHeadBytes;

	/**
	 * Creates a service.
	 * @param maxHeadBytes the maximum size of a request head, in bytes
	 * @param handler handles well-formed requests
	 */
	ErrorResponseService(int maxHeadBytes, HttpServerRequestHandler handler) {
		super(HttpProcessors.server(), handler);
		this.maxHeadBytes = maxHeadBytes;
	}

	@Override
	protected void handleException(HttpException ex, ClassicHttpResponse response) {
		Refusal refusal = refusal(ex);
		EventLog.log(Event.CALLER_MALFORMED, "status", refusal.status(), "cause", refusal.detail());
		String id = UUID.randomUUID().toString();
		response.setCode(refusal.status());
		response.setHeader(HttpFrontEnd.REQUEST_ID, id);
		byte[] problem = Jsons.bytes(CallAnswer.problem(refusal).put("request", id));
		response.setEntity(new ByteArrayEntity(problem, ContentType.parse(CallAnswer.PROBLEM_TYPE)));
	}

	private Refusal refusal(HttpException ex) {
		if (ex instanceof RefusedRequestException refused) {
			return refused.refusal();
		}
		if (ex instanceof RequestHeaderFieldsTooLargeException) {
			return RequestRules.headTooLarge(this.maxHeadBytes);
		}
		return RequestRules.malformed(String.valueOf(ex.getMessage()));
	}

}
