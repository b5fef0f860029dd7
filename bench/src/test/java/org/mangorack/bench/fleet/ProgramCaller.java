package org.mangorack.bench.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.mangorack.bench.fleet.CallerConnection.Answer;
import org.mangorack.bench.fleet.RequestLedger.Kind;

/**
 * Runs programs one after the other on a kept connection: chains of turns with calls of
 * tools in between. Some programs continue from older turns of any caller.
 */
final class ProgramCaller implements Runnable {

	private static final int MAX_TRIES = 5;

	private static final int RECOVERY_TRY_INTERVAL_MS = 800;

	private static final int READ_SLACK_MS = 500;

	private static final int REFUSED_PAUSE_MS = 200;

	private static final int MAX_CONNECTS = 50;

	private static final int MAX_INPUT = 4000;

	private final FleetProcesses fleet;

	private final RequestLedger ledger;

	private final Turns turns;

	private final Random random;

	private final AtomicBoolean ended;

	private CallerConnection connection;

	private Answer last;

	private String lastId;

	private final List<String> tries = new ArrayList<>();

	ProgramCaller(FleetProcesses fleet, Turns turns, long seed, AtomicBoolean ended) {
		this.fleet = fleet;
		this.ledger = fleet.ledger();
		this.turns = turns;
		this.random = new Random(seed);
		this.ended = ended;
	}

	@Override
	public void run() {
		try {
			while (!this.ended.get()) {
				runProgram();
			}
		}
		finally {
			disconnect();
		}
	}

	private void runProgram() {
		String program = this.turns.newId();
		Turn turn = (this.random.nextInt(3) == 0) ? this.turns.any(this.random) : null;
		int length = (this.random.nextInt(6) == 0) ? 11 : 1 + this.random.nextInt(4);
		for (int i = 0; (i < length) && !this.ended.get(); i++) {
			turn = runTurn(program, turn);
			if (turn == null) {
				if (this.tries.size() == MAX_TRIES) {
					this.ledger.triedInVain(this.tries, this.last);
				}
				return;
			}
			pause(20);
			if (this.random.nextInt(3) == 0) {
				callTool(program);
			}
		}
		if (this.random.nextInt(3) == 0) {
			disconnect();
		}
	}

	private void callTool(String program) {
		if (this.random.nextInt(4) == 0) {
			sendTogether(drawCall(program), drawCall(program));
		}
		else {
			send(drawCall(program));
		}
		pause(20);
	}

	private Request drawCall(String program) {
		Kind kind = this.random.nextBoolean() ? Kind.SAFE : Kind.UNSAFE;
		String input = kind.isRepeatable() ? "" : "input of " + program;
		return new Request(kind, this.turns.newId(), program, null, input, kind.method() + input);
	}

	private Turn runTurn(String program, Turn previous) {
		String input = "input of " + program + " " + "x".repeat(this.random.nextInt(MAX_INPUT)) + "\n";
		String prompt = ((previous != null) ? previous.chain() : "") + input;
		this.tries.clear();
		for (int i = 0; (i < MAX_TRIES) && ((i == 0) || !this.ended.get()); i++) {
			String id = this.turns.newId();
			this.tries.add(id);
			this.last = send(
					new Request(Kind.TURN, id, program, (previous != null) ? previous.id() : null, input, prompt));
			if (this.last.isServed()) {
				return this.turns.add(id, prompt + String.join("\n", RequestLedger.events(this.last.body())) + "\n");
			}
			if (RequestLedger.isDenial(this.last.status())) {
				return null;
			}
			pause(REFUSED_PAUSE_MS);
		}
		return null;
	}

	/**
	 * Continues a turn, and reports it if it reaches no upstream in any try.
	 * @param turn the turn
	 */
	void verify(Turn turn) {
		disconnect();
		if ((runTurn(this.turns.newId(), turn) == null) && !RequestLedger.isDenial(this.last.status())) {
			this.ledger.unreachable(turn.id(), this.last, this.connection.entry());
		}
	}

