package org.mangorack.relay;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;

import org.mangorack.call.Refusal;
import org.mangorack.call.Verdict;
import org.mangorack.dispatch.TurnQueue;
import org.mangorack.keeper.ChainListener;
import org.mangorack.keeper.ChainedTurn;
import org.mangorack.keeper.GroupView;
import org.mangorack.keeper.KeeperClient;
import org.mangorack.keeper.ProgramAttempt;
import org.mangorack.keeper.ReservationListener;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.observe.Event;
import org.mangorack.relay.FleetConfiguration.Pool;
import org.mangorack.relay.FleetConfiguration.Workspace;
import org.mangorack.relay.FleetProtocol.ResponseHead;
import org.mangorack.relay.UpstreamTable.Placed;
import org.mangorack.relay.UpstreamTable.Reuse;

/**
 * A caller's request from its arrival to the last byte of the response. Not thread-safe:
 * used only on the traffic event loop.
 */
final class RelayCall {

	/**
	 * The largest number of upstreams that are tried while none of them takes the
	 * request.
	 */
	static final int MAX_CONNECTION_ATTEMPTS = 4;

	/**
	 * How long an idempotent request waits for a response before another upstream is
	 * tried, as a fraction of the time until the caller's deadline.
	 */
	static final double RESPONSE_TIMEOUT_FRACTION = 0.35;

	/**
	 * The shortest response time-out: several times the processing time of an ordinary
	 * request.
	 */
	static final Duration MIN_RESPONSE_TIMEOUT = Duration.ofMillis(300);

	/**
	 * An upstream that has not begun to respond after this time counts as failing.
	 * Several times the time to the first event at a fully loaded upstream.
	 */
	static final Duration UNRESPONSIVE_AFTER = Duration.ofMillis(1000);

	/**
	 * The suggested delay before a retry if no upstream or keeper could take a request.
	 */
	static final Duration RETRY_AFTER = Duration.ofMillis(150);

	/**
	 * The time that a response needs to reach the caller before its deadline.
	 */
	static final Duration DEADLINE_MARGIN = Duration.ofMillis(10);

	private static final String STOPPING = "instance_stopping";

	/** The code of refusals because the entry holds too many bytes. */
	static final String MEMORY = "memory_exhausted";

	// The codes of refusals because too few keepers answered.
	private static final Set<String> KEEPER_CODES = Set.of("keepers_away", "rate_unknown", "turn_uncertain",
			"reservation_lost");

	private final RelayServer server;

	private final CallerConnection caller;

	private final CallHead head;

	private final byte[] body;

	private final long arrivedAt;

	private final MemoryBudget.Holder held;

	private final Set<Upstream> tried = new HashSet<>();

	private RelayRoute route;

	private FleetConfiguration configuration;

	private Workspace workspace;

	private long deadline;

	private Future<?> deadlineTask;

	private Future<?> responseTimeoutTask;

	// The latest hold of the request, if any.
	private HeldCalls.HeldCall heldCall;

	private List<Turn> chain = List.of();

	private long chainBytes;

	private boolean chainReady;

	private boolean reservationRequested;

	private boolean reserved;

	private boolean reservationDurable;

	private boolean ended;

	private boolean countedInRate;

	private boolean sent;

	private int attempts;

	private int connectionAttempts;

	private Attempt attempt;

	private String pool;

	private int tokensPerEvent;

	// Null unless the call is a turn for a pool of large models.
	private EngineTurn engineTurn;

	private ResponseStream stream;

	// Zero until the upstream has ended the stream and its turn is being stored.
	private long streamEndedAt;

	private Verdict lastVerdict = Verdict.NOT_RUN;

	RelayCall(RelayServer server, CallerConnection caller, CallHead head, byte[] body) {
		this.server = server;
		this.caller = caller;
		this.head = head;
		this.body = body;
		this.arrivedAt = server.now();
		this.held = server.memory().newHolder("call", head::requestId, this::giveUp);
	}

	// ---- Accessors

	CallHead head() {
		return this.head;
	}

	RelayRoute route() {
		return this.route;
	}

