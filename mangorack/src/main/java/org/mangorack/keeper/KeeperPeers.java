package org.mangorack.keeper;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.channel.EventLoop;

import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.MonotonicClock;

/**
 * Blocking calls to other keepers, for the thread that manages group membership.
 */
final class KeeperPeers implements AutoCloseable {

	private final EventLoop loop;

	private final MonotonicClock clock;

	private final Map<String, KeeperLink> links = new HashMap<>();

	private final Future<?> checks;

	KeeperPeers(EventLoop loop, MonotonicClock clock) {
		this.loop = loop;
		this.clock = clock;
		this.checks = loop.scheduleWithFixedDelay(
				new GuardedTask("peers", () -> this.links.values().forEach(KeeperLink::checkInactivity)),
				KeeperLink.CHECK_INTERVAL.toMillis(), KeeperLink.CHECK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	/**
	 * Sends a request and waits for its final reply.
	 * @param member the keeper to call
	 * @param request the request
	 * @param timeout how long to wait
	 * @return the reply, or empty if the call timed out or the connection was lost
	 * @throws InterruptedException if the thread is interrupted
	 */
	Optional<Reply> call(Member member, Request.Builder request, Duration timeout) throws InterruptedException {
		CompletableFuture<Reply> result = new CompletableFuture<>();
		this.loop.execute(() -> send(member, request, result));
		try {
			return Optional.of(result.get(timeout.toMillis(), TimeUnit.MILLISECONDS));
		}
		catch (TimeoutException | ExecutionException ex) {
			return Optional.empty();
		}
	}

	@Override
	public void close() {
		this.checks.cancel(false);
		this.loop.execute(() -> {
			this.links.values().forEach(KeeperLink::close);
			this.links.clear();
		});
	}

	private void send(Member member, Request.Builder request, CompletableFuture<Reply> result) {
		KeeperLink known = this.links.get(member.getDisk());
		if (known != null) {
			deliver(known, request, result);
			return;
		}
		KeeperLink[] created = new KeeperLink[1];
		AtomicBoolean sent = new AtomicBoolean();
		created[0] = new KeeperLink(this.loop, member, this.clock, () -> {
			if (!sent.getAndSet(true)) {
				deliver(created[0], request, result);
			}
		});
		this.links.put(member.getDisk(), created[0]);
		created[0].connect();
	}

	private static void deliver(KeeperLink link, Request.Builder request, CompletableFuture<Reply> result) {
		link.send(request, new ReplyListener() {
			@Override
			public void replied(Reply reply) {
				if (reply.getDurable() || (reply.getStatusValue() != 0)) {
					result.complete(reply);
				}
			}

			@Override
			public void connectionLost() {
				result.completeExceptionally(new IllegalStateException("connection to the keeper was lost"));
			}
		});
	}

}
