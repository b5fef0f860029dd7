package org.mangorack.relay;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

import org.mangorack.call.Refusal;
import org.mangorack.call.Verdict;
import org.mangorack.keeper.ChainListener;
import org.mangorack.keeper.ReservationListener;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.Event;
import org.mangorack.relay.FleetConfiguration.Workspace;
import org.mangorack.relay.FleetProtocol.AnswerHead;

/**
 * One request of a caller from its arrival to its last byte. Used by the thread for
 * traffic only.
 */
final class RelayCall {

	/**
	 * Upstreams that may be tried for one attempt while none took the request.
	 */
	static final int MAX_CONNECTS = 4;

	/**
	 * How long an idempotent request waits for an answer before another upstream is
	 * asked, as a part of the time that its caller has left.
	 */
	static final double PATIENCE = 0.35;

	/**
	 * The shortest patience: several times the work of an ordinary request.
	 */
	static final Duration MIN_PATIENCE = Duration.ofMillis(300);

	/**
	 * An upstream that has not begun to answer after this long counts as failing: several
	 * times the time of a first event at a full upstream.
	 */
	static final Duration SILENCE_LIMIT = Duration.ofMillis(1000);

	/**
	 * When to come back if no upstream or keeper could take a request.
	 */
	static final Duration COME_BACK = Duration.ofMillis(150);

	/**
	 * Time that an answer needs to reach the caller before it gives up.
	 */
	static final Duration ANSWER_MARGIN = Duration.ofMillis(10);

	// An answer that is not streamed is passed on only when it is whole.
	private static final int MAX_WHOLE_BYTES = 16 * 1024 * 1024;

	private final RelayServer server;

	private final CallerConnection caller;

	private final CallHead head;

	private final byte[] body;

	private final long arrivedAt;

	private final Set<Upstream> tried = new HashSet<>();

	private RelayRoute route;

	private FleetConfiguration configuration;

	private Workspace workspace;

	private long deadline;

	private Future<?> deadlineTask;

	private Future<?> patienceTask;

	private List<Turn> chain = List.of();

	private boolean chainReady;

	private boolean reserved;

	private boolean reservationDurable;

	private boolean ended;

	private boolean countedInRate;

	private boolean sent;

	private int attempts;

	private int connects;

	private Attempt attempt;

	private String pool;

	private ByteArrayOutputStream output;

	private int events;

	private Verdict lastVerdict = Verdict.NOT_RUN;

	RelayCall(RelayServer server, CallerConnection caller, CallHead head, byte[] body) {
		this.server = server;
		this.caller = caller;
		this.head = head;
		this.body = body;
		this.arrivedAt = server.now();
	}

	// ---- Admission

	void start() {
		this.server.gate().pass(this.head.timeLeft(), () -> {
			if (!this.ended) {
				admit();
			}
		});
	}

	private void admit() {
		this.configuration = this.server.configuration().current();
		if (this.configuration == null) {
			refuse(Refusal.unavailable("no_configuration", "no configuration is known yet", COME_BACK));
			return;
		}
		Optional<RelayRoute> found = this.configuration.route(this.head.host(), this.head.path());
		if (found.isEmpty()) {
			refuse(Refusal.notRun(404, "no_route",
					"no route of host \"" + this.head.host() + "\" begins \"" + this.head.path() + "\""));
			return;
		}
		this.route = found.get();
		if (this.head.requestId() == null) {
			refuse(Refusal.notRun(400, "no_request_id", "the request has no id"));
			return;
		}
		if (this.configuration.isKeyed() && !this.route.open()) {
			if (!this.server.isConfigurationFresh()) {
				refuse(Refusal.unavailable("configuration_stale", "the configuration was not confirmed for "
						+ this.server.configuration().age().toMillis() + " ms", COME_BACK));
				return;
			}
			this.workspace = this.configuration.workspace(this.head.key()).orElse(null);
			if (this.workspace == null) {
				refuse(Refusal.notRun(401, "unknown_key", "the key is missing or unknown"));
				return;
			}
		}
		setDeadline();
		if (this.workspace == null) {
			admitted();
			return;
		}
		this.server.rates()
			.acquire(this.workspace.name(), this.workspace.limit(), isBeginning(), this.route.rank() == 0,
					this::rateKnown);
	}