	/**
	 * Returns the workspace that is sent to the upstream.
	 * @return its name, or {@code null} if the route is open
	 */
	String forwardedWorkspace() {
		return (this.workspace != null) ? this.workspace.name() : null;
	}

	/**
	 * Returns the stream that the caller receives.
	 * @return the stream, or {@code null} if the route has none
	 */
	ResponseStream stream() {
		return this.stream;
	}

	/**
	 * Returns the priority.
	 * @return the priority of the workspace, or of the route if it has none, from 0 for
	 * the highest to {@link TurnQueue#LOWEST_PRIORITY}
	 */
	int priority() {
		boolean own = (this.workspace != null) && (this.workspace.priority() != null);
		int priority = own ? this.workspace.priority() : this.route.priority();
		return Math.max(0, Math.min(TurnQueue.LOWEST_PRIORITY, priority));
	}

	/**
	 * Returns when the program of the call should be finished.
	 * @return the time on the monotonic clock; the deadline of the call if it is unknown
	 */
	long dueAt() {
		return (this.head.programTime() != null) ? (this.arrivedAt + this.head.programTime().toNanos()) : this.deadline;
	}

	boolean isStreamBegun() {
		return (this.stream != null) && this.stream.isBegun();
	}

	/**
	 * Returns the position at which the next attempt has to resume.
	 * @return the id of the last event that the caller received, or {@code null}
	 */
	String lastEventId() {
		return (this.stream != null) ? this.stream.lastEventId() : null;
	}

	String pool() {
		return this.pool;
	}

	boolean isReservationDurable() {
		return this.reservationDurable;
	}

	boolean isEnded() {
		return this.ended;
	}

	// ---- Admission

	void start() {
		updateHeld();
		if (this.ended) {
			return;
		}
		this.server.gate()
			.submit(this.head.remainingTime(), this::admitUnlessEnded)
			.ifPresent((p) -> this.heldCall = p);
	}

	private void admitUnlessEnded() {
		if (!this.ended) {
			admit();
		}
	}

	private void admit() {
		this.configuration = this.server.configuration().current();
		if (this.configuration == null) {
			refuse(Refusal.unavailable("no_configuration", "no configuration is known yet", RETRY_AFTER));
			return;
		}
		Optional<RelayRoute> found = this.configuration.route(this.head.host(), this.head.path());
		if (found.isEmpty()) {
			refuseMissing(Refusal.notRun(404, "no_route",
					"no route of host \"" + this.head.host() + "\" begins \"" + this.head.path() + "\""));
			return;
		}
		this.route = found.get();
		if (this.head.requestId() == null) {
			refuse(Refusal.notRun(400, "no_request_id", "the request has no id"));
			return;
		}
		if (this.configuration.requiresKeys() && !this.route.open()) {
			if (!this.server.isConfigurationFresh()) {
				refuse(Refusal.unavailable("configuration_stale", "the configuration was not confirmed for "
						+ this.server.configuration().age().toMillis() + " ms", RETRY_AFTER));
				return;
			}
			this.workspace = this.configuration.workspace(this.head.key()).orElse(null);
			if (this.workspace == null) {
				refuseMissing(Refusal.notRun(401, "unknown_key", "the key is missing or unknown"));
				return;
			}
		}
		setDeadline();
		if (!this.server.isServable(timeLimit())) {
			refuse(stopping("the instance may stop before the request ends"));
			return;
		}
		if (this.workspace == null) {
			onAdmitted();
			return;
		}
		this.server.rates()
			.acquire(this.workspace.name(), this.workspace.limit(), isBeginning(), this.route.priority() == 0,
					this::onRateDecision);
	}

	// An outdated configuration is not conclusive: a newer version may contain the route
	// or key.
	private void refuseMissing(Refusal absent) {
		if (this.server.absence().isCertain(this.configuration)) {
			refuse(absent);
		}
		else if (this.server.configuration().current() != this.configuration) {
			admit();
		}
		else {
			this.server.absence()
				.hold(elapsed(), this.head.remainingTime(), this::admitUnlessEnded)
				.ifPresentOrElse((p) -> this.heldCall = p, () -> refuseUnconfirmed(absent));
		}
	}

