package org.mangorack.service;

import java.util.concurrent.CompletableFuture;

import org.mangorack.journal.proto.CallFinished;

/**
 * The next step for a call that must run at most once.
 */
public sealed interface CallStart {

	/**
	 * The call has run. The caller receives the recorded response.
	 *
	 * @param finished the recorded outcome
	 */
	record Recorded(CallFinished finished) implements CallStart {
	}

	/**
	 * The same call is in progress. Begin again when it has finished.
	 *
	 * @param done completes when the call in progress has finished
	 */
	record Pending(CompletableFuture<Void> done) implements CallStart {
	}

	/**
	 * The call may be sent as soon as its intent is durable.
	 *
	 * @param durable completes when the intent is durable
	 */
	record Send(CompletableFuture<Void> durable) implements CallStart {
	}

}
