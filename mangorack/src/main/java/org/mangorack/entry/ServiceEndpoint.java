package org.mangorack.entry;

import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.CallRequest;
import org.mangorack.call.Refusal;
import org.mangorack.call.SendGuard;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.ConfigurationStore;
import org.mangorack.config.Route;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.ownership.OwnedShard;
import org.mangorack.ownership.ShardId;
import org.mangorack.service.CallKey;
import org.mangorack.service.ServiceCall;
import org.mangorack.service.ServiceCaller;

/**
 * Handles calls to plain services. Calls that must run at most once are routed to the
 * owner of their idempotency key.
 */
final class ServiceEndpoint {

	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final String PREFIX = "/v1/services/";

	private final ConfigurationStore configuration;

	private final CacheFreshness freshness;

	private final ShardRouter router;

	private final ServiceCaller services;

	private final ServingGuard serving;

	private final OwnerGuard guard;

	ServiceEndpoint(ConfigurationStore configuration, CacheFreshness freshness, ShardRouter router,
			ServiceCaller services, ServingGuard serving, OwnerGuard guard) {
		this.configuration = configuration;
		this.freshness = freshness;
		this.router = router;
		this.services = services;
		this.serving = serving;
		this.guard = guard;
		router.register(CallKind.SERVICE, this::answerAtOwner);
	}

	// ---- On the instance that received the call

	// Finds the route of a call. The age of the caches must be taken before this call.
	Either<Refusal, Route> route(CallRequest call, CacheFreshness.Age age) {
		String rest = call.path().substring(PREFIX.length());
		int slash = rest.indexOf('/');
		String pool = (slash < 0) ? rest : rest.substring(0, slash);
		String path = (slash < 0) ? "/" : rest.substring(slash);
		Optional<Route> route = this.configuration.current().route(pool, call.method(), path);
		return route.<Either<Refusal, Route>>map(Either::right)
			.orElseGet(() -> Either.left(age.unavailableIfStale(Refusal.notRun(404, "unknown_route",
					"no route covers " + call.method() + " " + path + " of \"" + pool + "\""))));
	}

	// Handles a call on a route that requires no key.
	Either<Refusal, CallAnswer> answerOpen(CallRequest call, Route route) {
		return this.services.call(serviceCall(call, route), Optional::empty);
	}

	// Handles a call whose key has been verified.
	Either<Refusal, CallAnswer> answer(Caller caller, Route route) {
		if (!caller.workspace().mayUse(route.pool())) {
			return Either.left(caller.age()
				.unavailableIfStale(Refusal.notRun(403, "pool_not_allowed",
						"workspace \"" + caller.workspace().id() + "\" may not use \"" + route.pool() + "\"")));
		}
		Optional<String> key = caller.call().header(IDEMPOTENCY_KEY);
		if (route.idempotent() || key.isEmpty()) {
			return this.services.call(serviceCall(caller.call(), route), this.serving.forKey(caller.key().id()));
		}
		if (key.get().isBlank() || (key.get().length() > CallKey.MAX_LENGTH)) {
			return Either.left(Refusal.notRun(400, "bad_header",
					"header " + IDEMPOTENCY_KEY + " is empty or longer than " + CallKey.MAX_LENGTH + " characters"));
		}
		ShardId shard = ShardId.of("call|" + new CallKey(caller.workspace().id(), key.get()));
		return Either.right(this.router.route(CallKind.SERVICE, shard, Forwarding.toCallOpen(caller)));
	}

	// ---- On the owner of the shard

	CallAnswer answerAtOwner(OwnedShard<ShardContents> shard, CallOpen open, Runnable release) {
		try {
			CallRequest call = Forwarding.toCallRequest(open);
			CallKey key = new CallKey(new WorkspaceId(open.getWorkspace()), call.header(IDEMPOTENCY_KEY).orElse(""));
			SendGuard sendGuard = this.guard.forCall(open);
			return route(call, this.freshness.age())
				.flatMap((route) -> this.services.callAtMostOnce(shard.replica().calls(), key, serviceCall(call, route),
						sendGuard))
				.fold((refusal) -> CallAnswer.refusal(refusal, open.getRequestId()), (answer) -> answer);
		}
		finally {
			release.run();
		}
	}

	private static ServiceCall serviceCall(CallRequest call, Route route) {
		String rest = call.path().substring(PREFIX.length() + route.pool().length());
		String path = rest.isEmpty() ? "/" : rest;
		String target = (call.query() != null) ? path + "?" + call.query() : path;
		Map<String, String> headers = Forwarding.upstreamHeaders(call);
		return new ServiceCall(route, call.method(), target, headers, call.body());
	}

}
