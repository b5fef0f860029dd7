package org.mangorack.bench;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.mangorack.bench.check.Attempt;
import org.mangorack.bench.check.Attempt.Outcome;
import org.mangorack.bench.load.CallerClient.Answer;

/**
 * A caller of the randomised run. Runs programs one after the other, places orders
 * between the turns, and records every attempt.
 */
final class RandomCaller implements Runnable {

	private static final int MAX_ATTEMPTS = 60;

	private final TestFleet fleet;

	private final Random random;

	private final String name;

	private final long deadline;

	private final Queue<Attempt> attempts;

	private final Queue<String> programs;

	private final Queue<String> ended;

	private int count;

	RandomCaller(TestFleet fleet, long seed, String name, long deadline, RandomisedRunTests.Record record) {
		this.fleet = fleet;
		this.random = new Random(seed);
		this.name = name;
		this.deadline = deadline;
		this.attempts = record.attempts();
		this.programs = record.programs();
		this.ended = record.ended();
	}

	@Override
	public void run() {
		try {
			while (System.nanoTime() < this.deadline) {
				runProgram();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void runProgram() throws InterruptedException {
		String program = this.name + "-p" + this.count++;
		this.programs.add(program);
		int turns = 2 + this.random.nextInt(5);
		for (int n = 1; (n <= turns) && (System.nanoTime() < this.deadline); n++) {
			if (!turn(program, n)) {
				return;
			}
			if (this.random.nextInt(3) == 0) {
				order(program + "-o" + n);
			}
			TimeUnit.MILLISECONDS.sleep(this.random.nextInt(60));
		}
		if (this.random.nextInt(3) == 0) {
			end(program);
		}
	}

	// ---- Turns

	private boolean turn(String program, int number) throws InterruptedException {
		String text = program + " turn " + number + " " + this.random.nextInt();
		boolean stream = this.random.nextBoolean();
		if (this.random.nextInt(8) == 0) {
			Thread duplicate = new Thread(() -> recordAttempt(program, number, text));
			duplicate.start();
			boolean done = retryTurn(program, number, text, stream);
			duplicate.join();
			return done;
		}
		return retryTurn(program, number, text, stream);
	}

	private boolean retryTurn(String program, int number, String text, boolean stream) throws InterruptedException {
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			Attempt attempt = attempt(program, number, text, stream);
			this.attempts.add(attempt);
			if ((attempt.outcome() == Outcome.ANSWERED) || (attempt.outcome() == Outcome.ANSWERED_NOT_DURABLE)) {
				return true;
			}
			if (System.nanoTime() > this.deadline + TimeUnit.SECONDS.toNanos(15)) {
				return false;
			}
			TimeUnit.MILLISECONDS.sleep(150);
		}
		return false;
	}

	private void recordAttempt(String program, int number, String text) {
		this.attempts.add(attempt(program, number, text, false));
	}

	private Attempt attempt(String program, int number, String text, boolean stream) {
		Member member = randomMember();
		try {
			Answer answer = stream ? this.fleet.streamedTurn(member, program, number, text)
					: this.fleet.turn(member, program, number, text);
			return new Attempt(program, number, text, outcome(answer, stream), answer.text());
		}
		catch (Exception ex) {
			return new Attempt(program, number, text, Outcome.BROKEN, "");
		}
	}

	private static Outcome outcome(Answer answer, boolean stream) throws IOException {
		if (answer.status() != 200) {
			return verdict(answer.json());
		}
		if (stream && !answer.isCompleteStream()) {
			return Outcome.BROKEN;
		}
		boolean durable = stream ? answer.body().contains("\"durable\":true")
				: answer.json().path("mangorack").path("durable").asBoolean();
		return durable ? Outcome.ANSWERED : Outcome.ANSWERED_NOT_DURABLE;
	}

	private static Outcome verdict(JsonNode problem) {
		return problem.path("verdict").asText().equals("not_run") ? Outcome.NOT_RUN : Outcome.MAY_HAVE_RUN;
	}

	// ---- Orders and ends of programs

	private void order(String key) throws InterruptedException {
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			Outcome outcome = outcomeOf(() -> this.fleet.order(randomMember(), key));
			this.attempts.add(new Attempt(key, 0, "", outcome, ""));
			boolean finished = (outcome == Outcome.ANSWERED) || (outcome == Outcome.MAY_HAVE_RUN);
			if (finished || (System.nanoTime() > this.deadline)) {
				break;
			}
			TimeUnit.MILLISECONDS.sleep(150);
		}
		if (this.random.nextInt(3) == 0) {
			this.attempts.add(new Attempt(key, 0, "", outcomeOf(() -> this.fleet.order(randomMember(), key)), ""));
		}
	}

	private void end(String program) throws InterruptedException {
		for (int i = 0; i < MAX_ATTEMPTS; i++) {
			try {
				Answer answer = this.fleet.call(randomMember(), "DELETE", "/v1/programs/" + program, Map.of(), null);
				if ((answer.status() == 200) && answer.json().path("durable").asBoolean()) {
					this.ended.add(program);
					return;
				}
			}
			catch (Exception ex) {
				// Retried by the loop.
			}
			TimeUnit.MILLISECONDS.sleep(150);
		}
	}

	private static Outcome outcomeOf(Callable<Answer> call) {
		try {
			Answer answer = call.call();
			return (answer.status() == 200) ? Outcome.ANSWERED : verdict(answer.json());
		}
		catch (Exception ex) {
			return Outcome.BROKEN;
		}
	}

	private Member randomMember() {
		List<Member> members = this.fleet.members();
		return members.get(this.random.nextInt(members.size()));
	}

}