	private void refuseUnconfirmed(Refusal absent) {
		refuse(Refusal.unavailable("configuration_unconfirmed", absent.detail() + " in configuration "
				+ this.configuration.version() + ", which may not be the newest one", RETRY_AFTER));
	}

	boolean isBeginning() {
		return this.route.storesTurns() && (this.head.previousTurn() == null);
	}

	/**
	 * Returns whether the call is a turn that continues another one.
	 * @return {@code true} if the keepers hold the turn that it continues
	 */
	boolean continuesTurn() {
		return this.route.storesTurns() && (this.head.previousTurn() != null);
	}

	private Duration timeLimit() {
		Duration remaining = this.head.remainingTime();
		Duration limit = this.route.timeout();
		return ((remaining != null) && (remaining.compareTo(limit) < 0)) ? remaining : limit;
	}

	private void setDeadline() {
		Duration limit = timeLimit();
		this.deadline = this.arrivedAt + limit.toNanos();
		Duration left = timeLeft().minus(DEADLINE_MARGIN);
		this.deadlineTask = this.server.schedule(this::onDeadline, left.isNegative() ? Duration.ZERO : left);
	}

	private void onRateDecision(Duration wait) {
		this.countedInRate = (wait != null) && wait.isZero();
		if (this.ended) {
			refundRate();
			return;
		}
		if (wait == null) {
			refuse(Refusal.unavailable("rate_unknown",
					"the rate of workspace \"" + this.workspace.name() + "\" cannot be counted at present",
					RETRY_AFTER));
		}
		else if (!wait.isZero()) {
			refuse(new Refusal(429, "rate_exceeded", "workspace \"" + this.workspace.name() + "\" sends more than "
					+ this.workspace.limit().perSecond() + " requests a second", Verdict.NOT_RUN, wait));
		}
		else {
			onAdmitted();
		}
	}

	// A request that did not run does not count against the rate limit.
	private void refundRate() {
		if (this.countedInRate) {
			this.countedInRate = false;
			this.server.rates().refund(this.workspace.name(), this.workspace.limit(), isBeginning());
		}
	}

	private void onAdmitted() {
		this.pool = this.route.pool(ThreadLocalRandom.current().nextDouble());
		if (this.server.upstreams().isEvacuated(this.pool)) {
			refuseEvacuated();
			return;
		}
		// Read once for the whole call, as a newer version may lack the pool.
		Pool poolSettings = this.configuration.pool(this.pool);
		this.tokensPerEvent = (poolSettings != null) ? poolSettings.tokensPerEvent() : 0;
		if (this.route.rule().isStreamed() && this.head.prompt().isKnown() && this.server.reusesPrompts(poolSettings)) {
			this.engineTurn = new EngineTurn(this.server, this, poolSettings);
			Optional<Refusal> refusal = this.engineTurn.refusal(this.body.length);
			if (refusal.isPresent()) {
				refuse(refusal.get());
				return;
			}
		}
		if ((this.route.storesTurns() || isBudgeted()) && this.server.isKeeperGroupUnavailable()) {
			refuse(Refusal.unavailable("keepers_away", "too few keepers are connected", RETRY_AFTER));
			return;
		}
		if (this.route.rule().isStreamed()) {
			this.stream = new ResponseStream(this.route.rule().isIdempotent(), this.route.storesTurns(),
					this.head.lastEventId());
		}
		this.chainReady = !this.route.storesTurns() || (this.head.previousTurn() == null);
		this.reserved = !isBudgeted();
		this.reservationDurable = this.reserved;
		if (!this.reserved) {
			this.reservationRequested = true;
			this.server.keepers()
				.reserve(programAttempt(), this.head.maxTokens(), this.head.budget(), new ReservationHandler());
		}
		if (!this.chainReady && !this.ended) {
			this.server.keepers().fetch(program(), this.head.previousTurn(), new ChainHandler());
		}
		sendIfReady();
	}

	// Only events of streams consume tokens. Whether the turn is stored makes no
	// difference.
	private boolean isBudgeted() {
		return (this.head.budget() != null) && this.route.rule().isStreamed();
	}

