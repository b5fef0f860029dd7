package org.mangorack.service;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Futures;
import org.mangorack.call.Refusal;
import org.mangorack.call.SendGuard;
import org.mangorack.call.UpstreamId;
import org.mangorack.call.Verdict;
import org.mangorack.config.Upstream;
import org.mangorack.config.UpstreamKind;
import org.mangorack.dispatch.Dispatcher;
import org.mangorack.dispatch.NotRunStatus;
import org.mangorack.dispatch.RetryBudget;
import org.mangorack.dispatch.Slot;
import org.mangorack.http.HttpCallException;
import org.mangorack.http.HttpReply;
import org.mangorack.journal.proto.CallFinished;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.program.Digests;
import org.mangorack.program.WriteOutcome;
import org.mangorack.upstream.UpstreamClient;

/**
 * Sends calls to plain services. Calls that are not idempotent are retried only if it is
 * certain that they did not run.
 */
public final class ServiceCaller {

	private static final Duration RECORD_TIMEOUT = Duration.ofSeconds(3);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

	private static final int MAX_ATTEMPTS = 3;

	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	private static final int MAX_RECORDED_BYTES = 512 * 1024;

	private final Dispatcher dispatcher;

	private final RetryBudget retries;

	private final UpstreamClient client;

	private final BooleanSupplier platformUnavailable;

	/**
	 * Creates the component.
	 * @param dispatcher selects upstreams
	 * @param retries limits the number of retries
	 * @param client sends requests to upstreams
	 * @param platformUnavailable returns whether journal entries currently cannot be made
	 * durable
	 */
	public ServiceCaller(Dispatcher dispatcher, RetryBudget retries, UpstreamClient client,
			BooleanSupplier platformUnavailable) {
		this.dispatcher = dispatcher;
		this.retries = retries;
		this.client = client;
		this.platformUnavailable = platformUnavailable;
	}

	// ---- Public API