	private boolean isBeginning() {
		return this.route.keepsTurns() && (this.head.previousTurn() == null);
	}

	private void setDeadline() {
		Duration limit = this.route.timeout();
		if ((this.head.timeLeft() != null) && (this.head.timeLeft().compareTo(limit) < 0)) {
			limit = this.head.timeLeft();
		}
		this.deadline = this.arrivedAt + limit.toNanos();
		this.deadlineTask = this.server.schedule(this::timeOver,
				limit.minus(ANSWER_MARGIN).isNegative() ? Duration.ZERO : limit.minus(ANSWER_MARGIN));
	}

	private void rateKnown(Duration wait) {
		this.countedInRate = (wait != null) && wait.isZero();
		if (this.ended) {
			giveBackRate();
			return;
		}
		if (wait == null) {
			refuse(Refusal.unavailable("rate_unknown",
					"the rate of workspace \"" + this.workspace.name() + "\" cannot be counted at present", COME_BACK));
		}
		else if (!wait.isZero()) {
			refuse(new Refusal(429, "rate_exceeded", "workspace \"" + this.workspace.name() + "\" sends more than "
					+ this.workspace.limit().perSecond() + " requests a second", Verdict.NOT_RUN, wait));
		}
		else {
			admitted();
		}
	}

	// A request that did not run does not count against the rate.
	private void giveBackRate() {
		if (this.countedInRate) {
			this.countedInRate = false;
			this.server.rates().giveBack(this.workspace.name(), this.workspace.limit(), isBeginning());
		}
	}

	private void admitted() {
		this.pool = this.route.pool(ThreadLocalRandom.current().nextDouble());
		if (!this.route.keepsTurns()) {
			this.chainReady = true;
			this.reservationDurable = true;
			sendIfReady();
			return;
		}
		if (this.server.isKeeperGroupAway()) {
			refuse(Refusal.unavailable("keepers_away", "too few keepers are connected", COME_BACK));
			return;
		}
		this.output = new ByteArrayOutputStream(1024);
		this.chainReady = (this.head.previousTurn() == null);
		this.reserved = (this.head.budget() == null);
		this.reservationDurable = this.reserved;
		if (!this.reserved) {
			this.server.keepers()
				.reserve(program(), this.head.requestId(), this.head.maxTokens(), this.head.budget(),
						new Reservation());
		}
		if (!this.chainReady && !this.ended) {
			this.server.keepers().fetch(program(), this.head.previousTurn(), new ChainReader());
		}
		sendIfReady();
	}

	private String program() {
		return workspaceName() + "/" + ((this.head.program() != null) ? this.head.program() : this.head.requestId());
	}

	private String workspaceName() {
		return (this.workspace != null) ? this.workspace.name() : "";
	}

	// ---- Attempts

	private void sendIfReady() {
		boolean ready = this.chainReady && (this.reserved || (this.head.budget() == null) || !this.route.keepsTurns());
		if (ready && !this.ended && (this.attempt == null)) {
			send();
		}
	}

	private void send() {
		if (this.configuration.isKeyed() && !this.route.open() && !isKeyStillValid()) {
			return;
		}
		String affinity = this.route.sticky() ? this.head.affinity() : null;
		Optional<Upstream> chosen = this.server.upstreams().choose(this.pool, this.tried, affinity);
		if (chosen.isEmpty() && (this.lastVerdict == Verdict.MAY_HAVE_RUN)) {
			chosen = this.server.upstreams().choose(this.pool, Set.of(), affinity);
		}
		if (chosen.isEmpty()) {
			String detail = "no upstream of pool \"" + this.pool + "\" is left after " + this.attempts + " attempts";
			refuse((this.lastVerdict == Verdict.NOT_RUN) ? Refusal.unavailable("no_upstream", detail, COME_BACK)
					: Refusal.mayHaveRun(502, "no_upstream", detail));
			return;
		}
		Upstream upstream = chosen.get();
		this.connects++;
		this.attempt = new Attempt(upstream);
		this.attempt.start();
	}