	private String program() {
		return workspaceName() + "/" + ((this.head.program() != null) ? this.head.program() : this.head.requestId());
	}

	private ProgramAttempt programAttempt() {
		Duration retention = this.route.storesTurns() ? this.route.retention() : Duration.ZERO;
		return new ProgramAttempt(program(), this.head.requestId(), retention.plus(this.route.timeout()));
	}

	String workspaceName() {
		return (this.workspace != null) ? this.workspace.name() : "";
	}

	// ---- Attempts

	private void sendIfReady() {
		if (this.chainReady && this.reserved && !this.ended && (this.attempt == null)) {
			send();
		}
	}

	void send() {
		if (this.ended) {
			return;
		}
		if (this.configuration.requiresKeys() && !this.route.open() && !isKeyStillValid()) {
			return;
		}
		if ((this.engineTurn != null) && (this.connectionAttempts == 0) && this.engineTurn.awaitRoom()) {
			return;
		}
		Optional<Placed> chosen = choose(this.tried);
		if (chosen.isEmpty() && (this.lastVerdict == Verdict.MAY_HAVE_RUN)) {
			chosen = choose(Set.of());
		}
		if (chosen.isEmpty() && this.server.upstreams().isEvacuated(this.pool)) {
			refuseEvacuated();
			return;
		}
		if (chosen.isEmpty()) {
			String detail = "no upstream of pool \"" + this.pool + "\" is left after " + this.attempts + " attempts";
			refuseUnserved("no_upstream", detail);
			return;
		}
		Upstream upstream = chosen.get().upstream();
		if (isStreamBegun()) {
			this.server.log()
				.log(Event.STREAM_RESUMED, "request", this.head.requestId(), "upstream", upstream.id(), "afterEvent",
						lastEventId(), "attempt", this.attempts + 1);
		}
		this.connectionAttempts++;
		this.attempt = new Attempt(this.server, this, upstream, (this.engineTurn != null)
				? (this.head.prompt().tokens() - chosen.get().keptTokens()) : Attempt.NOT_MEASURED);
		this.attempt.start();
	}

	private void refuseEvacuated() {
		refuseUnserved("all_evacuated", "all data centres with upstreams of pool \"" + this.pool + "\" are evacuated");
	}

	private Optional<Placed> choose(Set<Upstream> excluded) {
		if (this.engineTurn != null) {
			return this.engineTurn.choose(excluded);
		}
		String affinity = this.route.sticky() ? this.head.affinity() : null;
		if ((affinity == null) && this.server.prefersSubset(this.configuration)) {
			return this.server.upstreams()
				.choosePreferred(this.pool, excluded)
				.map((upstream) -> new Placed(upstream, 0, Reuse.NEW));
		}
		return this.server.upstreams()
			.choose(this.pool, excluded, affinity)
			.map((upstream) -> new Placed(upstream, 0, Reuse.NEW));
	}

	Duration timeLeft() {
		return Duration.ofNanos(this.deadline - this.server.now());
	}

	/**
	 * Judges a waiting call by the newest configuration: by the time limit and priority
	 * that hold now. What was decided or reserved by the former version cannot be
	 * changed, so a call whose route now means something else is refused. The key is
	 * checked when the call is sent.
	 */
	void reconsider() {
		FleetConfiguration current = this.server.configuration().current();
		if (this.ended || (current == this.configuration)) {
			return;
		}
		Optional<RelayRoute> found = current.route(this.head.host(), this.head.path());
		if (found.isEmpty()) {
			if (this.server.absence().isCertain(current)) {
				refuse(Refusal.notRun(404, "no_route", "the route was removed while the request waited"));
			}
			return;
		}
		if (!found.get().isCompatible(this.route, this.pool)
				|| (current.requiresKeys() != this.configuration.requiresKeys())) {
			refuse(Refusal.unavailable("route_changed", "the route changed while the request waited", RETRY_AFTER));
			return;
		}
		this.configuration = current;
		this.route = found.get();
		current.workspace(this.head.key())
			.filter((w) -> (this.workspace != null) && w.name().equals(this.workspace.name()))
			.ifPresent((w) -> this.workspace = w);
		cancel(this.deadlineTask);
		setDeadline();
	}

