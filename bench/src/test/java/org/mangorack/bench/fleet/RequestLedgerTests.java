package org.mangorack.bench.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.bench.fleet.CallerConnection.Answer;
import org.mangorack.bench.fleet.GivenAnswers.Mix;
import org.mangorack.bench.fleet.RequestLedger.Disturbance;
import org.mangorack.bench.fleet.RequestLedger.FaultOfAll;
import org.mangorack.bench.fleet.RequestLedger.Kind;
import org.mangorack.bench.fleet.RequestLedger.Rule;
import org.mangorack.bench.fleet.RequestLedger.Violation;
import org.mangorack.bench.fleet.UpstreamResponse.Framing;

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
		return Stream
			.of(closes(), triesInRecovery(), triesInVain(), spoiled(),
					Stream.of(history("served", (h) -> h.serve(ENTRY))))
			.flatMap(Function.identity());
	}

	private static Stream<Arguments> triesInRecovery() {
		return Stream.of(history("a turn reaches an upstream in its last try", (h) -> {
			String turn = h.serve(ENTRY);
			List<String> tries = h.refuse(turn, 503, 4);
			tries.add(h.serve(OTHER_ENTRY));
			h.tried(turn, tries);
		}), history("a turn reaches an upstream without an answer", (h) -> {
			String turn = h.serve(ENTRY);
			h.begin(ENTRY, false);
			List<String> tries = h.refuse(turn, 503, 4);
			tries.add(h.send(ENTRY, true));
			h.answer(0, "", "closed");
			h.tried(turn, tries);
		}), history("a turn reaches no upstream", (h) -> {
			String turn = h.serve(ENTRY);
			h.tried(turn, h.refuse(turn, 503, 5));
		}, Rule.LATE_REACH), history("the only try of a turn reaches no upstream", (h) -> {
			String turn = h.serve(ENTRY);
			h.tried(turn, h.refuse(turn, 429, 1));
		}, Rule.LATE_REACH), history("a turn is called missing", (h) -> {
			String turn = h.serve(ENTRY);
			h.tried(turn, h.refuse(turn, 404, 2));
		}, Rule.LOST_TURN, Rule.LOST_TURN, Rule.LATE_REACH),
				history("a turn reaches no upstream while disturbed", (h) -> {
					String turn = h.serve(ENTRY);
					h.begin(KEEPER, true);
					h.tried(turn, h.refuse(turn, 503, 5));
				}, Rule.LATE_REACH));
	}

	private static Stream<Arguments> triesInVain() {
		return Stream.of(history("a new turn reaches no upstream in calm", (h) -> h.triedInVain(h.refuse(null, 503, 5)),
				Rule.CALM_REACH), history("a continued turn reaches no upstream in calm", (h) -> {
					String turn = h.serve(ENTRY);
					h.triedInVain(h.refuse(turn, 503, 5));
				}, Rule.CALM_REACH), history("a turn reaches no upstream in planned work", (h) -> {
					h.ledger.beginPlanned("work");
					h.triedInVain(h.refuse(null, 503, 5));
				}, Rule.CALM_REACH), history("a turn reaches no upstream, long after a keeper came back", (h) -> {
					h.end(h.begin(KEEPER, true));
					h.pass(CONTACT_MS);
					h.triedInVain(h.refuse(null, 503, 5));
				}, Rule.CALM_REACH), history("a turn reaches no upstream, soon after a keeper came back", (h) -> {
					h.end(h.begin(KEEPER, true));
					h.pass(CONTACT_MS / 2);
					h.triedInVain(h.refuse(null, 503, 5));
				}), history("a turn reaches no upstream, and an entry is lost meanwhile", (h) -> {
					List<String> tries = h.refuse(null, 503, 4);
					h.begin(OTHER_ENTRY, false);
					tries.addAll(h.refuse(null, 503, 1));
					h.triedInVain(tries);
				}), history("a turn reaches an upstream in one try", (h) -> {
					List<String> tries = h.refuse(null, 503, 4);
					tries.add(h.send(ENTRY, true));
					h.pass(TURN_MS);
					h.answer(0, "", "closed");
					h.triedInVain(tries);
				}));
	}

	@Test
	void theRecoveryBeginsWithTheLastMachineThatIsBack() {
		History history = new History();
		Disturbance first = history.begin(KEEPER, true);
		Disturbance last = history.begin(ENTRY, false);
		Disturbance planned = history.ledger.beginPlanned("work");
		history.end(last);
		history.pass(1000);
		long backAt = history.now;
		history.end(first);
		history.pass(1000);
		history.end(planned);
		assertThat(history.ledger.lastBackAt()).isEqualTo(backAt);
	}

	@Test
	void theTimeToServeBeginsWithTheLastStartOfAFaultOfAll() {
		History history = new History();
		String before = history.send(ENTRY, true);
		history.pass(1);
		FaultOfAll fault = history.ledger.allDown();
		history.answerWhole(before);
		history.pass(500);
		fault.back();
		history.pass(700);
		history.serve(ENTRY);
		history.pass(100);
		history.serve(ENTRY);
		history.ledger.allDown().back();
		assertThat(history.ledger.timesToServe()).containsExactly(Duration.ofMillis(700), null);
	}

	@ParameterizedTest
	@MethodSource("repairs")
	void describesHowLongRepairsTook(List<Integer> seconds, int open, String description) {
		RequestLedger ledger = new History().ledger;
		seconds.forEach((s) -> ledger.beginRepair("disks").end(Duration.ofSeconds(s)));
		for (int i = 0; i < open; i++) {
			ledger.beginRepair("disks");
		}
		assertThat(ledger.describeRepairs()).isEqualTo(description);
	}

	static Stream<Arguments> repairs() {
		return Stream.of(Arguments.of(List.of(), 0, "no loss of disks repaired, 0 not repaired"),
				Arguments.of(List.of(), 2, "no loss of disks repaired, 2 not repaired"),
				Arguments.of(List.of(9, 2, 4), 1,
						"3 losses of disks repaired in 4.0 s (median) and 9.0 s (max), 1 not repaired"),
				Arguments.of(List.of(9, 2, 4, 5), 0,
						"4 losses of disks repaired in 4.5 s (median) and 9.0 s (max), 0 not repaired"));
	}

	@Test
	void outcomesOfTheRecoveryAreCountedApart() {
		History history = new History();
		history.serve(ENTRY);
		history.ledger.setRecovering(true);
		String turn = history.serve(ENTRY);
		history.refuse(turn, 503, 2);
		history.ledger.setRecovering(false);
		history.serve(ENTRY);
		assertThat(history.ledger.recoveryCounts()).isEqualTo(Map.of("TURN 200", 1, "TURN 503 keepers_away", 2));
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

	private static Stream<Arguments> spoiled() {
		return Stream.of(history("a close after an upstream broke off", (h) -> {
			h.ledger.spoiled(h.send(ENTRY, true));
			h.answer(200, "id: 1\n", "closed");
		}), history("closes after upstreams broke off", (h) -> {
			h.begin(KEEPER, true);
			h.pass(CONTACT_MS + 1);
			for (int i = 0; i < 9; i++) {
				h.ledger.spoiled(h.send(ENTRY, true));
				h.answer(0, "", "closed");
			}
		}), history("a close after another request's upstream broke off", (h) -> {
			h.ledger.spoiled(h.serve(ENTRY));
			h.close(1, 500);
		}, Rule.LOST_ANSWER), history("a request that an upstream refused to run is refused", (h) -> {
			String id = h.send(ENTRY, false);
			h.ledger.offered(id);
			h.receive(id, 503, h.give(id, 503, true).signature(), "", null);
		}), history("a request that an upstream refused to run has reached it", (h) -> {
			String id = h.send(ENTRY, false);
			h.ledger.offered(id);
			h.answer(503, "", null);
			h.triedInVain(List.of(id));
		}), history("a request that ran is refused with the signature of a refusal", (h) -> {
			String id = h.send(ENTRY, true);
			h.receive(id, 503, h.give(id, 503, true).signature(), "", null);
		}, Rule.REFUSED), history("a request without an id runs", (h) -> h.ledger.arrived(null), Rule.UNASKED));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("answers")
	void reportsHowAnAnswerIsMixedUp(String name, Consumer<History> history, Map<String, Integer> mixed) {
		History planted = new History();
		history.accept(planted);
		assertThat(planted.ledger.mixedCounts()).isEqualTo(mixed);
		assertThat(planted.ledger.violations()).extracting(Violation::rule)
			.containsExactlyElementsOf(Collections.nCopies(mixed.size(), Rule.MIXED));
	}

	static Stream<Arguments> answers() {
		return Stream.of(answersOfOthers(), answersThatFail(), answersThatAreNotWhole(), answersToNothing())
			.flatMap(Function.identity());
	}

	private static Stream<Arguments> answersOfOthers() {
		return Stream.of(answer("a success without a signature", (h, id) -> {
			UpstreamResponse response = h.give(id, 200, true);
			h.receive(id, 200, Map.of(), response.body(), null);
		}, Mix.UNSIGNED), answer("a signature that nobody gave", (h, id) -> {
			UpstreamResponse response = h.give(id, 200, true);
			h.receive(id, 200, "other", response.body(), null);
		}, Mix.UNKNOWN_SIGNATURE), answer("the success of another request", (h, id) -> {
			UpstreamResponse response = h.give("other", 200, true);
			h.receive(id, 200, response.signature(), response.body(), null);
		}, Mix.OTHER_REQUEST), answer("the begin of the success of another request", (h, id) -> {
			UpstreamResponse response = h.give("other", 200, true);
			h.receive(id, 200, response.signature(), "id: 1", "closed");
		}, Mix.OTHER_REQUEST), answer("the failure of another request", (h, id) -> {
			UpstreamResponse response = h.give("other", 500, true);
			h.receive(id, 500, response.signature(), response.body(), null);
		}, Mix.OTHER_REQUEST),
				answer("a failure of the entry for another request",
						(h, id) -> h.receive(id, 504, Map.of("Request-Id", "other"), "", null), Mix.OTHER_REQUEST),
				answer("a success with the body of another request", (h, id) -> {
					UpstreamResponse other = h.give("other", 200, true);
					h.receive(id, 200, h.give(id, 200, true).signature(), other.body(), null);
				}, Mix.OTHER_BODY), answer("one of two successes of a request", (h, id) -> {
					UpstreamResponse first = h.give(id, 200, true);
					h.give(id, 200, true);
					h.receive(id, 200, first.signature(), first.body(), null);
				}),
				answer("a failure of the entry", (h, id) -> h.receive(id, 504, Map.of("Request-Id", id), "", null)));
	}

	private static Stream<Arguments> answersThatFail() {
		return Stream.of(answer("a success whose upstream failed", (h, id) -> {
			UpstreamResponse response = h.give(id, 500, true);
			h.receive(id, 200, response.signature(), response.body(), null);
		}, Mix.SUCCESS_OF_FAILURE), answer("a failure whose upstream succeeded", (h, id) -> {
			UpstreamResponse response = h.give(id, 200, true);
			h.receive(id, 502, response.signature(), response.body(), null);
		}, Mix.OTHER_STATUS), answer("a failure of another status", (h, id) -> {
			UpstreamResponse response = h.give(id, 500, true);
			h.receive(id, 502, response.signature(), response.body(), null);
		}, Mix.OTHER_STATUS), answer("a failure as it was given", (h, id) -> {
			UpstreamResponse response = h.give(id, 500, true);
			h.receive(id, 500, response.signature(), response.body(), null);
		}));
	}

	private static Stream<Arguments> answersThatAreNotWhole() {
		return Stream.of(answer("a whole success that was broken off", (h, id) -> {
			UpstreamResponse response = h.give(id, 200, false);
			h.receive(id, 200, response.signature(), response.body(), null);
		}, Mix.NOT_WHOLE), answer("the begin of a success as a whole one", (h, id) -> {
			UpstreamResponse response = h.give(id, 200, true);
			h.receive(id, 200, response.signature(), response.body().substring(0, 9), null);
		}, Mix.OTHER_BODY), answer("the begin of a success that was broken off", (h, id) -> {
			UpstreamResponse response = h.give(id, 200, false);
			h.ledger.spoiled(id);
			h.receive(id, 200, response.signature(), response.body().substring(0, 9), "closed");
		}), answer("another begin of a success that was broken off", (h, id) -> {
			UpstreamResponse response = h.give(id, 200, false);
			h.ledger.spoiled(id);
			h.receive(id, 200, response.signature(), response.body().substring(1, 9), "closed");
		}, Mix.OTHER_BODY));
	}

	private static Stream<Arguments> answersToNothing() {
		return Stream.of(
				answer("bytes that are no answer",
						(h, id) -> h.ledger.answered(id, Answer.malformed("status line \"x\""), "d"), Mix.NO_ANSWER),
				answer("an unawaited success", (h, id) -> {
					h.answerWhole(id);
					h.ledger.unawaited("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ENTRY, id);
				}, Mix.UNAWAITED), answer("an unawaited failure of an upstream", (h, id) -> {
					h.answerWhole(id);
					h.ledger.unawaited("HTTP/1.1 500 Reason\r\nresponse-signature: s\r\n\r\n", ENTRY, id);
				}, Mix.UNAWAITED), answer("an unawaited failure of the entry", (h, id) -> {
					h.answerWhole(id);
					h.ledger.unawaited("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n", ENTRY, id);
				}), answer("unawaited bytes", (h, id) -> {
					h.answerWhole(id);
					h.ledger.unawaited("\r\nx", ENTRY, id);
				}, Mix.NO_ANSWER));
	}

	private static Arguments answer(String name, BiConsumer<History, String> history, Mix... mixed) {
		return Arguments.of(name, (Consumer<History>) (h) -> history.accept(h, h.send(ENTRY, true)),
				Stream.of(mixed).collect(Collectors.toMap(Mix::name, (m) -> 1)));
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

		private int given;

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
			return send(entry, null, passedOn);
		}

		private String send(String entry, String previous, boolean passedOn) {
			String id = "r" + ++this.requests;
			this.ledger.sending(id, Kind.TURN, entry, previous);
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

		List<String> refuse(String previous, int status, int count) {
			List<String> ids = new ArrayList<>();
			for (int i = 0; i < count; i++) {
				ids.add(send(ENTRY, previous, false));
				answer(status, "{\"error\":\"keepers_away\"}", null);
			}
			return ids;
		}

		void tried(String previous, List<String> tries) {
			this.ledger.triedInRecovery(previous, tries, Answer.of(1, 503, "", null));
		}

		void triedInVain(List<String> tries) {
			this.ledger.triedInVain(tries, Answer.of(1, 503, "", null));
		}

		String serve(String entry) {
			String id = send(entry, true);
			answerWhole(id);
			return id;
		}

		private void answerWhole(String id) {
			UpstreamResponse response = give(id, 200, true);
			receive(id, 200, response.signature(), response.body(), null);
		}

		UpstreamResponse give(String id, int status, boolean whole) {
			String body = "id: 1\ndata: " + id + " 1/1 d\n\n";
			UpstreamResponse response = new UpstreamResponse(id, status, "signature-" + ++this.given, Framing.LENGTH,
					List.of(body));
			this.ledger.gave(response, whole);
			return response;
		}

		void receive(String id, int status, String signature, String body, String failure) {
			receive(id, status, Map.of("Response-Signature", signature), body, failure);
		}

		void receive(String id, int status, Map<String, String> headers, String body, String failure) {
			this.answered++;
			this.ledger.answered(id, Answer.of(this.answered, status, headers, body, failure), "d");
		}

	}

}
