package org.mangorack.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.UUID;

import org.mangorack.call.CallAnswer;
import org.mangorack.call.WorkspaceId;
import org.mangorack.config.ConfigurationStore;
import org.mangorack.config.Workspace;
import org.mangorack.limit.BucketTable.Grant;
import org.mangorack.limit.GrantSource;
import org.mangorack.member.proto.CallOpen;
import org.mangorack.observe.Event;
import org.mangorack.observe.EventLog;
import org.mangorack.ownership.OwnedShard;
import org.mangorack.ownership.ShardId;

/**
 * Requests rate-limit grants from the owner of a bucket, and handles these requests on
 * the owner.
 */
final class RateEndpoint implements GrantSource {

	private static final int GRANT_TIMEOUT_MILLIS = 500;

	private final ConfigurationStore configuration;

	private final ShardRouter router;

	RateEndpoint(ConfigurationStore configuration, ShardRouter router) {
		this.configuration = configuration;
		this.router = router;
		router.register(CallKind.RATE, this::answerGrantRequest);
	}

	@Override
	public Optional<Grant> requestGrant(Workspace workspace, int wanted) {
		CallOpen.Builder open = CallOpen.newBuilder()
			.setRequestId(UUID.randomUUID().toString())
			.setWorkspace(workspace.id().value())
			.setMethod(Integer.toString(wanted))
			.setTimeoutMillis(GRANT_TIMEOUT_MILLIS);
		CallAnswer answer = this.router.route(CallKind.RATE, ShardId.of("rate|" + workspace.id()), open);
		return parseGrant(answer);
	}

	// A truncated response grants nothing. The owner may have counted the calls, so fewer
	// calls run than the limit allows, but never more.
	static Optional<Grant> parseGrant(CallAnswer answer) {
		try {
			String text = ResponseBodies.text(answer);
			if (answer.status() != 200) {
				return Optional.empty();
			}
			String[] parts = text.split(" ");
			return Optional.of(new Grant(Integer.parseInt(parts[0]), Duration.ofNanos(Long.parseLong(parts[1]))));
		}
		catch (IOException ex) {
			EventLog.log(Event.CALL_BROKE_OFF, "kind", CallKind.RATE.wireName(), "cause", ex.getMessage());
			return Optional.empty();
		}
	}

	private CallAnswer answerGrantRequest(OwnedShard<ShardContents> shard, CallOpen open, Runnable release) {
		try {
			Optional<Workspace> workspace = this.configuration.current()
				.workspace(new WorkspaceId(open.getWorkspace()));
			if (workspace.isEmpty()) {
				return CallAnswer.text(404, "workspace " + open.getWorkspace() + " is not configured");
			}
			Grant grant = shard.replica().buckets().grant(workspace.get(), Integer.parseInt(open.getMethod()));
			String text = grant.calls() + " " + grant.retryIn().toNanos();
			return CallAnswer.of(200, "text/plain", text.getBytes(StandardCharsets.US_ASCII));
		}
		finally {
			release.run();
		}
	}

}