	// The key may have been withdrawn while the request was waiting.
	private boolean isKeyStillValid() {
		this.configuration = this.server.configuration().current();
		Workspace now = this.configuration.workspace(this.head.key()).orElse(null);
		if (!this.server.isConfigurationFresh()) {
			refuseUnserved("configuration_stale", "the configuration was not confirmed lately");
			return false;
		}
		if ((now == null) || !now.name().equals(this.workspace.name())) {
			if (!this.server.absence().isCertain(this.configuration)) {
				refuseUnserved("configuration_unconfirmed", "the key was withdrawn, perhaps not for good");
				return false;
			}
			refuse(Refusal.notRun(401, "unknown_key", "the key was withdrawn").withVerdict(this.lastVerdict));
			return false;
		}
		return true;
	}

	/**
	 * Records that an attempt is being sent.
	 * @return the time left for it
	 */
	Duration recordAttempt() {
		this.sent = true;
		this.attempts++;
		return timeLeft();
	}

	/**
	 * Starts the time-out for the first part of a response, if another upstream may be
	 * tried instead.
	 * @param left the time left
	 * @param onTimeout runs when the time-out expires
	 */
	void startResponseTimeout(Duration left, Runnable onTimeout) {
		if (this.route.rule().isIdempotent()) {
			Duration responseTimeout = Duration.ofNanos((long) (left.toNanos() * RESPONSE_TIMEOUT_FRACTION));
			cancel(this.responseTimeoutTask);
			this.responseTimeoutTask = this.server.schedule(onTimeout,
					(responseTimeout.compareTo(MIN_RESPONSE_TIMEOUT) > 0) ? responseTimeout : MIN_RESPONSE_TIMEOUT);
		}
	}

	boolean hasAttemptsLeft() {
		return this.attempts < this.route.maxAttempts();
	}

	/**
	 * Sends the request to another upstream, or refuses it if that is not allowed.
	 * @param upstream the upstream that did not serve it
	 * @param verdict whether the upstream may have run it
	 * @param cause why it was not served
	 */
	void retryOrFail(Upstream upstream, Verdict verdict, String cause) {
		this.tried.add(upstream);
		this.attempt = null;
		updateHeld();
		this.lastVerdict = this.lastVerdict.combine(verdict);
		this.server.log()
			.log(Event.ATTEMPT_FAILED, "request", this.head.requestId(), "upstream", upstream.id(), "attempt",
					this.attempts, "verdict", verdict.wireName(), "cause", cause, "failures",
					upstream.isAvoided(this.server.now()) ? "avoided" : "counted");
		boolean retry = this.route.rule().allowsRetry(verdict) && hasAttemptsLeft()
				&& (this.connectionAttempts < MAX_CONNECTION_ATTEMPTS)
				&& ((this.stream == null) || this.stream.mayRetry());
		if (retry && (this.server.now() < this.deadline)) {
			send();
		}
		else if (this.lastVerdict == Verdict.NOT_RUN) {
			refuse(Refusal.unavailable("upstreams_busy", "none of " + this.connectionAttempts + " upstreams of pool \""
					+ this.pool + "\" took the request: " + cause, RETRY_AFTER));
		}
		else {
			refuse(Refusal.mayHaveRun(502, "upstream_failed", cause));
		}
	}

	/**
	 * Counts the memory that the call takes, and ends the call if it is too much for the
	 * entry.
	 */
	void updateHeld() {
		if (!this.ended) {
			long response = (this.attempt != null) ? this.attempt.heldBytes() : 0;
			long output = (this.stream != null) ? this.stream.outputBytes() : 0;
			this.held.set(this.body.length + this.chainBytes + response + output);
		}
	}

	// ---- Ends

	private void giveUp() {
		String detail = "the instance holds too many bytes for its calls, most of them for this one";
		refuse(this.sent ? Refusal.mayHaveRun(502, MEMORY, detail) : Refusal.unavailable(MEMORY, detail, RETRY_AFTER));
	}

