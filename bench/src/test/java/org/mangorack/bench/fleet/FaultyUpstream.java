package org.mangorack.bench.fleet;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import org.mangorack.bench.fleet.ScriptedUpstream.Received;
import org.mangorack.bench.fleet.UpstreamResponse.Framing;

/**
 * Responds to requests of a fleet, a seeded share of them with an {@link UpstreamFault},
 * and tells the ledger what it gave.
 */
final class FaultyUpstream implements ScriptedUpstream.Script {

	private static final int MAX_DELAY_MS = 1200;

	private static final int MAX_PAUSE_MS = 300;

	private static final int FULL_PERCENT = 100;

	private static final int FAILURE_PERCENT = 15;

	private static final AtomicLong SIGNATURES = new AtomicLong();

	private final RequestLedger ledger;

	private final Function<Received, Work> work;

	private final FleetRunSettings settings;

	private final BooleanSupplier active;

	private final Random random;

	private final Map<Socket, Line> lines = new ConcurrentHashMap<>();

	/**
	 * Creates an upstream.
	 * @param ledger is told what the upstream gave
	 * @param work what sound responses are made of
	 * @param settings the share and kinds of faults
	 * @param active whether responses have faults at the time
	 * @param seed determines the faults by the order of requests
	 */
	FaultyUpstream(RequestLedger ledger, Function<Received, Work> work, FleetRunSettings settings,
			BooleanSupplier active, long seed) {
		this.ledger = ledger;
		this.work = work;
		this.settings = settings;
		this.active = active;
		this.random = new Random(seed);
	}

	@Override
	public boolean respondEarly(Received head, OutputStream out, Socket socket) throws IOException {
		Line line = this.lines.computeIfAbsent(socket, (s) -> new Line(out, s));
		line.begin(head.header("Request-Id"), draw());
		if ((line.fault == null) || !line.fault.isEarly()) {
			return false;
		}
		try {
			respond(head, line);
			ScriptedUpstream.sleep(new Random(line.seed).nextInt(MAX_PAUSE_MS));
			return true;
		}
		finally {
			line.end();
		}
	}

	@Override
	public boolean respond(Received request, OutputStream out, Socket socket) throws IOException {
		Line line = this.lines.get(socket);
		boolean kept = false;
		try {
			kept = respond(request, line);
			return kept;
		}
		finally {
			line.end();
			if (!kept) {
				this.lines.remove(socket);
			}
		}
	}

	private Plan draw() {
		synchronized (this.random) {
			boolean faulty = this.random.nextInt(FULL_PERCENT) < this.settings.faults();
			List<UpstreamFault> faults = this.settings.upstreamFaults();
			UpstreamFault fault = faults.get(this.random.nextInt(faults.size()));
			return new Plan((faulty && this.active.getAsBoolean()) ? fault : null, this.random.nextLong());
		}
	}

	private boolean respond(Received request, Line line) throws IOException {
		String id = request.header("Request-Id");
		Work sound = this.work.apply(request);
		UpstreamResponse response = new UpstreamResponse(id, 200, id + "." + SIGNATURES.incrementAndGet(),
				sound.framing, sound.parts);
		Exchange exchange = new Exchange(response, sound, line);
		if (line.fault == null) {
			exchange.send();
			return true;
		}
		this.ledger.faulty(id, line.fault);
		return line.fault.respond(exchange);
	}

	/**
	 * What a sound response is made of.
	 *
	 * @param framing how the end of the body is told
	 * @param parts the body, in the parts that are written one by one
	 * @param startMillis the time before the response in milliseconds
	 * @param pausesMillis the time after each part in milliseconds
	 */
	record Work(Framing framing, List<String> parts, int startMillis, List<Integer> pausesMillis) {
	}

	private record Plan(UpstreamFault fault, long seed) {
	}

	/**
	 * A connection, on which one response is written at a time.
	 */
	private final class Line {

		private final OutputStream out;

		private final Socket socket;

		private final ReentrantLock writing = new ReentrantLock(true);

		private String current;

		private UpstreamFault fault;

		private long seed;

		private boolean spoiled;

		// Guarded by the lock. Bytes behind a response that ends with the connection
		// would
		// be a part of it.
		private boolean ended;

		private Line(OutputStream out, Socket socket) {
			this.out = out;
			this.socket = socket;
		}

		private synchronized void begin(String id, Plan plan) {
			this.current = id;
			this.fault = plan.fault;
			this.seed = plan.seed;
			if (this.spoiled) {
				FaultyUpstream.this.ledger.spoiled(id);
			}
		}

		private synchronized void end() {
			this.current = null;
		}

