package org.mangorack.relay;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import org.mangorack.call.Prompt;
import org.mangorack.call.Refusal;
import org.mangorack.dispatch.KeptPrompt;
import org.mangorack.dispatch.QueuedTurn;
import org.mangorack.keeper.proto.Turn;
import org.mangorack.relay.FleetConfiguration.Pool;
import org.mangorack.relay.UpstreamTable.Placed;

/**
 * What a call decides in addition if it is a turn for a pool of large models: whether its
 * program begins, whether it waits for room, and which engine keeps its prompt. Not
 * thread-safe: used only on the traffic event loop.
 */
final class EngineTurn implements QueuedTurn {

	/**
	 * The suggested delay before a retry of a request that no engine can hold. No retry
	 * helps until the operators add larger engines.
	 */
	static final Duration RETRY_AFTER_TOO_LARGE = Duration.ofSeconds(1);

	private final RelayServer server;

	private final RelayCall call;

	private final Pool pool;

	// The engine that keeps the beginning of the prompt, if known.
	private KeptPrompt kept;

	private boolean waiting;

	private long waitingSince;

	private Duration waited = Duration.ZERO;

	EngineTurn(RelayServer server, RelayCall call, Pool pool) {
		this.server = server;
		this.call = call;
		this.pool = pool;
	}

	// ---- Admission

	/**
	 * Decides whether the turn is refused before anything is done for it: because no
	 * engine can hold its prompt, or because its program must not begin while the pool is
	 * nearly full.
	 * @param bodyBytes the size of its new input
	 * @return the refusal, or empty if the turn is admitted
	 */
	Optional<Refusal> refusal(long bodyBytes) {
		Optional<Refusal> tooLarge = sizeRefusal(bodyBytes);
		if (tooLarge.isPresent() || isBegun()) {
			return tooLarge;
		}
		boolean admitted = this.server.admission().admits(priority(), fill());
		this.server.recordAdmission(priority(), admitted);
		return admitted ? Optional.empty() : Optional.of(poolBusy());
	}

	/**
	 * Refuses a prompt that no engine can hold. A caller may claim more tokens than its
	 * input can have; such a claim is no reason to refuse it.
	 * @param inputBytes the size of the whole input, as far as it is known
	 * @return the refusal, or empty if the prompt fits or the claim cannot be true
	 */
	Optional<Refusal> sizeRefusal(long inputBytes) {
		long tokens = prompt().tokens();
		if ((tokens <= this.pool.memory().tokens()) || (tokens > inputBytes)) {
			return Optional.empty();
		}
		return Optional
			.of(Refusal.unavailable("request_too_large", "the prompt has " + tokens + " tokens, the engines of pool \""
					+ this.pool.name() + "\" hold " + this.pool.memory().tokens(), RETRY_AFTER_TOO_LARGE));
	}

	private Refusal poolBusy() {
		double turnMillis = this.server.upstreams().engineTimes(this.pool.name()).generationMillis();
		return Refusal.unavailable("pool_busy",
				String.format(Locale.ROOT, "pool \"%s\" has %.2f requests for each slot", this.pool.name(), fill()),
				this.server.admission().retryAfter(fill(), turnMillis));
	}

	private double fill() {
		return this.server.upstreams().fill(this.pool.name());
	}

	// ---- Waiting for room

	/**
	 * Lets the turn wait if all engines are full and it did not wait before.
	 * @return {@code false} if it is to be sent now
	 */
	boolean awaitRoom() {
		if (!this.waiting && this.waited.isZero()
				&& this.server.turns().offer(this.pool.name(), this, this.call.timeLeft())) {
			this.waiting = true;
			this.waitingSince = this.server.now();
		}
		return this.waiting;
	}

	/**
	 * Cancels the wait, because the call has ended.
	 */
	void cancel() {
		if (this.waiting) {
			this.waiting = false;
			this.server.turns().remove(this.pool.name(), this);
		}
	}

	/**
	 * Ends the wait with an attempt.
	 */
	void waitEnded() {
		if (this.waiting && !this.call.isEnded()) {
			endWait();
			this.call.send();
		}
	}

	private void endWait() {
		this.waiting = false;
		this.waited = Duration.ofNanos(Math.max(1, this.server.now() - this.waitingSince));
		this.server.recordWait(priority(), this.waited);
	}

	/**
	 * Returns how long the turn waited for room.
	 * @return the time of its wait, once that has ended
	 */
	Duration waited() {
		return this.waited;
	}

	/**
	 * Ends the longest wait. A program that has begun is worth the wait at an engine; one
	 * that has not is refused while its caller can still use the refusal.
	 */
	void waitExpired() {
		if (isBegun()) {
			waitEnded();
		}
		else if (this.waiting && !this.call.isEnded()) {
			endWait();
			this.call.refuse(poolBusy());
		}
	}

	/**
	 * Judges the waiting turn by the newest configuration.
	 */
	void reconsider() {
		this.call.reconsider();
	}

	@Override
	public int priority() {
		return this.call.priority();
	}

	// A route that stores no turns does not show which turn of a program a request is.
	@Override
	public boolean isBegun() {
		CallHead head = this.call.head();
		boolean subAgent = (head.session() != null) && (head.program() != null)
				&& !head.session().equals(head.program());
		return !this.call.isBeginning() || subAgent;
	}

	@Override
	public String workspace() {
		return this.call.workspaceName();
	}

	@Override
	public long dueAt() {
		return this.call.dueAt();
	}

	@Override
	public long workTokens() {
		return prompt().tokens() + this.call.head().maxTokens();
	}

	// ---- Placement

	/**
	 * Selects the engine for an attempt.
	 * @param excluded the engines that must not be selected
	 * @return the engine, or empty if none is available
	 */
	Optional<Placed> choose(Set<Upstream> excluded) {
		Optional<Placed> placed = this.server.upstreams()
			.chooseByPrompt(this.pool.name(), excluded, prompt(), this.kept, !this.call.route().storesTurns());
		placed.ifPresent((p) -> this.server.recordPlacement(p.reuse().label()));
		return placed;
	}

	/**
	 * Learns the engine that keeps the prompt from the previous turn. The sub-agents of a
	 * turn start at the same time and would overload its engine, so each of them starts
	 * anywhere.
	 * @param previous the previous turn
	 * @param chainBytes the size of the chain that ends with it
	 * @param bodyBytes the size of the new input
	 */
	void setPrevious(Turn previous, long chainBytes, long bodyBytes) {
		if (!previous.getUpstream().isEmpty() && previous.getSession().equals(this.call.head().session())) {
			double share = chainBytes / (double) Math.max(1, chainBytes + bodyBytes);
			this.kept = new KeptPrompt(previous.getUpstream(), (long) (prompt().tokens() * share));
		}
	}

	/**
	 * Records in the turn which engine keeps its prompt.
	 * @param turn the turn that is stored
	 * @param upstream the engine that served it
	 */
	void describe(Turn.Builder turn, Upstream upstream) {
		if (this.call.head().session() != null) {
			turn.setUpstream(upstream.id()).setSession(this.call.head().session());
		}
	}

	private Prompt prompt() {
		return this.call.head().prompt();
	}

}
