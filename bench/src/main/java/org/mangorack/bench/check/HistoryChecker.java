package org.mangorack.bench.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.mangorack.bench.check.Attempt.Outcome;

/**
 * Checks the attempts of callers against what stand-ins ran and what the system reports
 * at the end.
 */
public final class HistoryChecker {

	private final List<Attempt> attempts;

	private final List<String> violations = new ArrayList<>();

	public HistoryChecker(List<Attempt> attempts) {
		this.attempts = List.copyOf(attempts);
	}

	/**
	 * Returns what was found wrong.
	 * @return the violations; empty if all is well
	 */
	public List<String> violations() {
		return this.violations;
	}

	/**
	 * Checks that calls ran at most once, and as their answers said.
	 * @param runs how often each idempotency key ran
	 */
	public void checkCalls(Map<String, Integer> runs) {
		Map<String, Set<Outcome>> outcomes = new HashMap<>();
		for (Attempt a : this.attempts) {
			if (a.turn() == 0) {
				outcomes.computeIfAbsent(a.subject(), (s) -> new HashSet<>()).add(a.outcome());
			}
		}
		outcomes.forEach((key, seen) -> {
			int count = runs.getOrDefault(key, 0);
			if (count > 1) {
				this.violations.add("call " + key + " ran " + count + " times");
			}
			if (seen.contains(Outcome.ANSWERED) && (count != 1)) {
				this.violations.add("call " + key + " was answered, but ran " + count + " times");
			}
			if (seen.equals(Set.of(Outcome.NOT_RUN)) && (count != 0)) {
				this.violations.add("call " + key + " was refused as not run, but ran " + count + " times");
			}
		});
	}

	/**
	 * Checks that every answer is the caller's own. The stand-in of an engine repeats the
	 * end of what it was asked.
	 */
	public void checkAnswers() {
		for (Attempt a : this.attempts) {
			boolean answered = (a.outcome() == Outcome.ANSWERED) || (a.outcome() == Outcome.ANSWERED_NOT_DURABLE);
			if ((a.turn() > 0) && answered && !a.answer().startsWith("echo:" + a.text())) {
				this.violations.add("turn " + a.turn() + " of " + a.subject() + " asked \"" + a.text() + "\" and got \""
						+ a.answer() + "\"");
			}
		}
	}

	/**
	 * Checks the history that the system reports of a program: the turns in their order,
	 * each with what its caller sent and with an answer that the caller may have got.
	 * @param program the program
	 * @param messages the texts of the messages, user and assistant in turn
	 */
	public void checkHistory(String program, List<String> messages) {
		TreeMap<Integer, List<Attempt>> turns = new TreeMap<>();
		for (Attempt a : this.attempts) {
			if ((a.turn() > 0) && a.subject().equals(program)) {
				turns.computeIfAbsent(a.turn(), (t) -> new ArrayList<>()).add(a);
			}
		}
		int recorded = messages.size() / 2;
		for (int turn = 1; turn <= recorded; turn++) {
			checkTurn(program, turn, turns.getOrDefault(turn, List.of()), messages);
		}
		turns.tailMap(recorded + 1).forEach((turn, list) -> {
			if (list.stream().anyMatch((a) -> a.outcome() == Outcome.ANSWERED)) {
				this.violations.add("turn " + turn + " of " + program + " was answered as durable, but only " + recorded
						+ " turns are recorded");
			}
		});
	}

	private void checkTurn(String program, int turn, List<Attempt> list, List<String> messages) {
		String asked = messages.get((turn - 1) * 2);
		String answer = messages.get(((turn - 1) * 2) + 1);
		if (list.stream().noneMatch((a) -> a.text().equals(asked))) {
			this.violations.add("turn " + turn + " of " + program + " is recorded with \"" + asked
					+ "\", which its caller never sent");
		}
		for (Attempt a : list) {
			if ((a.outcome() == Outcome.ANSWERED) && !a.answer().equals(answer)) {
				this.violations.add("turn " + turn + " of " + program + " was answered by \"" + a.answer()
						+ "\", but recorded with \"" + answer + "\"");
			}
		}
		boolean onlyRefused = !list.isEmpty() && list.stream().allMatch((a) -> a.outcome() == Outcome.NOT_RUN);
		if (onlyRefused) {
			this.violations.add("turn " + turn + " of " + program + " was refused as not run, but is recorded");
		}
	}

}
