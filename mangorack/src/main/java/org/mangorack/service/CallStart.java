package org.mangorack.service;

import java.util.concurrent.CompletableFuture;

import org.mangorack.journal.proto.CallFinished;

/**
 * What has to be done for a call that must not run twice.
 */
public sealed interface CallStart {

	/**
	 * The call ran; the caller gets the recorded answer.
	 *
	 * @param finished the recorded outcome
	 */
	record Recorded(CallFinished finished) implements CallStart {
	}

	/**
	 * The same call is under way; ask again when it is done.
	 *
	 * @param done completes when asking again makes sense
	 */
	record Pending(CompletableFuture<Void> done) implements CallStart {
	}

	/**
	 * The call may be sent once its intent is durable.
	 *
	 * @param durable completes when the intent is durable
	 */
	record Send(CompletableFuture<Void> durable) implements CallStart {
	}

}