	// The key may have been withdrawn while the request waited.
	private boolean isKeyStillValid() {
		this.configuration = this.server.configuration().current();
		Workspace now = this.configuration.workspace(this.head.key()).orElse(null);
		if (!this.server.isConfigurationFresh()) {
			String detail = "the configuration was not confirmed lately";
			refuse((this.lastVerdict == Verdict.NOT_RUN) ? Refusal.unavailable("configuration_stale", detail, COME_BACK)
					: Refusal.mayHaveRun(502, "configuration_stale", detail));
			return false;
		}
		if ((now == null) || !now.name().equals(this.workspace.name())) {
			refuse(Refusal.notRun(401, "unknown_key", "the key was withdrawn").withVerdict(this.lastVerdict));
			return false;
		}
		return true;
	}

	private void retryOrGiveUp(Upstream upstream, Verdict verdict, String cause) {
		this.tried.add(upstream);
		this.attempt = null;
		this.lastVerdict = (this.lastVerdict == Verdict.MAY_HAVE_RUN) ? Verdict.MAY_HAVE_RUN : verdict;
		this.server.log()
			.log(Event.ATTEMPT_FAILED, "request", this.head.requestId(), "upstream", upstream.id(), "attempt",
					this.attempts, "verdict", verdict.wireName(), "cause", cause, "failures",
					upstream.isAvoided(this.server.now()) ? "avoided" : "counted");
		boolean mayRepeat = this.route.rule().allowsRetry(verdict) && (this.attempts < this.route.maxAttempts())
				&& (this.connects < MAX_CONNECTS);
		if (mayRepeat && (this.server.now() < this.deadline)) {
			send();
		}
		else if (this.lastVerdict == Verdict.NOT_RUN) {
			refuse(Refusal.unavailable("upstreams_busy",
					"none of " + this.connects + " upstreams of pool \"" + this.pool + "\" took the request: " + cause,
					COME_BACK));
		}
		else {
			refuse(Refusal.mayHaveRun(502, "upstream_failed", cause));
		}
	}

	// ---- Ends

	private void timeOver() {
		if (this.ended) {
			return;
		}
		if ((this.attempt != null) && this.attempt.streaming) {
			breakOff("the time of the request is over");
			return;
		}
		noteSilence();
		if (this.sent) {
			refuse(Refusal.mayHaveRun(504, "upstream_slow", "no whole answer came in time"));
		}
		else {
			refuse(Refusal.unavailable("time_over", "the time of the request was over before it was sent", COME_BACK));
		}
	}

	/**
	 * Ends the call because its caller closed the connection.
	 */
	void callerLeft() {
		if (!this.ended) {
			noteSilence();
			end();
			settleBroken();
			this.server.log()
				.log(Event.RELAY_ABANDONED, "request", this.head.requestId(), "route", routeName(), "sent", this.sent,
						"afterMillis", elapsed().toMillis(), "events", this.events);
			this.server.record(workspaceName(), routeName(), "abandoned", elapsed());
		}
	}

	// An upstream that left a request without an answer for long is avoided by others.
	private void noteSilence() {
		boolean silent = (this.attempt != null) && (this.attempt.answer == null)
				&& (elapsed().compareTo(SILENCE_LIMIT) > 0);
		if (silent) {
			this.attempt.upstream.failed(this.server.now(), "no answer after " + elapsed().toMillis() + " ms");
			this.server.client().closeIdle(this.attempt.upstream, true);
		}
	}

	private void refuse(Refusal refusal) {
		if (this.ended) {
			return;
		}
		end();
		settleBroken();
		if (refusal.verdict() == Verdict.NOT_RUN) {
			giveBackRate();
		}
		this.server.log()
			.log(Event.RELAY_REFUSED, "request", this.head.requestId(), "status", refusal.status(), "code",
					refusal.code(), "detail", refusal.detail(), "verdict", refusal.verdict().wireName(), "route",
					routeName(), "workspace", workspaceName(), "program", this.head.program(), "attempts",
					this.attempts, "afterMillis", elapsed().toMillis(), "configuration",
					this.server.configuration().version(), "configurationAgeMillis",
					this.server.configuration().age().toMillis());
		this.server.record(workspaceName(), routeName(), refusal.code(), elapsed());
		this.caller.answer(refusal, this.head.requestId());
	}

