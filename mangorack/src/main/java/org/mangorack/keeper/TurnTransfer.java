package org.mangorack.keeper;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

import org.mangorack.keeper.proto.Copy;
import org.mangorack.keeper.proto.Member;
import org.mangorack.keeper.proto.Reply;
import org.mangorack.keeper.proto.Request;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.MonotonicClock;

/**
 * One attempt to copy the turns that this disk lacks. Several members are asked at the
 * same time, each for other turns. What a member does not send in time is asked of
 * another one that holds it. Confined to the thread that calls {@link #run()}.
 */
final class TurnTransfer {

	private final KeeperPeers peers;

	private final DiskWriter writer;

	private final MonotonicClock clock;

	private final long epoch;

	private final MissingTurns missing;

	private final IntConsumer listener;

	private final Map<String, Member> members = new LinkedHashMap<>();

	// The turns that can be asked of each member, by its disk. May contain turns that
	// have been asked of another one in the meantime.
	private final Map<String, Deque<String>> queues = new LinkedHashMap<>();

	private final Set<String> asked = new HashSet<>();

	private final Set<BatchRequest> inFlight = new LinkedHashSet<>();

	private final CopyWindow window = new CopyWindow();

	// What other threads report.
	private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();

	private boolean writeFailed;

	/**
	 * Creates an attempt.
	 * @param peers calls the members
	 * @param writer writes to this disk
	 * @param clock measures time-outs
	 * @param epoch the epoch of the view that is changing
	 * @param missing the turns that this disk lacks, which this attempt removes when they
	 * are synced
	 * @param listener receives the number of turns of each batch that is synced
	 */
	TurnTransfer(KeeperPeers peers, DiskWriter writer, MonotonicClock clock, long epoch, MissingTurns missing,
			IntConsumer listener) {
		this.peers = peers;
		this.writer = writer;
		this.clock = clock;
		this.epoch = epoch;
		this.missing = missing;
		this.listener = listener;
	}

	/**
	 * Copies turns until none is missing or those that are cannot be copied now.
	 * @param from the members to ask
	 * @throws InterruptedException if the thread is interrupted
	 */
	void run(Collection<Member> from) throws InterruptedException {
		for (Member member : from) {
			this.members.put(member.getDisk(), member);
			this.queues.put(member.getDisk(), new ArrayDeque<>(this.missing.heldBy(member.getDisk())));
		}
		sendAll();
		while (!this.inFlight.isEmpty() && !this.writeFailed) {
			awaitEvent();
			endOverdue();
			sendAll();
		}
	}

	// ---- Requests

	private void sendAll() {
		for (Optional<String> disk = nextDisk(); disk.isPresent(); disk = nextDisk()) {
			List<String> ids = takeBatch(this.queues.get(disk.get()));
			if (!ids.isEmpty()) {
				send(this.members.get(disk.get()), ids);
			}
		}
	}

	// Selects the member with the fewest requests of those that there is room for.
	private Optional<String> nextDisk() {
		return this.queues.keySet()
			.stream()
			.filter((d) -> !this.queues.get(d).isEmpty() && this.window.hasRoom(d))
			.min(Comparator.comparingInt(this.window::inFlight));
	}

	private List<String> takeBatch(Deque<String> queue) {
		List<String> ids = new ArrayList<>();
		while (!queue.isEmpty() && (ids.size() < this.window.batchTurns())) {
			String id = queue.poll();
			if (this.missing.contains(id) && this.asked.add(id)) {
				ids.add(id);
			}
		}
		return ids;
	}

	private void send(Member member, List<String> ids) {
		BatchRequest batch = new BatchRequest(member.getDisk(), ids);
		batch.deadline = nextDeadline();
		this.inFlight.add(batch);
		this.window.begin(batch.disk);
		Request.Builder request = Request.newBuilder().setEpoch(this.epoch).setCopy(Copy.newBuilder().addAllTurn(ids));
		this.peers.send(member, request).whenComplete((reply, failure) -> this.events.add(() -> onReply(batch, reply)));
	}

