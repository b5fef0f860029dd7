package org.mangorack.program;

import org.mangorack.journal.proto.TurnFinished;

/**
 * A finished turn.
 *
 * @param finished the journal entry that recorded it
 * @param durable whether the entry was durable when the answer was given
 */
public record TurnRecord(TurnFinished finished, boolean durable) {
}
