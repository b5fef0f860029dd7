package org.mangorack.entry;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Refusal;
import org.mangorack.call.Verdict;
import org.mangorack.member.PeerCallException;
import org.mangorack.member.PeerLinks;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.ownership.OwnedShard;
import org.mangorack.ownership.ShardHost;
import org.mangorack.ownership.ShardId;
import org.mangorack.ownership.ShardLocation;

/**
 * Routes calls to the owners of their shards. While a shard has no owner, for example
 * during a handover, its calls wait. A call whose link broke is sent again if its kind is
 * idempotent, as the owner then detects duplicates.
 */
final class ShardRouter {

	private static final Duration OWNER_LOOKUP_TIMEOUT = Duration.ofSeconds(8);

	private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

	private static final Duration RESPONSE_HEAD_TIMEOUT = Duration.ofMinutes(5);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/**
	 * Code of the refusal that is returned if no owner was reached.
	 */
	static final String OWNER_UNAVAILABLE = "owner_unavailable";

	private static final String NOT_OWNER = "Mangorack-Not-Owner";

	private final ShardHost<ShardContents> host;

	private final PeerLinks links;

	private final Map<CallKind, OwnerHandler> handlers = new EnumMap<>(CallKind.class);

	ShardRouter(ShardHost<ShardContents> host, PeerLinks links) {
		this.host = host;
		this.links = links;
	}

	// Registers the handler for a kind of call, both for calls that this instance
	// received
	// and for calls that other instances forward.
	void register(CallKind kind, OwnerHandler handler) {
		this.handlers.put(kind, handler);
		this.links.register(kind.wireName(), (from, open) -> answerPeer(kind, open));
	}

	/**
	 * Routes a call to the owner of a shard.
	 * @param kind the kind of call
	 * @param shard the shard
	 * @param call the call
	 * @return the response of the owner, or a refusal if the owner was not reached
	 */
	CallAnswer route(CallKind kind, ShardId shard, CallOpen.Builder call) {
		Duration timeout = (call.getTimeoutMillis() > 0) ? Duration.ofMillis(call.getTimeoutMillis())
				: OWNER_LOOKUP_TIMEOUT;
		return route(kind, shard, call, timeout);
	}

	/**
	 * Routes a call to the owner of a shard.
	 * @param kind the kind of call
	 * @param shard the shard
	 * @param call the call
	 * @param lookupTimeout how long to try to reach the owner
	 * @return the response of the owner, or a refusal if the owner was not reached
	 */
	CallAnswer route(CallKind kind, ShardId shard, CallOpen.Builder call, Duration lookupTimeout) {
		CallOpen open = call.setKind(kind.wireName()).setShard(shard.number()).build();
		long deadline = System.nanoTime() + lookupTimeout.toNanos();
		Verdict verdict = Verdict.NOT_RUN;
		while (System.nanoTime() < deadline) {
			ShardLocation<ShardContents> location = this.host.locate(shard);
			if (location instanceof ShardLocation.Local<ShardContents> local) {
				CallAnswer answer = answerLocally(kind, local.shard(), open);
				if (!answer.headers().containsKey(NOT_OWNER)) {
					return answer;
				}
			}
			if (location instanceof ShardLocation.Remote<ShardContents> remote) {
				try {
					CallAnswer answer = this.links.call(remote.instance(), open, responseHeadTimeout(open));
					if (!answer.headers().containsKey(NOT_OWNER)) {
						return answer;
					}
				}
				catch (PeerCallException ex) {
					verdict = (ex.verdict() == Verdict.NOT_RUN) ? verdict : Verdict.MAY_HAVE_RUN;
					if (!ex.verdict().allowsRetry(kind.isIdempotent())) {
						break;
					}
				}
			}
			awaitNextPoll();
		}
		return CallAnswer.refusal(Refusal
			.unavailable(OWNER_UNAVAILABLE, "the owner of shard " + shard + " cannot be reached", RETRY_AFTER)
			.withVerdict(verdict), open.getRequestId());
	}

	// ---- Helpers

	private static Duration responseHeadTimeout(CallOpen open) {
		return (open.getTimeoutMillis() > 0) ? Duration.ofMillis(open.getTimeoutMillis()) : RESPONSE_HEAD_TIMEOUT;
	}

	private CallAnswer answerPeer(CallKind kind, CallOpen open) {
		ShardLocation<ShardContents> location = this.host.locate(new ShardId(open.getShard()));
		if (location instanceof ShardLocation.Local<ShardContents> local) {
			return answerLocally(kind, local.shard(), open);
		}
		return notOwner(open);
	}

	/**
	 * Returns the response that makes the router look up the owner again.
	 * @param open the call
	 * @return the response
	 */
	static CallAnswer notOwner(CallOpen open) {
		return CallAnswer.text(421, "not the owner of shard " + open.getShard()).withHeader(NOT_OWNER, "true");
	}

	private CallAnswer answerLocally(CallKind kind, OwnedShard<ShardContents> shard, CallOpen open) {
		return this.handlers.get(kind).answer(shard, open, shard::release);
	}

	private static void awaitNextPoll() {
		try {
			TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
