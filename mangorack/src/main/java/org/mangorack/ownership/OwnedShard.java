package org.mangorack.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.mangorack.journal.Journal;
import org.mangorack.journal.proto.Entry;

/**
 * A shard that this instance owns, with a count of the calls that are using it.
 *
 * @param <R> the type of the shard's state
 */
public final class OwnedShard<R extends ShardReplica> implements ShardLog {

	private final ShardId id;

	private final long epoch;

	private final Journal journal;

	private R replica;

	private int activeCalls;

	private Phase phase = Phase.SERVING;

	OwnedShard(ShardId id, long epoch, Journal journal) {
		this.id = id;
		this.epoch = epoch;
		this.journal = journal;
	}

	// ---- Accessors

	/**
	 * Returns the shard.
	 * @return the identifier
	 */
	public ShardId id() {
		return this.id;
	}

	/**
	 * Returns the epoch under which this instance owns the shard.
	 * @return the epoch
	 */
	public long epoch() {
		return this.epoch;
	}

	/**
	 * Returns the state of the shard.
	 * @return the state
	 */
	public R replica() {
		return this.replica;
	}

	void setReplica(R replica) {
		this.replica = replica;
	}

	// ---- Public API

	@Override
	public CompletableFuture<Void> append(List<Entry> entries) {
		List<Entry> tagged = new ArrayList<>(entries.size());
		for (Entry e : entries) {
			tagged.add(e.toBuilder().setShard(this.id.number()).setEpoch(this.epoch).build());
		}
		return this.journal.append(tagged);
	}

	@Override
	public boolean isFirstOwner() {
		return this.epoch == 1;
	}

	/**
	 * Releases the shard after it was acquired for a call.
	 */
	public synchronized void release() {
		this.activeCalls--;
	}

	// ---- Steps of a handover

	synchronized boolean tryAcquire() {
		if (this.phase != Phase.SERVING) {
			return false;
		}
		this.activeCalls++;
		return true;
	}

	synchronized boolean isIdle() {
		return this.activeCalls == 0;
	}

	synchronized void quiesce() {
		this.phase = Phase.QUIESCED;
	}

	synchronized void resume() {
		this.phase = Phase.SERVING;
	}

	/**
	 * Stops serving the shard permanently.
	 */
	void close() {
		quiesce();
		this.replica.servingStopped();
	}

	CompletableFuture<Void> appendLiveEntries() {
		synchronized (this.replica) {
			return append(this.replica.liveEntries());
		}
	}

	private enum Phase {

		SERVING, QUIESCED

	}

}