	private void onDeadline() {
		if (this.ended) {
			return;
		}
		reportUnresponsive();
		if (this.sent) {
			refuse(Refusal.mayHaveRun(504, "upstream_slow", "no whole answer came in time"));
		}
		else {
			refuse(Refusal.unavailable("time_over", "the time of the request was over before it was sent",
					RETRY_AFTER));
		}
	}

	/**
	 * Ends the call with a response, because the entry stops. A stream that has begun is
	 * broken off.
	 */
	void endForStop() {
		String detail = "the instance stopped before the request ended";
		refuse(this.sent ? Refusal.mayHaveRun(502, STOPPING, detail) : stopping(detail));
	}

	/**
	 * Returns the refusal of a request that was not sent, because the entry stops.
	 * @param detail what prevents the request from being served
	 * @return the refusal
	 */
	static Refusal stopping(String detail) {
		return Refusal.unavailable(STOPPING, detail, RETRY_AFTER);
	}

	/**
	 * Ends the call because its caller closed the connection.
	 */
	void callerDisconnected() {
		if (!this.ended) {
			reportUnresponsive();
			end();
			settleCharge();
			this.server.log()
				.log(Event.RELAY_ABANDONED, "request", this.head.requestId(), "route", routeName(), "sent", this.sent,
						"afterMillis", elapsed().toMillis(), "events", events());
			this.server.record(workspaceName(), routeName(), "abandoned", elapsed());
		}
	}

	// Counts a long wait without a response as a failure, so that other calls avoid the
	// upstream.
	private void reportUnresponsive() {
		boolean unresponsive = (this.attempt != null) && !this.attempt.hasResponse()
				&& (elapsed().minus(waited()).compareTo(UNRESPONSIVE_AFTER) > 0);
		if (unresponsive) {
			this.attempt.upstream().failed(this.server.now(), "no response after " + elapsed().toMillis() + " ms");
			this.server.client().closeIdle(this.attempt.upstream(), true);
		}
	}

	// States that the request did not run only if no attempt may have run it.
	private void refuseUnserved(String code, String detail) {
		refuse((this.lastVerdict == Verdict.NOT_RUN) ? Refusal.unavailable(code, detail, RETRY_AFTER)
				: Refusal.mayHaveRun(502, code, detail));
	}

	void refuse(Refusal refusal) {
		if (this.ended) {
			return;
		}
		if (isStreamBegun()) {
			abortResponse(refusal.detail());
			return;
		}
		end();
		settleCharge();
		if (refusal.verdict() == Verdict.NOT_RUN) {
			refundRate();
		}
		Object[] fields = { "request", this.head.requestId(), "status", refusal.status(), "code", refusal.code(),
				"detail", refusal.detail(), "verdict", refusal.verdict().wireName(), "route", routeName(), "workspace",
				workspaceName(), "program", this.head.program(), "attempts", this.attempts, "afterMillis",
				elapsed().toMillis(), "configuration", this.server.configuration().version(), "configurationAgeMillis",
				this.server.configuration().age().toMillis() };
		this.server.log().log(Event.RELAY_REFUSED, withKeepers(fields, refusal.code(), this.server.keepers()));
		this.server.record(workspaceName(), routeName(), refusal.code(), elapsed());
		this.caller.respond(refusal, this.head.requestId());
	}

	/**
	 * Adds to the fields of a refusal which keepers are connected, if too few of them
	 * answered.
	 * @param fields alternating names and values
	 * @param code the code of the refusal
	 * @param keepers the client for the keepers
	 * @return the fields of the record
	 */
	static Object[] withKeepers(Object[] fields, String code, KeeperClient keepers) {
		if (!KEEPER_CODES.contains(code)) {
			return fields;
		}
		return Stream.of(fields, keepers.connectionFields()).flatMap(Arrays::stream).toArray();
	}

