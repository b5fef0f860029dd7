package org.mangorack.bench.check;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import org.mangorack.bench.check.Attempt.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that {@link HistoryChecker} reports injected violations and accepts valid
 * histories.
 */
class HistoryCheckerTests {

	private static final Attempt FIRST = new Attempt("p", 1, "one", Outcome.ANSWERED, "echo:one t1");

	private static final Attempt SECOND = new Attempt("p", 2, "two", Outcome.ANSWERED, "echo:two t1");

	private static final List<String> HISTORY = List.of("one", "echo:one t1", "two", "echo:two t1");

	@Test
	void acceptsWhatIsAllowed() {
		Attempt notDurable = new Attempt("p", 3, "three", Outcome.ANSWERED_NOT_DURABLE, "echo:three");
		HistoryChecker checker = new HistoryChecker(List.of(FIRST, SECOND, notDurable, call(Outcome.ANSWERED),
				call(Outcome.NOT_RUN), call(Outcome.BROKEN)));
		checker.checkAnswers();
		checker.checkHistory("p", HISTORY);
		checker.checkCalls(Map.of("k", 1));
		assertThat(checker.violations()).isEmpty();
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("injectedViolations")
	void reportsInjectedViolation(String violation, List<Attempt> attempts, Consumer<HistoryChecker> check) {
		HistoryChecker checker = new HistoryChecker(attempts);
		check.accept(checker);
		assertThat(checker.violations()).as(violation).hasSize(1);
	}

	static Stream<Arguments> injectedViolations() {
		return Stream.of(violation("second run", List.of(call(Outcome.BROKEN)), (c) -> c.checkCalls(Map.of("k", 2))),
				violation("answer without a run", List.of(call(Outcome.ANSWERED)), (c) -> c.checkCalls(Map.of())),
				violation("untrue refusal", List.of(call(Outcome.NOT_RUN)), (c) -> c.checkCalls(Map.of("k", 1))),
				violation("answer of another caller",
						List.of(new Attempt("p", 1, "one", Outcome.ANSWERED, "echo:two t1")),
						HistoryChecker::checkAnswers),
				violation("lost turn", List.of(FIRST, SECOND), (c) -> c.checkHistory("p", HISTORY.subList(0, 2))),
				violation("message of another program", List.of(FIRST),
						(c) -> c.checkHistory("p", List.of("other", "echo:one t1"))),
				violation("answer replaced", List.of(FIRST), (c) -> c.checkHistory("p", List.of("one", "echo:one t2"))),
				violation("refused turn recorded", List.of(new Attempt("p", 1, "one", Outcome.NOT_RUN, "")),
						(c) -> c.checkHistory("p", HISTORY.subList(0, 2))));
	}

	private static Arguments violation(String name, List<Attempt> attempts, Consumer<HistoryChecker> check) {
		return Arguments.of(name, attempts, check);
	}

	private static Attempt call(Outcome outcome) {
		return new Attempt("k", 0, "", outcome, "");
	}

}
