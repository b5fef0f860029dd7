package org.mangorack.entry;

import java.util.ArrayList;
import java.util.List;

import org.mangorack.dispatch.PoolTable;
import org.mangorack.journal.proto.Entry;
import org.mangorack.limit.BucketTable;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.ownership.ShardLog;
import org.mangorack.ownership.ShardReplica;
import org.mangorack.program.ProgramTable;
import org.mangorack.program.SubAgentRootTable;
import org.mangorack.service.CallTable;

/**
 * The state of a shard. The program, sub-agent root and call tables share the monitor of
 * this object.
 */
public final class ShardContents implements ShardReplica {

	private final ProgramTable programs;

	private final SubAgentRootTable subAgentRoots;

	private final CallTable calls;

	private final BucketTable buckets;

	private final PoolTable pools;

	/**
	 * Creates the state of a shard without entries.
	 * @param log the journal of the shard
	 * @param clock the time source
	 * @param firstOwner whether the shard has had no owner before
	 */
	public ShardContents(ShardLog log, MonotonicClock clock, boolean firstOwner) {
		this.programs = new ProgramTable(this, log, clock);
		this.subAgentRoots = new SubAgentRootTable(this, log, clock);
		this.calls = new CallTable(this, log, clock);
		this.buckets = new BucketTable(clock, firstOwner);
		this.pools = new PoolTable(clock, firstOwner);
	}

	// ---- Accessors

	/**
	 * Returns the programs of the shard.
	 * @return the programs
	 */
	public ProgramTable programs() {
		return this.programs;
	}

	/**
	 * Returns the table that maps sub-agents of the shard to their root programs.
	 * @return the table
	 */
	public SubAgentRootTable subAgentRoots() {
		return this.subAgentRoots;
	}

	/**
	 * Returns the service calls that must run at most once.
	 * @return the calls
	 */
	public CallTable calls() {
		return this.calls;
	}

	/**
	 * Returns the rate-limit buckets of the workspaces that belong to the shard.
	 * @return the buckets
	 */
	public BucketTable buckets() {
		return this.buckets;
	}

	/**
	 * Returns the model pools that belong to the shard.
	 * @return the pools
	 */
	public PoolTable pools() {
		return this.pools;
	}

	// ---- Public API

	@Override
	public void servingStopped() {
		this.pools.close();
	}

	@Override
	public synchronized void replay(Entry entry) {
		this.programs.replay(entry);
		this.subAgentRoots.replay(entry);
		this.calls.replay(entry);
	}

	@Override
	public synchronized void replayCompleted() {
		this.programs.replayCompleted();
	}

	@Override
	public synchronized List<Entry> liveEntries() {
		List<Entry> entries = new ArrayList<>(this.programs.liveEntries());
		entries.addAll(this.subAgentRoots.liveEntries());
		entries.addAll(this.calls.liveEntries());
		return entries;
	}

}