	/**
	 * Sends a call without recording it in the journal. If its route is not idempotent,
	 * it runs at most once.
	 * @param call the call
	 * @param guard checked immediately before each attempt
	 * @return the response, or the refusal
	 */
	public Either<Refusal, CallAnswer> call(ServiceCall call, SendGuard guard) {
		long deadline = System.nanoTime() + call.route().deadline().toNanos();
		Set<UpstreamId> failed = new HashSet<>();
		this.retries.recordFirstAttempt();
		Refusal lastRefusal = null;
		for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
			Duration remaining = Duration.ofNanos(deadline - System.nanoTime());
			if (remaining.isNegative() || ((lastRefusal != null) && !this.retries.tryRetry())) {
				break;
			}
			Either<Refusal, Slot> slot = this.dispatcher.acquire(UpstreamKind.SERVICE, call.route().pool(), "", failed,
					remaining);
			if (slot.isLeft()) {
				return Either.left((lastRefusal != null) ? lastRefusal : slot.getLeft());
			}
			try (Slot acquired = slot.get()) {
				Refusal earlier = lastRefusal;
				Either<Refusal, CallAnswer> answer = attempt(call, acquired, guard, deadline)
					.mapLeft((refusal) -> refusal.withEarlierAttempts(earlier));
				if (answer.isRight() || !mayRetry(answer.getLeft(), call)) {
					return answer;
				}
				lastRefusal = answer.getLeft();
				failed.add(acquired.upstream().id());
				EventLog.log(Event.CALL_RETRIED, "pool", call.route().pool(), "cause", lastRefusal.detail());
			}
		}
		return Either.left((lastRefusal != null) ? lastRefusal : deadlineExceeded(call));
	}

	/**
	 * Sends a call that must run at most once, unless a call with the same key has
	 * already been sent.
	 * @param table the calls of the shard
	 * @param key identifies the call
	 * @param call the call
	 * @param guard checked immediately before each attempt
	 * @return the response, or the refusal
	 */
	public Either<Refusal, CallAnswer> callAtMostOnce(CallTable table, CallKey key, ServiceCall call, SendGuard guard) {
		String digest = digest(call);
		long deadline = System.nanoTime() + call.route().deadline().toNanos();
		while (true) {
			Either<Refusal, CallStart> start = table.begin(key, digest, new UpstreamId(call.route().pool()));
			if (start.isLeft()) {
				return Either.left(start.getLeft());
			}
			if (start.get() instanceof CallStart.Recorded recorded) {
				return replay(recorded.finished());
			}
			if (start.get() instanceof CallStart.Send send) {
				return sendAtMostOnce(table, key, digest, call, guard, send.durable());
			}
			if (!Futures.awaitCompletion(((CallStart.Pending) start.get()).done(),
					Duration.ofNanos(deadline - System.nanoTime()))) {
				return Either.left(Refusal
					.mayHaveRun(504, "call_under_way",
							"the call with idempotency key \"" + key.key() + "\" is still under way")
					.withRetryAfter(RETRY_AFTER));
			}
		}
	}

	// ---- Helpers: at most once

	private Either<Refusal, CallAnswer> sendAtMostOnce(CallTable table, CallKey key, String digest, ServiceCall call,
			SendGuard guard, CompletableFuture<Void> intent) {
		if (WriteOutcome.await(intent, RECORD_TIMEOUT, this.platformUnavailable) != WriteOutcome.DURABLE) {
			table.finish(key, outcome(key, digest, Verdict.NOT_RUN, null));
			return Either.left(Refusal.unavailable("platform_unavailable",
					"the intent of the call with idempotency key \"" + key.key() + "\" cannot be recorded",
					RETRY_AFTER));
		}
		Either<Refusal, CallAnswer> answer;
		try {
			answer = call(call, guard);
		}
		catch (RuntimeException ex) {
			table.finish(key, outcome(key, digest, Verdict.MAY_HAVE_RUN, null));
			throw ex;
		}
		if (answer.isLeft()) {
			table.finish(key, outcome(key, digest, answer.getLeft().verdict(), null));
			return answer;
		}
		byte[] body = bytes(answer.get());
		CallFinished outcome = outcome(key, digest, Verdict.RAN, answer.get()).toBuilder()
			.setBody(ByteString.copyFrom((body.length <= MAX_RECORDED_BYTES) ? body : new byte[0]))
			.build();
		WriteOutcome.await(table.finish(key, outcome), RECORD_TIMEOUT, this.platformUnavailable);
		return answer;
	}

	private static CallFinished outcome(CallKey key, String digest, Verdict verdict, CallAnswer answer) {
		CallFinished.Builder outcome = CallFinished.newBuilder()
			.setKey(key.key())
			.setRequestDigest(digest)
			.setVerdict(verdict.wireName());
		if (answer != null) {
			outcome.setStatus(answer.status())
				.setContentType(answer.headers().getOrDefault("Content-Type", "application/octet-stream"));
		}
		return outcome.build();
	}

	private static Either<Refusal, CallAnswer> replay(CallFinished recorded) {
		return Either
			.right(CallAnswer.of(recorded.getStatus(), recorded.getContentType(), recorded.getBody().toByteArray())
				.withHeader("Mangorack-Repeated", "true"));
	}

	private static String digest(ServiceCall call) {
		byte[] head = (call.method() + " " + call.route().pool() + call.path() + "\n").getBytes(StandardCharsets.UTF_8);
		byte[] all = new byte[head.length + call.body().length];
		System.arraycopy(head, 0, all, 0, head.length);
		System.arraycopy(call.body(), 0, all, head.length, call.body().length);
		return Digests.sha256(all);
	}

	// ---- Helpers: attempts

	private boolean mayRetry(Refusal refusal, ServiceCall call) {
		boolean upstreamFailure = refusal.code().equals("upstream_failed");
		return upstreamFailure && refusal.verdict().allowsRetry(call.route().idempotent());
	}

	private Either<Refusal, CallAnswer> attempt(ServiceCall call, Slot slot, SendGuard guard, long deadline) {
		Optional<Refusal> refusal = guard.check();
		if (refusal.isPresent()) {
			return Either.left(refusal.get());
		}
		Upstream upstream = slot.upstream();
		Duration remaining = Duration.ofNanos(deadline - System.nanoTime());
		try (HttpReply reply = this.client.send(upstream, call.method(), call.path(), call.headers(),
				(call.body().length > 0) ? call.body() : null, remaining, call.route().idempotent())) {
			byte[] body = reply.readAll(MAX_RESPONSE_BYTES);
			if (!call.route().idempotent() && NotRunStatus.isStatedBy(reply.status(), false)) {
				slot.recordFailure();
				return Either.left(failure(upstream, Verdict.MAY_HAVE_RUN,
						"status " + reply.status() + ", though the call may have run"));
			}
			slot.recordSuccess();
			return Either
				.right(CallAnswer.of(reply.status(), reply.header("Content-Type", "application/octet-stream"), body));
		}
		catch (HttpCallException ex) {
			slot.recordFailure();
			return Either.left(failure(upstream, ex.verdict(), ex.getMessage()));
		}
		catch (IOException ex) {
			slot.recordFailure();
			return Either.left(failure(upstream, Verdict.MAY_HAVE_RUN, ex.getMessage()));
		}
	}

	private static Refusal failure(Upstream upstream, Verdict verdict, String cause) {
		EventLog.log(Event.UPSTREAM_FAILED, "upstream", upstream.id(), "verdict", verdict, "cause", cause);
		return new Refusal(502, "upstream_failed", "upstream \"" + upstream.id() + "\": " + cause, verdict,
				(verdict == Verdict.NOT_RUN) ? RETRY_AFTER : null);
	}

	private static Refusal deadlineExceeded(ServiceCall call) {
		return new Refusal(504, "deadline_exceeded", "the call was not sent within " + call.route().deadline(),
				Verdict.NOT_RUN, RETRY_AFTER);
	}

	private static byte[] bytes(CallAnswer answer) {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			answer.body().writeTo(out);
		}
		catch (IOException ex) {
			throw new IllegalStateException("failed to write a response body to a byte array", ex);
		}
		return out.toByteArray();
	}

}