	private long nextDeadline() {
		return this.clock.nanoTime() + DiskCopier.TIMEOUT.toNanos();
	}

	// ---- Replies

	private void awaitEvent() throws InterruptedException {
		long first = this.inFlight.stream().mapToLong((b) -> b.deadline - this.clock.nanoTime()).min().orElse(0);
		Runnable event = this.events.poll(Math.max(0, first), TimeUnit.NANOSECONDS);
		if (event != null) {
			event.run();
		}
	}

	private void endOverdue() {
		long now = this.clock.nanoTime();
		for (BatchRequest batch : List.copyOf(this.inFlight)) {
			if (now - batch.deadline < 0) {
				continue;
			}
			if (batch.arrived) {
				this.writeFailed = true;
			}
			else {
				endFailed(batch);
			}
		}
	}

	private void onReply(BatchRequest batch, Reply reply) {
		if (!this.inFlight.contains(batch)) {
			return;
		}
		if ((reply == null) || !reply.hasBatch()) {
			endFailed(batch);
			return;
		}
		Map<String, Turn> turns = new LinkedHashMap<>();
		reply.getBatch().getTurnList().forEach((t) -> turns.put(t.getId(), t));
		turns.keySet().retainAll(batch.ids);
		turns.values().forEach((t) -> this.window.recordTurn(t.getSerializedSize()));
		requeueOthers(batch, turns.keySet());
		batch.ids.retainAll(turns.keySet());
		batch.arrived = true;
		batch.deadline = nextDeadline();
		this.writer.storeTurns(List.copyOf(turns.values()))
			.whenComplete((done, failure) -> this.events.add(() -> onStored(batch, failure)));
	}

	// A reply holds turns in the order in which they were asked for, and ends when it is
	// full. What it lacks before its last turn is no longer held by the member, and
	// neither is anything if it holds no turn at all.
	private void requeueOthers(BatchRequest batch, Set<String> arrived) {
		int covered = batch.ids.size();
		while (!arrived.isEmpty() && !arrived.contains(batch.ids.get(covered - 1))) {
			covered--;
		}
		List<String> others = new ArrayList<>(batch.ids);
		others.removeAll(arrived);
		Set<String> rest = new HashSet<>(batch.ids.subList(covered, batch.ids.size()));
		others.stream().filter((id) -> !rest.contains(id)).forEach((id) -> this.missing.removeHolder(id, batch.disk));
		requeue(others);
	}

	private void onStored(BatchRequest batch, Throwable failure) {
		if (!this.inFlight.remove(batch)) {
			return;
		}
		this.window.end(batch.disk);
		if (failure != null) {
			this.writeFailed = true;
			return;
		}
		this.missing.removeAll(batch.ids);
		this.asked.removeAll(batch.ids);
		this.listener.accept(batch.ids.size());
	}

	// The member is not asked again in this attempt.
	private void endFailed(BatchRequest batch) {
		this.inFlight.remove(batch);
		this.window.end(batch.disk);
		this.queues.remove(batch.disk);
		requeue(batch.ids);
	}

	private void requeue(List<String> ids) {
		for (int i = ids.size() - 1; i >= 0; i--) {
			String id = ids.get(i);
			this.asked.remove(id);
			for (String disk : this.missing.holders(id)) {
				Deque<String> queue = this.queues.get(disk);
				if (queue != null) {
					queue.addFirst(id);
				}
			}
		}
	}

	/**
	 * A request for turns that is in flight. Compared by identity.
	 */
	private static final class BatchRequest {

		private final String disk;

		// Once the reply has arrived, the turns in it.
		private final List<String> ids;

		private long deadline;

		private boolean arrived;

		private BatchRequest(String disk, List<String> ids) {
			this.disk = disk;
			this.ids = ids;
		}

	}

}
