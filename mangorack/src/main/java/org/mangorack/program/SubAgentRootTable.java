package org.mangorack.program;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.mangorack.call.ProgramKey;
import org.mangorack.call.WorkspaceId;
import org.mangorack.journal.proto.AliasRecorded;
import org.mangorack.journal.proto.Entry;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.ownership.ShardLog;

/**
 * Maps sub-agents to their root programs. A mapping is stored in the shard of the
 * sub-agent's own name, so that a later call that names only the sub-agent can be routed
 * to the shard of the root.
 */
public final class SubAgentRootTable {

	private final Object monitor;

	private final ShardLog log;

	private final MonotonicClock clock;

	private final Map<ProgramKey, Alias> aliases = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param monitor guards the table and its part of the journal
	 * @param log the journal of the shard
	 * @param clock the time source
	 */
	public SubAgentRootTable(Object monitor, ShardLog log, MonotonicClock clock) {
		this.monitor = monitor;
		this.log = log;
		this.clock = clock;
	}

	/**
	 * Looks up the root of a sub-agent and resets its expiry.
	 * @param program the sub-agent
	 * @return the name of its root, or empty if the program is not a known sub-agent
	 */
	public Optional<String> root(ProgramKey program) {
		synchronized (this.monitor) {
			return Optional.ofNullable(this.aliases.computeIfPresent(program, (p, a) -> alias(a.root())))
				.map(Alias::root);
		}
	}

	/**
	 * Records the root of a sub-agent unless one is already recorded.
	 * @param program the sub-agent
	 * @param root the name of its root
	 * @return completes with the recorded root; for a new record, once it is durable
	 */
	public CompletableFuture<String> record(ProgramKey program, String root) {
		synchronized (this.monitor) {
			Alias existing = this.aliases.putIfAbsent(program, alias(root));
			if (existing != null) {
				return CompletableFuture.completedFuture(existing.root());
			}
			return this.log.append(List.of(entry(program, root))).thenApply((done) -> root);
		}
	}

	/**
	 * Applies a journal entry. Entries of other tables are ignored.
	 * @param entry the entry
	 */
	public void replay(Entry entry) {
		if (entry.hasAliasRecorded()) {
			ProgramKey key = new ProgramKey(new WorkspaceId(entry.getWorkspace()),
					entry.getAliasRecorded().getProgram());
			this.aliases.put(key, alias(entry.getAliasRecorded().getRoot()));
		}
	}

	/**
	 * Returns a snapshot of the table as journal entries.
	 * @return the entries that rebuild the table when replayed
	 */
	public List<Entry> liveEntries() {
		List<Entry> entries = new ArrayList<>();
		this.aliases.forEach((program, alias) -> entries.add(entry(program, alias.root())));
		return entries;
	}

	/**
	 * Evicts records that have not been used within the retention period.
	 * @param limit how long a record is kept after its last use
	 */
	public void expire(Duration limit) {
		synchronized (this.monitor) {
			this.aliases.values().removeIf((alias) -> this.clock.elapsed(alias.lastUsed()).compareTo(limit) > 0);
		}
	}

	private Alias alias(String root) {
		return new Alias(root, this.clock.nanoTime());
	}

	private static Entry entry(ProgramKey program, String root) {
		return Entry.newBuilder()
			.setWorkspace(program.workspace().value())
			.setAliasRecorded(AliasRecorded.newBuilder().setProgram(program.program()).setRoot(root))
			.build();
	}

	/**
	 * The root of a sub-agent.
	 *
	 * @param root the name of the root
	 * @param lastUsed when the record was last used, in nanoseconds
	 */
	private record Alias(String root, long lastUsed) {
	}

}