	private void breakOff(String cause) {
		end();
		settleBroken();
		this.server.log()
			.log(Event.RELAY_BROKEN, "request", this.head.requestId(), "route", routeName(), "workspace",
					workspaceName(), "cause", cause, "events", this.events, "afterMillis", elapsed().toMillis());
		this.server.record(workspaceName(), routeName(), "broken", elapsed());
		this.caller.breakOff();
	}

	private void served(int status, Upstream upstream) {
		end();
		if (CallLog.isSampled(this.head.requestId()) || (status >= 400)) {
			this.server.log()
				.log(Event.RELAY_SERVED, "request", this.head.requestId(), "status", status, "route", routeName(),
						"workspace", workspaceName(), "program", this.head.program(), "upstream", upstream.id(),
						"attempts", this.attempts, "afterMillis", elapsed().toMillis(), "events", this.events,
						"configuration", this.configuration.version());
		}
		this.server.record(workspaceName(), routeName(), (status < 400) ? "ok" : "upstream_" + status, elapsed());
	}

	private void end() {
		this.ended = true;
		cancel(this.deadlineTask);
		cancel(this.patienceTask);
		if (this.attempt != null) {
			this.attempt.abort();
		}
	}

	// An attempt that did not end whole is charged with what its caller may have got.
	private void settleBroken() {
		if ((this.route != null) && this.route.keepsTurns() && (this.head.budget() != null) && (this.pool != null)) {
			this.server.keepers().settle(program(), this.head.requestId(), tokens(), true, null, (done) -> {
			});
		}
	}

	private int tokens() {
		int perEvent = (this.configuration.pool(this.pool) != null)
				? this.configuration.pool(this.pool).tokensPerEvent() : 0;
		return this.events * perEvent;
	}

	private static void cancel(Future<?> task) {
		if (task != null) {
			task.cancel(false);
		}
	}

	private Duration elapsed() {
		return Duration.ofNanos(this.server.now() - this.arrivedAt);
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : "none";
	}

	// ---- Turns

	private byte[] wholeBody() {
		if (this.chain.isEmpty()) {
			return this.body;
		}
		ByteArrayOutputStream whole = new ByteArrayOutputStream();
		for (int i = this.chain.size() - 1; i >= 0; i--) {
			whole.writeBytes(this.chain.get(i).getInput().toByteArray());
			whole.writeBytes(this.chain.get(i).getOutput().toByteArray());
		}
		whole.writeBytes(this.body);
		return whole.toByteArray();
	}

	private Turn turn() {
		Turn.Builder turn = Turn.newBuilder()
			.setId(this.head.requestId())
			.setWorkspace(workspaceName())
			.setInput(ByteString.copyFrom(this.body))
			.setOutput(ByteString.copyFrom(this.output.toByteArray()))
			.setRetentionMs(this.route.retention().toMillis());
		if (this.head.previousTurn() != null) {
			turn.setPrevious(this.head.previousTurn());
		}
		return turn.build();
	}

	/**
	 * Waits for the chain that this turn continues.
	 */
	private final class ChainReader implements ChainListener {

		@Override
		public void found(List<Turn> turns) {
			if (!turns.get(0).getWorkspace().equals(workspaceName())) {
				absent();
				return;
			}
			RelayCall.this.chain = turns;
			RelayCall.this.chainReady = true;
			sendIfReady();
		}

		@Override
		public void absent() {
			refuse(Refusal.notRun(404, "no_turn",
					"there is no turn \"" + RelayCall.this.head.previousTurn() + "\" to continue"));
		}

		@Override
		public void uncertain(String cause) {
			refuse(Refusal.unavailable("turn_uncertain", cause, COME_BACK));
		}

	}

	/**
	 * Waits for the reservation of this turn.
	 */
	private final class Reservation implements ReservationListener {

		@Override
		public void granted() {
			RelayCall.this.reserved = true;
			sendIfReady();
		}

		@Override
		public void durable() {
			RelayCall.this.reservationDurable = true;
			if (RelayCall.this.attempt != null) {
				RelayCall.this.attempt.flushHeld();
			}
		}