	/**
	 * Tries to continue a turn again and again until a request reaches an upstream, and
	 * reports it if none does.
	 * @param turn the turn
	 * @param until when the last try may begin, by {@link System#nanoTime()}
	 */
	void verifyUntil(Turn turn, long until) {
		String program = this.turns.newId();
		String input = "input of " + program + "\n";
		String prompt = turn.chain() + input;
		this.tries.clear();
		while ((this.tries.size() < MAX_TRIES) && (System.nanoTime() - until < 0)) {
			long triedAt = System.nanoTime();
			disconnect();
			String id = this.turns.newId();
			this.tries.add(id);
			this.last = send(new Request(Kind.TURN, id, program, turn.id(), input, prompt));
			if (this.ledger.hasArrived(id)) {
				break;
			}
			long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - triedAt);
			ScriptedUpstream.sleep(Math.max(0, RECOVERY_TRY_INTERVAL_MS - elapsed));
		}
		this.ledger.triedInRecovery(turn.id(), this.tries, this.last);
	}

	private Answer send(Request request) {
		connect();
		sending(request);
		Answer answer = this.connection.exchange(request.text(), request.readTimeout());
		return answered(request, answer);
	}

	private void sendTogether(Request first, Request second) {
		connect();
		sending(first);
		sending(second);
		answered(first, this.connection.exchange(first.text() + second.text(), first.readTimeout()));
		answered(second, this.connection.receiveNext(second.readTimeout()));
	}

	private void sending(Request request) {
		this.ledger.sending(request.id, request.kind, this.connection.entry().name(), request.previous);
		this.lastId = request.id;
	}

	private Answer answered(Request request, Answer answer) {
		this.ledger.answered(request.id, answer, RequestLedger.digest(request.prompt));
		return answer;
	}

	private void connect() {
		checkUnawaited();
		for (int i = 0; ((this.connection == null) || !this.connection.isOpen()) && (i < MAX_CONNECTS); i++) {
			List<FleetProcess> entries = this.fleet.entries();
			this.connection = new CallerConnection(entries.get(this.random.nextInt(entries.size())));
			if (!this.connection.connect()) {
				pause(REFUSED_PAUSE_MS);
			}
		}
	}

	private void disconnect() {
		if (this.connection != null) {
			checkUnawaited();
			this.connection.close();
		}
	}

	private void checkUnawaited() {
		String bytes = (this.connection != null) ? this.connection.unawaited() : "";
		if (!bytes.isEmpty()) {
			this.ledger.unawaited(bytes, this.connection.entry().name(), this.lastId);
			this.connection.close();
		}
	}

	private void pause(int millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis + this.random.nextInt(2 * millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * A request.
	 */
	private record Request(Kind kind, String id, String program, String previous, String input, String prompt) {

		private String text() {
			String headers = "Program: " + this.program + "\r\nSession: " + this.program
					+ "\r\nProgram-Time-Remaining: 60000\r\nToken-Budget: 1000000\r\nToken-Counts: 100,100\r\n"
					+ ((this.previous != null) ? "Previous-Turn: " + this.previous + "\r\n" : "");
			return TestFleetNodes.request(this.kind.method(), this.kind.path(), this.id, headers, this.input)
				.replaceFirst("Time-Remaining: 4000", "Time-Remaining: " + this.kind.time().toMillis());
		}

		private int readTimeout() {
			return (int) this.kind.time().toMillis() + READ_SLACK_MS;
		}

	}

	/**
	 * A turn that was answered whole.
	 *
	 * @param id the id of its request
	 * @param chain the prompt and what it generated
	 */
	record Turn(String id, String chain) {
	}

	/**
	 * The turns of all callers that were answered whole.
	 */
	static final class Turns {

		private final String prefix = Integer.toHexString(ThreadLocalRandom.current().nextInt(0x1000, 0x10000));

		private final AtomicInteger ids = new AtomicInteger();

		private final ConcurrentHashMap<Integer, Turn> byIndex = new ConcurrentHashMap<>();

		private final AtomicInteger count = new AtomicInteger();

		String newId() {
			return String.format("%s%08x", this.prefix, this.ids.incrementAndGet());
		}

		Turn add(String id, String chain) {
			Turn turn = new Turn(id, chain);
			this.byIndex.put(this.count.getAndIncrement(), turn);
			return turn;
		}

		int size() {
			return this.count.get();
		}

		/**
		 * Returns a random turn.
		 * @param random the source of randomness
		 * @return the turn, or {@code null} if there is none yet
		 */
		Turn any(Random random) {
			return (size() > 0) ? this.byIndex.get(random.nextInt(size())) : null;
		}

		/**
		 * Returns a sample of all turns.
		 * @param most the size of the sample
		 * @return the turns, evenly spread over the run
		 */
		Queue<Turn> sample(int most) {
			Queue<Turn> sample = new ConcurrentLinkedQueue<>();
			int step = 1 + (size() / most);
			for (int i = 0; i < size(); i += step) {
				Turn turn = this.byIndex.get(i);
				if (turn != null) {
					sample.add(turn);
				}
			}
			return sample;
		}

	}

}
