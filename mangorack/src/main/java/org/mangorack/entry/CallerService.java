package org.mangorack.entry;

import java.io.IOException;
import java.io.OutputStream;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;
import org.mangorack.call.Refusal;
import org.mangorack.config.Route;
import org.mangorack.http.HttpService;
import org.mangorack.limit.RateLimiter;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.observe.Metrics;
import org.mangorack.observe.MonotonicClock;

/**
 * Handles the calls of callers: selects the endpoint, verifies the key, applies the rate
 * limit of the workspace and records metrics.
 */
final class CallerService implements HttpService {

	private static final String CHAT = "/v1/chat/completions";

	private static final String PROGRAMS = "/v1/programs/";

	private static final String SERVICES = "/v1/services/";

	private static final String INSTANCES = "/v1/instances";

	private final CacheFreshness freshness;

	private final KeyVerifier keys;

	private final ServingGuard serving;

	private final RateLimiter limiter;

	private final ChatEndpoint chat;

	private final ProgramEndpoint programs;

	private final ServiceEndpoint services;

	private final InstancesEndpoint instances;

	private final Metrics metrics;

	private final MonotonicClock clock;

	CallerService(CacheFreshness freshness, KeyVerifier keys, ServingGuard serving, RateLimiter limiter,
			ChatEndpoint chat, ProgramEndpoint programs, ServiceEndpoint services, InstancesEndpoint instances,
			Metrics metrics, MonotonicClock clock) {
		this.freshness = freshness;
		this.keys = keys;
		this.serving = serving;
		this.limiter = limiter;
		this.chat = chat;
		this.programs = programs;
		this.services = services;
		this.instances = instances;
		this.metrics = metrics;
		this.clock = clock;
	}

	@Override
	public CallAnswer answer(CallRequest call) {
		long arrivedAt = this.clock.nanoTime();
		if (call.path().equals(CHAT)) {
			return authenticated(call, "chat", arrivedAt, UnaryOperator.identity(), this.chat::answer);
		}
		if (call.path().startsWith(PROGRAMS)) {
			return authenticated(call, "programs", arrivedAt, UnaryOperator.identity(), this.programs::answer);
		}
		if (call.path().startsWith(SERVICES)) {
			return service(call, arrivedAt);
		}
		if (call.path().equals(INSTANCES)) {
			return this.instances.answer(call, Optional.ofNullable(this.keys.verify(call).getOrNull()));
		}
		return CallAnswer.refusal(Refusal.notRun(404, "unknown_path", "path " + call.path() + " does not exist"),
				call.requestId());
	}

	// ---- Helpers

	private CallAnswer service(CallRequest call, long arrivedAt) {
		CacheFreshness.Age age = this.freshness.age();
		Either<Refusal, Route> route = this.services.route(call, age);
		if (route.isRight() && route.get().open()) {
			Either<Refusal, CallAnswer> answer = this.services.answerOpen(KeyVerifier.withoutKey(call), route.get());
			return finish(call, "none", "service", arrivedAt, answer);
		}
		// A newer configuration may have opened the route to calls without a key, so a
		// missing key is only reported as an error if the caches are fresh.
		return authenticated(call, "service", arrivedAt, age::unavailableIfStale,
				(caller) -> route.flatMap((found) -> this.services.answer(caller, found)));
	}

	private CallAnswer authenticated(CallRequest call, String type, long arrivedAt, UnaryOperator<Refusal> onMissingKey,
			Function<Caller, Either<Refusal, CallAnswer>> endpoint) {
		Either<Refusal, Caller> caller = admit(call, onMissingKey);
		String workspace = caller.map((c) -> c.workspace().id().value()).getOrElse("none");
		return finish(call, workspace, type, arrivedAt, caller.flatMap(endpoint));
	}

	private Either<Refusal, Caller> admit(CallRequest call, UnaryOperator<Refusal> onMissingKey) {
		Optional<Refusal> suspended = this.serving.check();
		if (suspended.isPresent()) {
			return Either.left(suspended.get());
		}
		return this.keys.verify(call, onMissingKey)
			.flatMap((caller) -> this.limiter.acquire(caller.workspace()).map((granted) -> caller));
	}

	private CallAnswer finish(CallRequest call, String workspace, String type, long arrivedAt,
			Either<Refusal, CallAnswer> result) {
		if (result.isLeft()) {
			Refusal refusal = result.getLeft();
			EventLog.log(Event.REQUEST_REFUSED, "request", call.requestId(), "code", refusal.code(), "verdict",
					refusal.verdict().wireName(), "detail", refusal.detail());
			this.metrics.recordCall(workspace, type, refusal.code(), this.clock.elapsed(arrivedAt));
			return CallAnswer.refusal(refusal, call.requestId());
		}
		CallAnswer answer = result.get();
		String outcome = (answer.status() < 400) ? "ok" : "status_" + answer.status();
		return new CallAnswer(answer.status(), answer.headers(), answer.length(), (out) -> {
			this.metrics.recordFirstByte(workspace, type, this.clock.elapsed(arrivedAt));
			writeBody(answer, out, call.requestId());
			this.metrics.recordCall(workspace, type, outcome, this.clock.elapsed(arrivedAt));
		});
	}

	private static void writeBody(CallAnswer answer, OutputStream out, String requestId) throws IOException {
		try {
			answer.body().writeTo(out);
		}
		catch (IOException ex) {
			EventLog.log(Event.CALLER_GONE, "request", requestId, "cause", ex.getMessage());
			throw ex;
		}
	}

}
