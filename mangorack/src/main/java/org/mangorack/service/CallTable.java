package org.mangorack.service;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;

import org.mangorack.call.Refusal;
import org.mangorack.call.UpstreamId;
import org.mangorack.call.Verdict;
import org.mangorack.call.WorkspaceId;
import org.mangorack.journal.proto.CallFinished;
import org.mangorack.journal.proto.CallIntended;
import org.mangorack.journal.proto.Entry;
import org.mangorack.observe.Invariants;
import org.mangorack.observe.MonotonicClock;
import org.mangorack.ownership.ShardLog;

/**
 * The calls of a shard that must run at most once. An intent is written to the journal
 * before a call is sent, and an outcome afterwards. An intent without an outcome means
 * that the call may have run, so it is never sent again.
 */
public final class CallTable {

	private static final Duration RETENTION = Duration.ofHours(24);

	private final Object monitor;

	private final ShardLog log;

	private final MonotonicClock clock;

	private final Map<CallKey, CallState> calls = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param monitor the lock that guards the table and its entries in the journal
	 * @param log the journal of the shard
	 * @param clock the time source
	 */
	public CallTable(Object monitor, ShardLog log, MonotonicClock clock) {
		this.monitor = monitor;
		this.log = log;
		this.clock = clock;
	}

	// ---- Public API

	/**
	 * Determines the next step for a call. If the call has to be sent, an intent is
	 * recorded, and the caller must invoke {@link #finish} exactly once.
	 * @param key identifies the call
	 * @param digest the digest of the parts of the request that must be equal in a
	 * repeated call
	 * @param upstream the upstream that the call is sent to
	 * @return the next step, or the refusal
	 */
	public Either<Refusal, CallStart> begin(CallKey key, String digest, UpstreamId upstream) {
		synchronized (this.monitor) {
			CallState call = this.calls.get(key);
			if (call == null) {
				return Either.right(recordIntent(key, digest, upstream));
			}
			if (!call.digest.equals(digest)) {
				return Either.left(Refusal.notRun(409, "idempotency_key_reused",
						"idempotency key \"" + key.key() + "\" was used with another request"));
			}
			if (call.finished != null) {
				return Either.right(new CallStart.Recorded(call.finished));
			}
			if (call.running != null) {
				return Either.right(new CallStart.Pending(call.running));
			}
			return Either.left(outcomeUnknown(key));
		}
	}

	/**
	 * Records the outcome of a call. If the verdict is {@code NOT_RUN}, the key may be
	 * used again.
	 * @param key identifies the call
	 * @param outcome the outcome
	 * @return completes when the outcome is durable
	 */
	public CompletableFuture<Void> finish(CallKey key, CallFinished outcome) {
		synchronized (this.monitor) {
			CallState call = this.calls.get(key);
			CompletableFuture<Void> running = call.running;
			Invariants.check(running != null, "call-finishes-once", key);
			apply(key, outcome);
			CompletableFuture<Void> durable = this.log.append(List.of(entry(key, (b) -> b.setCallFinished(outcome))));
			call.running = null;
			if (running != null) {
				running.complete(null);
			}
			return durable;
		}
	}

	/**
	 * Returns the refusal for a call that may have run.
	 * @param key identifies the call
	 * @return the refusal
	 */
	public static Refusal outcomeUnknown(CallKey key) {
		return Refusal.mayHaveRun(409, "outcome_unknown", "the call with idempotency key \"" + key.key()
				+ "\" was sent, but its outcome is not known; it is not sent again");
	}

	/**
	 * Removes calls that are not in progress and are older than the retention time.
	 */
	public void expire() {
		synchronized (this.monitor) {
			this.calls.values()
				.removeIf((call) -> (call.running == null)
						&& (this.clock.elapsed(call.createdAt).compareTo(RETENTION) > 0));
		}
	}

	// ---- Journal

	/**
	 * Applies a journal entry. Entries that belong to other tables are ignored.
	 * @param entry the entry
	 */
	public void replay(Entry entry) {
		WorkspaceId workspace = new WorkspaceId(entry.getWorkspace());
		if (entry.hasCallIntended()) {
			CallIntended intent = entry.getCallIntended();
			this.calls.putIfAbsent(new CallKey(workspace, intent.getKey()),
					new CallState(intent.getRequestDigest(), intent.getUpstream(), this.clock.nanoTime()));
		}
		else if (entry.hasCallFinished()) {
			apply(new CallKey(workspace, entry.getCallFinished().getKey()), entry.getCallFinished());
		}
	}

	/**
	 * Returns the journal entries from which the table can be rebuilt.
	 * @return the entries
	 */
	public List<Entry> liveEntries() {
		List<Entry> entries = new ArrayList<>();
		this.calls.forEach((key, call) -> {
			if (call.finished != null) {
				entries.add(entry(key, (b) -> b.setCallFinished(call.finished)));
			}
			else {
				entries.add(entry(key, (b) -> b.setCallIntended(intent(key, call))));
			}
		});
		return entries;
	}

	// ---- Helpers

	private CallStart recordIntent(CallKey key, String digest, UpstreamId upstream) {
		CallState call = new CallState(digest, upstream.value(), this.clock.nanoTime());
		call.running = new CompletableFuture<>();
		this.calls.put(key, call);
		return new CallStart.Send(this.log.append(List.of(entry(key, (b) -> b.setCallIntended(intent(key, call))))));
	}

	private void apply(CallKey key, CallFinished outcome) {
		switch (Verdict.ofWireName(outcome.getVerdict())) {
			case NOT_RUN -> this.calls.remove(key);
			case RAN -> {
				CallState call = this.calls.computeIfAbsent(key,
						(k) -> new CallState(outcome.getRequestDigest(), "", this.clock.nanoTime()));
				call.finished = outcome;
			}
			case MAY_HAVE_RUN -> {
				// An intent without an outcome already means that the call may have run.
			}
		}
	}

	private static CallIntended intent(CallKey key, CallState call) {
		return CallIntended.newBuilder()
			.setKey(key.key())
			.setRequestDigest(call.digest)
			.setUpstream(call.upstream)
			.build();
	}

	private static Entry entry(CallKey key, UnaryOperator<Entry.Builder> body) {
		return body.apply(Entry.newBuilder().setWorkspace(key.workspace().value())).build();
	}

	/**
	 * The recorded state of a call.
	 */
	private static final class CallState {

		private final String digest;

		private final String upstream;

		private final long createdAt;

		private CallFinished finished;

		private CompletableFuture<Void> running;

		private CallState(String digest, String upstream, long createdAt) {
			this.digest = digest;
			this.upstream = upstream;
			this.createdAt = createdAt;
		}

	}

}
