package org.mangorack.program;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;

import org.mangorack.call.Refusal;

/**
 * How the messages of a request relate to the recorded history of its program.
 */
public enum HistoryMode {

	/** The request contains only the new messages. */
	APPEND {
		@Override
		Either<Refusal, List<JsonNode>> newMessages(ProgramState program, List<JsonNode> messages) {
			return Either.right(messages);
		}
	},

	/** The request contains the complete history, which must extend the recorded one. */
	WHOLE {
		@Override
		Either<Refusal, List<JsonNode>> newMessages(ProgramState program, List<JsonNode> messages) {
			int recorded = program.messageCount();
			if (messages.size() <= recorded) {
				return Either.left(mismatch("it has " + messages.size() + " messages, but the recorded history has "
						+ recorded + " and at least one more is needed"));
			}
			String digest = Digests.extend(Digests.EMPTY_HISTORY, messages.subList(0, recorded));
			if (!digest.equals(program.historyDigest())) {
				return Either.left(mismatch("the digest of its first " + recorded + " messages is " + digest
						+ ", but the recorded history has " + program.historyDigest()));
			}
			return Either.right(new ArrayList<>(messages.subList(recorded, messages.size())));
		}
	};

	private static final String APPEND_HEADER = "append";

	/**
	 * Parses the value of the {@code Mangorack-History} header.
	 * @param header the value, or {@code null} if the header is absent
	 * @return {@link #APPEND} if the header requests it, otherwise {@link #WHOLE}
	 */
	public static HistoryMode of(String header) {
		return APPEND_HEADER.equalsIgnoreCase(header) ? APPEND : WHOLE;
	}

	/**
	 * Determines the messages that a request adds to the history.
	 * @param program the program
	 * @param messages the messages of the request
	 * @return the new messages, or a refusal if the request does not match the history
	 */
	abstract Either<Refusal, List<JsonNode>> newMessages(ProgramState program, List<JsonNode> messages);

	private static Refusal mismatch(String reason) {
		return Refusal.notRun(409, "history_mismatch", "the request does not extend the recorded history: " + reason);
	}

}
