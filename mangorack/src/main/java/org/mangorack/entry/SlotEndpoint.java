package org.mangorack.entry;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Either;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.Jsons;
import org.mangorack.call.Refusal;
import org.mangorack.call.Verdict;
import org.mangorack.dispatch.PoolService;
import org.mangorack.dispatch.SlotSource;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.member.proto.SlotAssignment;
import org.mangorack.member.proto.SlotReport;
import org.mangorack.member.proto.SlotRequest;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.ownership.OwnedShard;
import org.mangorack.ownership.ShardId;

/**
 * Routes slot requests and slot reports to the owners of pools, and handles them on the
 * owners.
 */
final class SlotEndpoint implements SlotSource {

	private static final Duration OWNER_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration RESPONSE_MARGIN = Duration.ofSeconds(2);

	private final ShardRouter router;

	private final PoolService pools;

	SlotEndpoint(ShardRouter router, PoolService pools) {
		this.router = router;
		this.pools = pools;
		router.register(CallKind.SLOT, this::answerSlotRequest);
		router.register(CallKind.SLOT_REPORT, this::answerReport);
	}

	// ---- On the instance that requests a slot

	@Override
	public Optional<Either<Refusal, SlotAssignment>> requestSlot(SlotRequest request) {
		CallOpen.Builder open = CallOpen.newBuilder()
			.setRequestId(UUID.randomUUID().toString())
			.setBody(request.toByteString())
			.setTimeoutMillis(request.getMaxWaitMillis() + (int) RESPONSE_MARGIN.toMillis());
		CallAnswer answer = this.router.route(CallKind.SLOT, shard(request.getPool()), open, OWNER_TIMEOUT);
		try {
			byte[] body = ResponseBodies.bytes(answer);
			if (answer.status() == 200) {
				return Optional.of(Either.right(SlotAssignment.parseFrom(body)));
			}
			Refusal refusal = refusal(Jsons.parse(body));
			return refusal.code().equals(ShardRouter.OWNER_UNAVAILABLE) ? Optional.empty()
					: Optional.of(Either.left(refusal));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	@Override
	public boolean report(SlotReport report) {
		CallOpen.Builder open = CallOpen.newBuilder()
			.setRequestId(UUID.randomUUID().toString())
			.setBody(report.toByteString())
			.setTimeoutMillis((int) OWNER_TIMEOUT.toMillis());
		CallAnswer answer = this.router.route(CallKind.SLOT_REPORT, shard(report.getPool()), open, OWNER_TIMEOUT);
		try {
			ResponseBodies.bytes(answer);
			return answer.status() == 200;
		}
		catch (IOException ex) {
			EventLog.log(Event.CALL_BROKE_OFF, "kind", CallKind.SLOT_REPORT.wireName(), "cause", ex.getMessage());
			return false;
		}
	}

	static ShardId shard(String pool) {
		return ShardId.of("pool|" + pool);
	}

	private static Refusal refusal(JsonNode problem) {
		Duration retryAfter = problem.has("retryAfterMillis")
				? Duration.ofMillis(problem.path("retryAfterMillis").asLong()) : null;
		return new Refusal(problem.path("status").asInt(503), problem.path("title").asText(),
				problem.path("detail").asText(), Verdict.NOT_RUN, retryAfter);
	}

	// ---- On the owner of the pool

	private CallAnswer answerSlotRequest(OwnedShard<ShardContents> shard, CallOpen open, Runnable release) {
		CompletableFuture<Either<Refusal, SlotAssignment>> slot;
		try {
			slot = this.pools.submit(shard.replica().pools(), SlotRequest.parseFrom(open.getBody()));
		}
		catch (InvalidProtocolBufferException ex) {
			return CallAnswer.text(400, "malformed slot request");
		}
		finally {
			release.run();
		}
		return await(slot, open);
	}

	private static CallAnswer await(CompletableFuture<Either<Refusal, SlotAssignment>> slot, CallOpen open) {
		try {
			return slot.get(open.getTimeoutMillis(), TimeUnit.MILLISECONDS)
				.fold((refusal) -> CallAnswer.refusal(refusal, open.getRequestId()),
						(assignment) -> CallAnswer.of(200, "application/protobuf", assignment.toByteArray()));
		}
		catch (CancellationException | ExecutionException | TimeoutException ex) {
			return ShardRouter.notOwner(open);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ShardRouter.notOwner(open);
		}
	}

	private CallAnswer answerReport(OwnedShard<ShardContents> shard, CallOpen open, Runnable release) {
		try {
			this.pools.report(shard.replica().pools(), SlotReport.parseFrom(open.getBody()));
			return CallAnswer.text(200, "");
		}
		catch (InvalidProtocolBufferException ex) {
			return CallAnswer.text(400, "malformed slot report");
		}
		finally {
			release.run();
		}
	}

}
