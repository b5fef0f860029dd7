package org.mangorack.program;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.call.Jsons;
import org.mangorack.call.ProgramKey;
import org.mangorack.journal.proto.TurnFinished;

/**
 * The in-memory state of one program. Guarded by the monitor of its {@link ProgramTable}.
 */
final class ProgramState {

	private final ProgramKey key;

	private final String root;

	private final String parent;

	private final long budget;

	private final TreeMap<Integer, TurnFinished> turns = new TreeMap<>();

	private final Map<Integer, CompletableFuture<Void>> writes = new HashMap<>();

	private final TreeMap<Integer, Long> reservations = new TreeMap<>();

	private final Set<String> upstreams = new TreeSet<>();

	private final Set<String> unreleased = new TreeSet<>();

	private long charged;

	private int messageCount;

	private String historyDigest = Digests.EMPTY_HISTORY;

	private String endReason;

	private long lastUsed;

	private RunningTurn running;

	ProgramState(ProgramKey key, String root, String parent, long budget, long now) {
		this.key = key;
		this.root = root;
		this.parent = parent;
		this.budget = budget;
		this.lastUsed = now;
	}

	// ---- Accessors

	ProgramKey key() {
		return this.key;
	}

	String root() {
		return this.root;
	}

	boolean isRoot() {
		return this.root.equals(this.key.program());
	}

	String parent() {
		return this.parent;
	}

	long budget() {
		return this.budget;
	}

	long charged() {
		return this.charged;
	}

	TreeMap<Integer, TurnFinished> turns() {
		return this.turns;
	}

	TreeMap<Integer, Long> reservations() {
		return this.reservations;
	}

	Set<String> upstreams() {
		return this.upstreams;
	}

	Set<String> unreleased() {
		return this.unreleased;
	}

	int messageCount() {
		return this.messageCount;
	}

	String historyDigest() {
		return this.historyDigest;
	}

	String endReason() {
		return this.endReason;
	}

	boolean isEnded() {
		return this.endReason != null;
	}

	long lastUsed() {
		return this.lastUsed;
	}

	RunningTurn running() {
		return this.running;
	}

	int lastTurn() {
		return this.turns.isEmpty() ? 0 : this.turns.lastKey();
	}

	/**
	 * Returns the upstream that ran the last turn. It is likely to have the history in
	 * its cache.
	 * @return the upstream, or an empty string if no turn has finished
	 */
	String lastUpstream() {
		return this.turns.isEmpty() ? "" : this.turns.lastEntry().getValue().getUpstream();
	}

	/**
	 * Returns the journal write of a finished turn.
	 * @param turn the number of the turn
	 * @return completes when the record is durable, or exceptionally if the write failed
	 */
	CompletableFuture<Void> pendingWrite(int turn) {
		return this.writes.getOrDefault(turn, CompletableFuture.completedFuture(null));
	}

	List<JsonNode> history() {
		List<JsonNode> messages = new ArrayList<>();
		for (TurnFinished turn : this.turns.values()) {
			messages.addAll(messagesOf(turn));
		}
		return messages;
	}

	// ---- Changes

	void touch(long now) {
		this.lastUsed = now;
	}

	void charge(long tokens) {
		this.charged += tokens;
	}

	void setCharged(long tokens) {
		this.charged = tokens;
	}

	void setRunning(RunningTurn turn) {
		this.running = turn;
	}

	void addFinishedTurn(TurnFinished turn) {
		this.turns.put(turn.getTurn(), turn);
		this.messageCount += messagesOf(turn).size();
		this.historyDigest = turn.getHistoryDigest();
	}

	void trackWrite(int turn, CompletableFuture<Void> write) {
		this.writes.values().removeIf((w) -> w.isDone() && !w.isCompletedExceptionally());
		this.writes.put(turn, write);
	}

	void end(String reason, Iterable<String> memoryHolders) {
		this.endReason = reason;
		memoryHolders.forEach(this.unreleased::add);
	}

	// ---- Helpers

	private static List<JsonNode> messagesOf(TurnFinished turn) {
		try {
			List<JsonNode> messages = new ArrayList<>();
			Jsons.parse(turn.getMessages().toByteArray()).forEach(messages::add);
			return messages;
		}
		catch (IOException ex) {
			throw new IllegalStateException("recorded messages of turn " + turn.getTurn() + " cannot be parsed as JSON",
					ex);
		}
	}

	/**
	 * A turn in progress.
	 *
	 * @param turn the number of the turn
	 * @param digest the digest of its request
	 * @param done completes when the turn has finished or was abandoned
	 */
	record RunningTurn(int turn, String digest, CompletableFuture<Void> done) {
	}

}
