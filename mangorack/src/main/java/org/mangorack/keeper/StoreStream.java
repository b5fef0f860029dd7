package org.mangorack.keeper;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntConsumer;

import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Status;
import org.mangorack.keeper.proto.Store;

/**
 * Sends content to the disk of another keeper, several requests at a time. Not
 * thread-safe.
 */
final class StoreStream {

	/**
	 * The size in bytes of the requests in flight. A single one may be larger.
	 */
	static final int MAX_BYTES = 4 * KeeperService.MAX_BATCH_BYTES;

	private final KeeperPeers peers;

	private final Member member;

	private final IntConsumer listener;

	private final Deque<Pending> inFlight = new ArrayDeque<>();

	private long bytes;

	/**
	 * Creates a stream.
	 * @param peers calls the keeper
	 * @param member the keeper
	 * @param listener receives the number of turns and programs of each request that the
	 * keeper has synced
	 */
	StoreStream(KeeperPeers peers, Member member, IntConsumer listener) {
		this.peers = peers;
		this.member = member;
		this.listener = listener;
	}

	/**
	 * Sends content, after waiting until there is room for it in flight.
	 * @param content the turns and charges
	 * @return whether the keeper has synced all earlier content that was waited for
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean send(Store content) throws InterruptedException {
		int size = content.getSerializedSize();
		while (!this.inFlight.isEmpty() && (this.bytes + size > MAX_BYTES)) {
			if (!awaitOldest()) {
				return false;
			}
		}
		this.bytes += size;
		this.inFlight.add(new Pending(this.peers.send(this.member, Request.newBuilder().setStore(content)), size,
				content.getTurnCount() + content.getProgramCount()));
		return true;
	}

	/**
	 * Waits until the keeper has synced all content.
	 * @return whether it has
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean awaitAll() throws InterruptedException {
		while (!this.inFlight.isEmpty()) {
			if (!awaitOldest()) {
				return false;
			}
		}
		return true;
	}

	private boolean awaitOldest() throws InterruptedException {
		Pending oldest = this.inFlight.remove();
		this.bytes -= oldest.bytes();
		try {
			Reply reply = oldest.reply().get(DiskCopier.TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
			if (reply.getStatus() != Status.OK) {
				return false;
			}
			this.listener.accept(oldest.items());
			return true;
		}
		catch (ExecutionException | TimeoutException ex) {
			return false;
		}
	}

	/**
	 * A request that has not been awaited.
	 *
	 * @param reply the final reply
	 * @param bytes the size of the request in bytes
	 * @param items the number of turns and programs
	 */
	private record Pending(CompletableFuture<Reply> reply, int bytes, int items) {
	}

}