	/**
	 * Closes the caller's connection in the middle of a response.
	 * @param cause why
	 */
	void abortResponse(String cause) {
		end();
		settleCharge();
		this.server.log()
			.log(Event.RELAY_BROKEN, "request", this.head.requestId(), "route", routeName(), "workspace",
					workspaceName(), "cause", cause, "events", events(), "afterMillis", elapsed().toMillis(),
					"confirmationMillis", confirmationWait().toMillis());
		this.server.record(workspaceName(), routeName(), "broken", elapsed());
		this.caller.abort();
	}

	/**
	 * Forwards a response that is not streamed.
	 * @param upstream the upstream
	 * @param responseHead the head of the response
	 * @param content the body, which is released
	 */
	void forwardResponse(Upstream upstream, ResponseHead responseHead, ByteBuf content) {
		settleCharge();
		served(responseHead.status(), upstream);
		this.caller.respond(responseHead.status(), responseHead.headers(), content);
	}

	/**
	 * Starts to forward a stream.
	 * @param responseHead the head of the response
	 */
	void beginStream(ResponseHead responseHead) {
		this.stream.begin();
		this.caller.beginStream(responseHead.status(), responseHead.headers());
	}

	/**
	 * Forwards complete events.
	 * @param part the events, which are released
	 */
	void writeEvents(ByteBuf part) {
		this.caller.writeChunk(part);
	}

	boolean isCallerWritable() {
		return this.caller.isWritable();
	}

	/**
	 * Suspends or resumes reading from the upstream, so that a stream is read no faster
	 * than its caller takes it.
	 */
	void adjustReading() {
		if (this.attempt != null) {
			this.attempt.adjustReading();
		}
	}

	/**
	 * Ends a stream, once its turn is durable.
	 * @param upstream the upstream
	 * @param status the status of the response
	 */
	void endStream(Upstream upstream, int status) {
		if (!this.route.storesTurns()) {
			settleCharge();
			served(status, upstream);
			this.caller.endStream();
			return;
		}
		this.streamEndedAt = this.server.now();
		this.server.keepers().settle(programAttempt(), tokens(), isBudgeted(), turn(upstream), (kept) -> {
			if (this.ended) {
				this.server.recordConfirmation("ended", confirmationWait());
				return;
			}
			this.server.recordConfirmation(kept ? "kept" : "unconfirmed", confirmationWait());
			if (kept) {
				served(status, upstream);
				this.caller.endStream();
			}
			else {
				abortResponse("the turn was not confirmed by enough keepers");
			}
		});
	}

	private void served(int status, Upstream upstream) {
		end();
		if (CallLog.isSampled(this.head.requestId()) || (status >= 400)) {
			this.server.log()
				.log(Event.RELAY_SERVED, "request", this.head.requestId(), "status", status, "route", routeName(),
						"workspace", workspaceName(), "program", this.head.program(), "upstream", upstream.id(),
						"attempts", this.attempts, "afterMillis", elapsed().toMillis(), "events", events(),
						"configuration", this.configuration.version());
		}
		this.server.record(workspaceName(), routeName(), (status < 400) ? "ok" : "upstream_" + status, elapsed());
	}

	private void end() {
		this.ended = true;
		this.held.close();
		cancel(this.deadlineTask);
		cancel(this.responseTimeoutTask);
		if (this.heldCall != null) {
			this.heldCall.cancel();
		}
		if (this.engineTurn != null) {
			this.engineTurn.cancel();
		}
		if (this.attempt != null) {
			this.attempt.abort();
		}
	}

	// Replaces the reservation by the tokens that the caller may have received.
	private void settleCharge() {
		if (this.reservationRequested) {
			this.server.keepers().settle(programAttempt(), tokens(), true, null, (done) -> {
			});
		}
	}

	private int events() {
		return (this.stream != null) ? this.stream.events() : 0;
	}

	private int tokens() {
		return (int) Math.min(Integer.MAX_VALUE, (long) events() * this.tokensPerEvent);
	}

	private static void cancel(Future<?> task) {
		if (task != null) {
			task.cancel(false);
		}
	}

	private Duration elapsed() {
		return Duration.ofNanos(this.server.now() - this.arrivedAt);
	}

	// How long the call waited for room, when no upstream could respond.
	private Duration waited() {
		return (this.engineTurn != null) ? this.engineTurn.waited() : Duration.ZERO;
	}

