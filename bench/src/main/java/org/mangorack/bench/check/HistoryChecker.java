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
 * Checks the recorded requests of callers against the executions counted by simulated
 * services and the program histories that the system reports at the end.
 */
public final class HistoryChecker {

	private final List<Attempt> attempts;

	private final List<String> violations = new ArrayList<>();

	public HistoryChecker(List<Attempt> attempts) {
		this.attempts = List.copyOf(attempts);
	}

	/**
	 * Returns the violations found so far.
	 * @return the violations; empty if there are none
	 */
	public List<String> violations() {
		return this.violations;
	}

	/**
	 * Checks that each call was executed at most once, and consistently with its
	 * responses.
	 * @param runs the number of executions by idempotency key
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
	 * Checks that every response belongs to its request. The simulated engine echoes the
	 * end of the last message of a request.
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
	 * Checks the reported history of a program: turns must be in order, and each must
	 * hold a text that the caller sent and a response that the caller may have received.
	 * @param program the identifier of the program
	 * @param messages the texts of the messages, alternating between user and assistant
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
		String recordedText = messages.get((turn - 1) * 2);
		String recordedAnswer = messages.get(((turn - 1) * 2) + 1);
		if (list.stream().noneMatch((a) -> a.text().equals(recordedText))) {
			this.violations.add("turn " + turn + " of " + program + " is recorded with \"" + recordedText
					+ "\", which its caller never sent");
		}
		for (Attempt a : list) {
			if ((a.outcome() == Outcome.ANSWERED) && !a.answer().equals(recordedAnswer)) {
				this.violations.add("turn " + turn + " of " + program + " was answered by \"" + a.answer()
						+ "\", but recorded with \"" + recordedAnswer + "\"");
			}
		}
		boolean onlyRefused = !list.isEmpty() && list.stream().allMatch((a) -> a.outcome() == Outcome.NOT_RUN);
		if (onlyRefused) {
			this.violations.add("turn " + turn + " of " + program + " was refused as not run, but is recorded");
		}
	}

}
