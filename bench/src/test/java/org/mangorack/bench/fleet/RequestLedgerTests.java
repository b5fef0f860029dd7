package org.mangorack.bench.fleet;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.bench.fleet.CallerConnection.Answer;
import org.mangorack.bench.fleet.RequestLedger.Disturbance;
import org.mangorack.bench.fleet.RequestLedger.Kind;
import org.mangorack.bench.fleet.RequestLedger.Rule;
import org.mangorack.bench.fleet.RequestLedger.Violation;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link RequestLedger} reports the broken promises of planted histories, and
 * no others.
 */
class RequestLedgerTests {

	private static final String ENTRY = "entry-1";

	private static final String OTHER_ENTRY = "entry-2";

	private static final String KEEPER = "keeper-1";

	private static final long CONTACT_MS = RequestLedger.CONTACT.toMillis();

	private static final long TURN_MS = Kind.TURN.time().toMillis();

	@ParameterizedTest(name = "{0}")
	@MethodSource("histories")
	void reportsExactlyTheBrokenPromises(String name, Consumer<History> history, List<Rule> broken) {
		History planted = new History();
		history.accept(planted);
		assertThat(planted.ledger.violations()).extracting(Violation::rule).containsExactlyElementsOf(broken);
	}

	static Stream<Arguments> histories() {
		return Stream.concat(closes(), Stream.of(history("served", (h) -> h.serve(ENTRY))));
	}

	// The entry may also have to answer each request, so the disturbances of most
	// histories excuse that.
	private static Stream<Arguments> closes() {
		return Stream.of(history("three closes while a keeper is away", (h) -> {
			h.begin(KEEPER, true);
			h.pass(CONTACT_MS + 1);
			h.close(3, 500);
		}), history("four closes while a keeper is away", (h) -> {
			h.begin(KEEPER, true);
			h.pass(CONTACT_MS + 1);
			h.close(4, 500);
		}, Rule.CLOSED), history("closes with most of the time used", (h) -> {
			h.begin(KEEPER, true);
			h.pass(CONTACT_MS + 1);
			h.close(5, TURN_MS - 1);
		}, Rule.CLOSED, Rule.CLOSED), history("closes after the whole time", (h) -> {
			h.begin(KEEPER, true);
			h.pass(CONTACT_MS + 1);
			h.close(9, TURN_MS);
		}), history("closes of answers that have begun", (h) -> {
			h.begin(KEEPER, true);
			h.pass(CONTACT_MS + 1);
			for (int i = 0; i < 4; i++) {
				h.send(ENTRY, true);
				h.pass(500);
				h.answer(200, "id: 1\n", "closed");
			}
		}, Rule.CLOSED), history("closes of requests that were not passed on", (h) -> {
			h.begin(KEEPER, true);
			h.pass(CONTACT_MS + 1);
			for (int i = 0; i < 9; i++) {
				h.send(ENTRY, false);
				h.pass(500);
				h.answer(0, "", "closed");
			}
		}), history("closes just after a keeper went", (h) -> {
			h.begin(KEEPER, true);
			h.close(9, 500);
		}), history("closes just after a keeper came back", (h) -> {
			Disturbance away = h.begin(KEEPER, true);
			h.pass(2 * CONTACT_MS);
			h.end(away);
			h.pass(CONTACT_MS / 2);
			h.close(5, 500);
		}), history("closes after a keeper has been back for long enough", (h) -> {
			Disturbance away = h.begin(KEEPER, true);
			h.pass(2 * CONTACT_MS);
			h.end(away);
			h.pass(CONTACT_MS);
			h.close(4, 500);
		}, Rule.LOST_ANSWER, Rule.LOST_ANSWER, Rule.LOST_ANSWER, Rule.CLOSED, Rule.LOST_ANSWER),
				history("closes while a keeper comes back", (h) -> {
					Disturbance away = h.begin(KEEPER, true);
					h.pass(2 * CONTACT_MS);
					for (int i = 0; i < 4; i++) {
						h.send(ENTRY, true);
					}
					h.end(away);
					h.answerAll(0, "", "closed");
				}), history("closes while the entry is disturbed for long", (h) -> {
					h.begin(ENTRY, false);
					h.pass(2 * CONTACT_MS);
					h.close(9, 500);
				}), history("a close in calm", (h) -> h.close(1, 500), Rule.LOST_ANSWER),
				history("a close in calm with most of the time used", (h) -> h.close(1, TURN_MS - 1), Rule.LOST_ANSWER),
				history("a close in calm after the whole time", (h) -> h.close(1, TURN_MS)),
				history("a close while another entry is disturbed", (h) -> {
					h.begin(OTHER_ENTRY, false);
					h.close(1, 500);
				}, Rule.LOST_ANSWER), history("closes in planned work", (h) -> {
					h.ledger.beginPlanned("work");
					h.close(4, 500);
				}, Rule.LOST_ANSWER, Rule.LOST_ANSWER, Rule.LOST_ANSWER, Rule.CLOSED, Rule.LOST_ANSWER));
	}

	private static Arguments history(String name, Consumer<History> history, Rule... broken) {
		return Arguments.of(name, history, List.of(broken));
	}

	/**
	 * A history with a clock of its own.
	 */
	private static final class History {

		private long now;

		private final RequestLedger ledger = new RequestLedger(() -> this.now);

		private int requests;

		private int answered;

		void pass(long millis) {
			this.now += TimeUnit.MILLISECONDS.toNanos(millis);
		}

		Disturbance begin(String instance, boolean storing) {
			Disturbance disturbance = this.ledger.begin("kill of", instance, storing);
			pass(1);
			return disturbance;
		}

		void end(Disturbance disturbance) {
			this.ledger.end(disturbance);
			pass(1);
		}

		String send(String entry, boolean passedOn) {
			String id = "r" + ++this.requests;
			this.ledger.sending(id, Kind.TURN, entry, null);
			if (passedOn) {
				this.ledger.arrived(id);
			}
			return id;
		}

		void answer(int status, String body, String failure) {
			this.answered++;
			this.ledger.answered("r" + this.answered, Answer.of(this.answered, status, body, failure), "d");
		}

		void answerAll(int status, String body, String failure) {
			while (this.answered < this.requests) {
				answer(status, body, failure);
			}
		}

		void close(int count, long millis) {
			for (int i = 0; i < count; i++) {
				send(ENTRY, true);
				pass(millis);
				answer(0, "", "closed");
			}
		}

		String serve(String entry) {
			String id = send(entry, true);
			answer(200, "id: 1\ndata: " + id + " 1/1 d\n\n", null);
			return id;
		}

	}

}
