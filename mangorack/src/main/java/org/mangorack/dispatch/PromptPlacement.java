package org.mangorack.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.mangorack.call.Prompt;

/**
 * Selects the engine for a turn where reading a prompt takes long: the one with the
 * earliest expected finish among the engine that keeps the beginning of the prompt and a
 * small random sample of the others.
 * <p>
 * Answers the load of conversations on large models. If each turn goes to any engine,
 * most of the prompt is read again for each turn, and the engines read at the expense of
 * all streams that they generate. A conversation therefore stays with its engine until
 * another one is expected to finish sooner although it has to read the whole prompt. The
 * sample is random because all entries learn of the load at the same time, a few times a
 * second, and would all choose the same engine.
 *
 * @param <T> the type of the upstreams
 */
public final class PromptPlacement<T extends PlacementCandidate> {

	/**
	 * The number of engines besides the one that keeps the prompt.
	 */
	static final int SAMPLE_SIZE = 3;

	/**
	 * How much longer a fully loaded engine takes than an idle one, as a fraction: it
	 * reads the prompts of other turns between the steps of a stream.
	 */
	static final double SLOWDOWN_AT_FULL_LOAD = 0.5;

	/**
	 * The cost of a turn in another data centre, as a fraction of its time: the round
	 * trip and the price of the traffic.
	 */
	static final double CROSS_DATA_CENTRE_COST = 0.03;

	/**
	 * The exponent by which the share of an engine in new sessions falls with its latency
	 * ratio. An engine that takes twice as long gets an eighth.
	 */
	static final double LATENCY_WEIGHT_EXPONENT = 3;

	private static final double LATENCY_STEP = 1.4;

	/**
	 * The part of a prompt that the engine of the session is expected to keep, if it is
	 * known from the hash of the session only: the last turn and its output are new.
	 */
	static final double HOME_KEPT_FRACTION = 0.75;

	private final RandomGenerator random;

	private final String dataCentre;

	private final UpstreamSubset subset;

	/**
	 * Creates the placement of an entry.
	 * @param random the source of randomness
	 * @param dataCentre the data centre of the entry
	 * @param subset the engines from which the sample is drawn
	 */
	public PromptPlacement(RandomGenerator random, String dataCentre, UpstreamSubset subset) {
		this.random = random;
		this.dataCentre = dataCentre;
		this.subset = subset;
	}

	/**
	 * Selects the engine for a turn.
	 * @param candidates the available engines
	 * @param prompt the prompt of the turn
	 * @param kept the engine that probably keeps the beginning of the prompt, or
	 * {@code null}
	 * @param times the usual times of the pool
	 * @param now the time on the monotonic clock
	 * @return the selected engine, or {@code null} if there are no candidates
	 */
	public T choose(List<T> candidates, Prompt prompt, KeptPrompt kept, EngineTimes times, long now) {
		List<T> remaining = new ArrayList<>(candidates);
		remaining.removeIf((u) -> u.isAvoided(now));
		if (remaining.isEmpty()) {
			remaining.addAll(candidates);
		}
		long unread = prompt.tokens() - prompt.sharedTokens();
		T best = null;
		double lowest = Double.POSITIVE_INFINITY;
		if (kept != null) {
			for (T u : remaining) {
				if (u.id().equals(kept.upstream())) {
					best = u;
					lowest = expectedMillis(u, loadOfOthers(u), prompt.tokens() - kept.tokens(), times);
				}
			}
			remaining.remove(best);
		}
		List<T> others = new ArrayList<>(this.subset.select(remaining, now));
		for (int i = 0; (i < SAMPLE_SIZE) && !others.isEmpty(); i++) {
			T next = others.remove(this.random.nextInt(others.size()));
			double expected = expectedMillis(next, next.load(), unread, times);
			if (expected < lowest) {
				best = next;
				lowest = expected;
			}
		}
		return best;
	}

	/**
	 * Returns the engine that a session starts at if nobody knows where it was served
	 * before, by weighted rendezvous hashing: nearly the same on all entries, as they
	 * share the latency ratios.
	 * @param <U> the type of the upstreams
	 * @param candidates the available engines
	 * @param prompt the prompt of a turn of the session
	 * @param now the time on the monotonic clock
	 * @return the engine, with the part of the prompt that it probably keeps, or
	 * {@code null} if there are no candidates
	 */
	public static <U extends PlacementCandidate> KeptPrompt home(List<U> candidates, Prompt prompt, long now) {
		U home = null;
		double highest = Double.NEGATIVE_INFINITY;
		for (U u : candidates) {
			if (u.isAvoided(now)) {
				continue;
			}
			// Steps keep small changes of the ratio from moving sessions.
			long step = Math.round(Math.log(u.latencyRatio()) / Math.log(LATENCY_STEP));
			double weight = Math.pow(LATENCY_STEP, -LATENCY_WEIGHT_EXPONENT * step);
			double score = RendezvousHash.score(prompt.sessionPart(), u.id(), weight);
			if (score > highest) {
				highest = score;
				home = u;
			}
		}
		return (home != null) ? new KeptPrompt(home.id(), (long) (prompt.tokens() * HOME_KEPT_FRACTION)) : null;
	}

	// The news of the load is so old that it mostly contains the previous turn of the
	// same
	// session, which has ended.
	private double loadOfOthers(T engine) {
		return Math.max(0, engine.load() - (1.0 / engine.slots()));
	}

	// The wait for a slot, the reading of what is not kept, and the generation. Reading
	// delays each running stream as much as the turn itself.
	private double expectedMillis(T engine, double load, long unread, EngineTimes times) {
		double slowdown = 1 + (SLOWDOWN_AT_FULL_LOAD * Math.min(1, load * load));
		double running = Math.min(1, load) * engine.slots();
		double work = (times.readMillis(unread) * (1 + running)) + (times.generationMillis() * slowdown);
		double wait = Math.max(0, load - 1) * times.generationMillis() * slowdown;
		double distance = engine.dataCentre().equals(this.dataCentre) ? 0
				: (CROSS_DATA_CENTRE_COST * times.generationMillis());
		return (engine.latencyRatio() * (work + wait)) + distance;
	}

}