		@Override
		public void spent(long used) {
			refuse(Refusal.notRun(402, "budget_spent",
					"the program used or reserved " + used + " of " + RelayCall.this.head.budget()
							+ " tokens, which does not leave " + RelayCall.this.head.maxTokens()));
		}

		@Override
		public void unavailable(String cause) {
			if (RelayCall.this.sent && !RelayCall.this.ended && (RelayCall.this.attempt != null)
					&& RelayCall.this.attempt.streaming) {
				breakOff(cause);
			}
			else if (RelayCall.this.sent) {
				refuse(Refusal.mayHaveRun(502, "reservation_lost", cause));
			}
			else {
				refuse(Refusal.unavailable("keepers_away", cause, COME_BACK));
			}
		}

	}

	/**
	 * One attempt at an upstream.
	 */
	private final class Attempt implements AnswerListener {

		private final Upstream upstream;

		private final ByteBuf held = Unpooled.buffer(512);

		private UpstreamConnection connection;

		private AnswerHead answer;

		private EventStreamScanner scanner;

		private boolean streaming;

		private boolean headPassed;

		private boolean whole;

		private boolean over;

		private boolean paceNoted;

		private long sentAt;

		// Bytes of the part of an event that waits for its end.
		private int scannedBytes;

		private Attempt(Upstream upstream) {
			this.upstream = upstream;
		}

		private void start() {
			this.upstream.began();
			RelayCall.this.server.client().connect(this.upstream, (opened) -> {
				if (this.over) {
					if (opened != null) {
						opened.close();
					}
					return;
				}
				if (opened == null) {
					this.upstream.unreachable(RelayCall.this.server.now(), "no connection");
					finished();
					retryOrGiveUp(this.upstream, Verdict.NOT_RUN, "no connection to " + this.upstream.id());
					return;
				}
				this.connection = opened;
				send();
			});
		}

		private void send() {
			RelayCall call = RelayCall.this;
			call.sent = true;
			call.attempts++;
			this.sentAt = call.server.now();
			Duration left = Duration.ofNanos(call.deadline - call.server.now());
			this.connection.send(call.head,
					call.server.protocol()
						.upstreamHeaders(call.head, this.upstream.entry(),
								(call.workspace != null) ? call.workspace.name() : null, left),
					Unpooled.wrappedBuffer(wholeBody()), this);
			if (call.route.rule() == RepeatRule.IDEMPOTENT) {
				Duration patience = Duration.ofNanos((long) (left.toNanos() * PATIENCE));
				cancel(call.patienceTask);
				call.patienceTask = call.server.schedule(this::patienceOver,
						(patience.compareTo(MIN_PATIENCE) > 0) ? patience : MIN_PATIENCE);
			}
		}

		private void patienceOver() {
			RelayCall call = RelayCall.this;
			if (!this.over && (this.answer == null) && (call.attempts < call.route.maxAttempts())) {
				abort();
				this.upstream.failed(call.server.now(), "no answer");
				retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN, "no answer from " + this.upstream.id());
			}
		}

		private void abort() {
			if (!this.over) {
				finished();
				if (this.connection != null) {
					this.connection.abort();
				}
			}
		}

		private void finished() {
			if (!this.over) {
				this.over = true;
				this.upstream.ended();
			}
		}

		@Override
		public void head(AnswerHead received) {
			this.answer = received;
			this.streaming = (RelayCall.this.route.rule() == RepeatRule.STREAM) && received.isSuccess()
					&& received.signed() && !received.notRun();
			if (this.streaming) {
				this.scanner = new EventStreamScanner(RelayCall.this.output);
			}
		}

		@Override
		public void data(ByteBuf bytes) {
			if (this.over) {
				return;
			}
			if (this.held.readableBytes() + bytes.readableBytes() > MAX_WHOLE_BYTES) {
				abort();
				retryOrGiveUp(this.upstream, Verdict.RAN, "the answer is longer than " + MAX_WHOLE_BYTES + " bytes");
				return;
			}
			notePace();
			this.held.writeBytes(bytes);
			if (this.streaming) {
				flushHeld();
			}
		}