		private synchronized void spoil() {
			this.spoiled = true;
			if (this.current != null) {
				FaultyUpstream.this.ledger.spoiled(this.current);
			}
		}

		private void write(String text) throws IOException {
			this.writing.lock();
			try {
				this.out.write(ScriptedUpstream.bytes(text));
				this.out.flush();
			}
			finally {
				this.writing.unlock();
			}
		}

		private void sendLater(int delayMillis, int pauseMillis, String... pieces) {
			ScriptedUpstream.sleep(delayMillis);
			this.writing.lock();
			try {
				if (this.ended) {
					return;
				}
				spoil();
				write(pieces[0]);
				for (int i = 1; i < pieces.length; i++) {
					ScriptedUpstream.sleep(pauseMillis);
					write(pieces[i]);
				}
			}
			catch (IOException ex) {
				// The entry closes connections with bytes that belong to no request.
			}
			finally {
				this.writing.unlock();
			}
		}

	}

	/**
	 * A request on a connection and the response to it.
	 */
	final class Exchange {

		private final Work sound;

		private final Line line;

		private final Random seeded;

		private UpstreamResponse response;

		private Exchange(UpstreamResponse response, Work sound, Line line) {
			this.response = response;
			this.sound = sound;
			this.line = line;
			this.seeded = new Random(line.seed);
		}

		UpstreamResponse response() {
			return this.response;
		}

		void setResponse(UpstreamResponse next) {
			this.response = next;
		}

		/**
		 * Returns where to cut a text.
		 * @param length its length
		 * @return the length of the first part, which is neither empty nor the whole text
		 */
		int cut(int length) {
			return 1 + this.seeded.nextInt(length - 1);
		}

		/**
		 * Runs the request and writes the whole response.
		 * @throws IOException if the connection fails
		 */
		void send() throws IOException {
			run(true);
			write(this.response.text().length());
		}

		/**
		 * Writes the whole response, which sometimes reports a failure.
		 * @throws IOException if the connection fails
		 */
		void sendWithAnyStatus() throws IOException {
			int drawn = this.seeded.nextInt(FULL_PERCENT);
			if (drawn < 2 * FAILURE_PERCENT) {
				this.response = this.response.failed((drawn < FAILURE_PERCENT) ? 500 : UpstreamResponse.NOT_RUN);
			}
			send();
		}

		/**
		 * Runs the request and writes a part of the response.
		 * @throws IOException if the connection fails
		 */
		void sendCut() throws IOException {
			spoil();
			run(false);
			write(cut(this.response.text().length()));
		}

		private void run(boolean whole) {
			if (this.response.status() == UpstreamResponse.NOT_RUN) {
				FaultyUpstream.this.ledger.offered(this.response.id());
			}
			else {
				FaultyUpstream.this.ledger.arrived(this.response.id());
			}
			FaultyUpstream.this.ledger.gave(this.response, whole);
			ScriptedUpstream.sleep(this.sound.startMillis);
		}

		private void write(int length) throws IOException {
			this.line.writing.lock();
			try {
				this.line.ended = (this.response.framing() == Framing.CLOSE)
						|| (length < this.response.text().length());
				int left = length;
				List<String> pieces = this.response.pieces();
				for (int i = 0; (i < pieces.size()) && (left > 0); i++) {
					String piece = pieces.get(i);
					this.line.write(piece.substring(0, Math.min(left, piece.length())));
					left -= piece.length();
					if ((i > 0) && (i <= this.sound.pausesMillis.size())) {
						ScriptedUpstream.sleep(this.sound.pausesMillis.get(i - 1));
					}
				}
			}
			finally {
				this.line.writing.unlock();
			}
		}

		/**
		 * Writes bytes that are not the response.
		 * @param text the bytes
		 * @throws IOException if the connection fails
		 */
		void write(String text) throws IOException {
			this.line.write(text);
		}

		/**
		 * Writes bytes behind the response, on a thread of their own, after a delay. They
		 * never come within another response.
		 * @param pieces the bytes, with a pause between the pieces
		 */
		void sendLater(String... pieces) {
			int delay = this.seeded.nextInt(3) * this.seeded.nextInt(MAX_DELAY_MS / 2);
			int pause = this.seeded.nextInt(MAX_PAUSE_MS);
			FleetProcesses.startDaemon("late-response", () -> this.line.sendLater(delay, pause, pieces));
		}

		/**
		 * Records that what the entry makes of the request is not held against it if it
		 * ends without an answer.
		 */
		void spoil() {
			this.line.spoil();
		}

		void reset() throws IOException {
			this.line.socket.setSoLinger(true, 0);
		}

	}

}
