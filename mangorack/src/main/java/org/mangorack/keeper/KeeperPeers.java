package org.mangorack.keeper;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import io.netty.channel.EventLoop;

import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.observe.GuardedTask;
import org.mangorack.observe.MonotonicClock;

/**
 * Calls to other keepers, for the thread that manages group membership.
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
		return await(send(member, request), timeout);
	}

	/**
	 * Sends a request without waiting for its reply.
	 * @param member the keeper to call
	 * @param request the request
	 * @return completes with the final reply, or exceptionally if the connection is lost.
	 * It may never complete while the keeper cannot be reached
	 */
	CompletableFuture<Reply> send(Member member, Request.Builder request) {
		CompletableFuture<Reply> result = new CompletableFuture<>();
		this.loop.execute(() -> send(member, request, result));
		return result;
	}

	/**
	 * Sends requests to several keepers at the same time and waits for their replies.
	 * @param members the keepers to call
	 * @param request creates a request, which is changed when it is sent
	 * @param timeout how long to wait for all of them together
	 * @return the final replies, by disk, of the keepers that replied in time
	 * @throws InterruptedException if the thread is interrupted
	 */
	Map<String, Reply> callAll(Collection<Member> members, Supplier<Request.Builder> request, Duration timeout)
			throws InterruptedException {
		Map<String, CompletableFuture<Reply>> results = new HashMap<>();
		for (Member member : members) {
			results.put(member.getDisk(), send(member, request.get()));
		}
		long deadline = this.clock.nanoTime() + timeout.toNanos();
		Map<String, Reply> replies = new HashMap<>();
		for (Map.Entry<String, CompletableFuture<Reply>> result : results.entrySet()) {
			await(result.getValue(), Duration.ofNanos(Math.max(0, deadline - this.clock.nanoTime())))
				.ifPresent((reply) -> replies.put(result.getKey(), reply));
		}
		return replies;
	}

	@Override
	public void close() {
		this.checks.cancel(false);
		this.loop.execute(() -> {
			this.links.values().forEach(KeeperLink::close);
			this.links.clear();
		});
	}

	private static Optional<Reply> await(CompletableFuture<Reply> result, Duration timeout)
			throws InterruptedException {
		try {
			return Optional.of(result.get(timeout.toMillis(), TimeUnit.MILLISECONDS));
		}
		catch (TimeoutException | ExecutionException ex) {
			return Optional.empty();
		}
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