		private void notePace() {
			RelayCall call = RelayCall.this;
			if (!this.paceNoted && this.answer.isSuccess()) {
				this.paceNoted = true;
				Duration time = Duration.ofNanos(call.server.now() - this.sentAt);
				this.upstream.answered(call.server.paces().pace(call.route.name(), time));
			}
		}

		// Passes on whole events, but none before the reservation is durable.
		private void flushHeld() {
			RelayCall call = RelayCall.this;
			if (!this.streaming || (this.over && !this.whole) || !call.reservationDurable) {
				return;
			}
			if (!this.headPassed) {
				this.headPassed = true;
				call.caller.beginStream(this.answer.status(), this.answer.headers());
			}
			int unscanned = this.held.readableBytes() - this.scannedBytes;
			int length = this.scanner.scan(this.held.slice(this.held.readerIndex() + this.scannedBytes, unscanned));
			pass(length);
			if (this.whole) {
				endStream();
			}
		}

		private void pass(int length) {
			RelayCall call = RelayCall.this;
			int whole = (length > 0) ? (this.scannedBytes + length) : 0;
			int rest = this.held.readableBytes() - whole;
			if (whole > 0) {
				call.caller.writePart(this.held.readBytes(whole));
				this.held.discardReadBytes();
			}
			this.scannedBytes = rest;
			call.events = this.scanner.events();
		}

		@Override
		public void end() {
			if (this.over) {
				return;
			}
			this.whole = true;
			finished();
			this.upstream.succeeded();
			if (this.streaming) {
				flushHeld();
			}
			else {
				endWhole();
			}
		}

		private void endWhole() {
			RelayCall call = RelayCall.this;
			if (this.answer.notRun()) {
				noteNotRun();
				retryOrGiveUp(this.upstream, Verdict.NOT_RUN,
						this.upstream.id() + " answered " + this.answer.status() + " without running the request");
			}
			else if (this.answer.isSuccess() && !this.answer.signed()) {
				this.upstream.failed(call.server.now(), "unsigned answer");
				retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN, this.upstream.id() + " answered unsigned");
			}
			else if ((this.answer.status() >= 500) && (call.route.rule() == RepeatRule.IDEMPOTENT)
					&& (call.attempts < call.route.maxAttempts())) {
				this.upstream.failed(call.server.now(), "status " + this.answer.status());
				retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN,
						this.upstream.id() + " answered " + this.answer.status());
			}
			else {
				settleBroken();
				served(this.answer.status(), this.upstream);
				call.caller.answer(this.answer.status(), this.answer.headers(), this.held);
			}
		}

		private void noteNotRun() {
			long now = RelayCall.this.server.now();
			if (this.answer.status() == 421) {
				this.upstream.unreachable(now, "another upstream has its address");
			}
			else {
				this.upstream.full(now);
			}
		}

		// The answer ends once its turn outlives a loss of power.
		private void endStream() {
			RelayCall call = RelayCall.this;
			if (call.ended) {
				return;
			}
			if (!this.scanner.isBetweenEvents() || (this.held.readableBytes() > 0)) {
				breakOff("the stream of " + this.upstream.id() + " ended within an event");
				return;
			}
			if (!call.route.keepsTurns()) {
				served(this.answer.status(), this.upstream);
				call.caller.endStream();
				return;
			}
			call.server.keepers()
				.settle(program(), call.head.requestId(), tokens(), call.head.budget() != null, turn(), (kept) -> {
					if (call.ended) {
						return;
					}
					if (kept) {
						served(this.answer.status(), this.upstream);
						call.caller.endStream();
					}
					else {
						breakOff("the turn was not confirmed by enough keepers");
					}
				});
		}

		@Override
		public void broke(String cause) {
			if (this.over) {
				return;
			}
			finished();
			this.upstream.failed(RelayCall.this.server.now(), cause);
			if (this.headPassed) {
				breakOff(this.upstream.id() + ": " + cause);
			}
			else {
				retryOrGiveUp(this.upstream, Verdict.MAY_HAVE_RUN, this.upstream.id() + ": " + cause);
			}
		}

	}

}