	private Duration confirmationWait() {
		return (this.streamEndedAt != 0) ? Duration.ofNanos(this.server.now() - this.streamEndedAt) : Duration.ZERO;
	}

	private String routeName() {
		return (this.route != null) ? this.route.name() : "none";
	}

	// ---- Turns

	byte[] fullBody() {
		if (this.chain.isEmpty()) {
			return this.body;
		}
		ByteArrayOutputStream full = new ByteArrayOutputStream();
		for (int i = this.chain.size() - 1; i >= 0; i--) {
			full.writeBytes(this.chain.get(i).getInput().toByteArray());
			full.writeBytes(this.chain.get(i).getOutput().toByteArray());
		}
		full.writeBytes(this.body);
		return full.toByteArray();
	}

	private ChainedTurn turn(Upstream upstream) {
		Turn.Builder turn = Turn.newBuilder()
			.setId(this.head.requestId())
			.setWorkspace(workspaceName())
			.setInput(ByteString.copyFrom(this.body))
			.setOutput(ByteString.copyFrom(this.stream.output()))
			.setRetentionMs(this.route.retention().toMillis());
		if (this.head.previousTurn() != null) {
			turn.setPrevious(this.head.previousTurn());
		}
		if (this.engineTurn != null) {
			this.engineTurn.describe(turn, upstream);
		}
		return new ChainedTurn(turn.build(), this.chain);
	}

	/**
	 * Receives the chain of turns that this turn continues.
	 */
	private final class ChainHandler implements ChainListener {

		@Override
		public void found(List<Turn> turns) {
			if (!turns.get(0).getWorkspace().equals(workspaceName())) {
				refuseAsAbsent();
				return;
			}
			RelayCall.this.chain = turns;
			RelayCall.this.chainBytes = turns.stream().mapToLong(Turn::getSerializedSize).sum();
			updateHeld();
			EngineTurn turn = RelayCall.this.engineTurn;
			if (turn != null) {
				turn.setPrevious(turns.get(0), RelayCall.this.chainBytes, RelayCall.this.body.length);
				Optional<Refusal> tooLarge = turn.sizeRefusal(RelayCall.this.chainBytes + RelayCall.this.body.length);
				if (tooLarge.isPresent()) {
					refuse(tooLarge.get());
					return;
				}
			}
			RelayCall.this.chainReady = true;
			sendIfReady();
		}

		@Override
		public void absent(Set<String> disks, GroupView view) {
			RelayCall call = RelayCall.this;
			call.server.log()
				.log(Event.TURN_ABSENT, "request", call.head.requestId(), "turn", call.head.previousTurn(), "disks",
						disks, "members", view.members().size(), "epoch", view.epoch());
			refuseAsAbsent();
		}

		private void refuseAsAbsent() {
			refuse(Refusal.notRun(404, "no_turn",
					"there is no turn \"" + RelayCall.this.head.previousTurn() + "\" to continue"));
		}

		@Override
		public void undetermined(String cause) {
			refuse(Refusal.unavailable("turn_uncertain", cause, RETRY_AFTER));
		}

	}

	/**
	 * Receives the result of this turn's reservation.
	 */
	private final class ReservationHandler implements ReservationListener {

		@Override
		public void granted() {
			RelayCall.this.reserved = true;
			sendIfReady();
		}

		@Override
		public void durable() {
			RelayCall.this.reservationDurable = true;
			if (RelayCall.this.attempt != null) {
				RelayCall.this.attempt.flushBuffered();
			}
		}

		@Override
		public void budgetExceeded(long used) {
			refuse(Refusal.notRun(402, "budget_spent",
					"the program used or reserved " + used + " of " + RelayCall.this.head.budget()
							+ " tokens, which does not leave " + RelayCall.this.head.maxTokens()));
		}

		@Override
		public void unavailable(String cause) {
			if (RelayCall.this.sent) {
				refuse(Refusal.mayHaveRun(502, "reservation_lost", cause));
			}
			else {
				refuse(Refusal.unavailable("keepers_away", cause, RETRY_AFTER));
			}
		}

	}

}
