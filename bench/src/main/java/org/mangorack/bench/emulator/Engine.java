package org.mangorack.bench.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.mangorack.bench.emulator.load.LoadShape.EngineShape;
import org.mangorack.bench.emulator.load.PlannedCall;
import org.mangorack.bench.emulator.load.PromptPart;
import org.mangorack.call.UpstreamId;

/**
 * A model engine with continuous batching and chunked prefill. The duration of a step
 * grows with the number of running requests and of prompt tokens processed. Each step
 * processes chunks of prompts and generates one token for each request whose prompt is
 * complete. Memory holds prompts, generated tokens and cached parts of earlier prompts.
 * When memory runs out, the newest request is preempted: it returns to the queue, and its
 * prompt is processed again.
 */
final class Engine extends EmulatedUpstream {

	private final EngineShape shape;

	private final PromptReads reads;

	private final PromptCache cache = new PromptCache();

	// In the order in which they were started.
	private final List<Running> running = new ArrayList<>();

	// Memory of running requests that is not part of the prompt cache.
	private int uncachedTokens;

	private int peakTokens;

	private boolean inStep;

	/**
	 * Creates an engine.
	 * @param clock the virtual clock
	 * @param id the identifier of the engine
	 * @param dataCentre the data centre of the engine
	 * @param shape the capacity and speed
	 * @param reads the counters of processed prompt tokens
	 * @param failures the source of randomness for call failures
	 */
	Engine(VirtualClock clock, UpstreamId id, String dataCentre, EngineShape shape, PromptReads reads,
			RandomGenerator failures) {
		super(clock, id, dataCentre, shape.slots(), shape.queue(), failures);
		this.shape = shape;
		this.reads = reads;
	}

	/**
	 * Returns the peak memory usage.
	 * @return the number of tokens
	 */
	int peakTokens() {
		return this.peakTokens;
	}

	// ---- Requests

	@Override
	boolean canHold(PlannedCall call) {
		return call.promptTokens() + call.outputTokens() <= this.shape.memoryTokens();
	}

	@Override
	boolean hasFreeSlot(int ahead) {
		return this.running.size() + ahead < slots();
	}

	@Override
	boolean begin(Waiting entry) {
		List<PromptPart> prompt = entry.call().prompt();
		int held = this.cache.held(prompt);
		List<PromptPart> found = prompt.subList(0, held);
		int unread = prompt.subList(held, prompt.size()).stream().mapToInt(PromptPart::tokens).sum();
		this.cache.use(found);
		int nextTokens = this.running.size() + 1;
		if (!ensureFreeTokens(unread + entry.generated() + nextTokens)) {
			this.cache.release(found);
			return false;
		}
		allocate(unread + entry.generated());
		this.running.add(new Running(entry, found, unread));
		if (!this.inStep) {
			step();
		}
		return true;
	}

	@Override
	boolean abandon(Waiting entry) {
		for (Running r : this.running) {
			if ((r.entry == entry) && (r.generated == 0)) {
				this.running.remove(r);
				free(r);
				return true;
			}
		}
		return false;
	}

	@Override
	long firstEventNanos(PlannedCall call) {
		List<PromptPart> prompt = call.prompt();
		int unread = prompt.subList(this.cache.held(prompt), prompt.size()).stream().mapToInt(PromptPart::tokens).sum();
		return this.shape.idleNanos(unread, 1);
	}

	// ---- Steps

	private void step() {
		int chunk = 0;
		for (Running r : this.running) {
			r.inStep = true;
			r.chunk = Math.min(r.unread, this.shape.chunkTokens() - chunk);
			chunk += r.chunk;
		}
		this.inStep = true;
		clock().after(slowed(this.shape.stepNanos(this.running.size(), chunk)), this::finishStep);
	}

	private void finishStep() {
		for (Running r : this.running) {
			if (r.inStep && (r.unread > 0)) {
				read(r);
			}
		}
		preempt();
		List<Running> generating = this.running.stream().filter(Running::generates).toList();
		allocate(generating.size());
		for (Running r : generating) {
			r.generated++;
			if (r.generated == r.entry.call().outputTokens()) {
				this.running.remove(r);
				free(r);
			}
		}
		for (Running r : generating) {
			if (r.generated == 1) {
				r.entry.listener().firstEvent();
			}
			if (r.generated == r.entry.call().outputTokens()) {
				r.entry.listener().ended(CallOutcome.ANSWERED);
			}
		}
		admit();
		this.inStep = false;
		if (!this.running.isEmpty()) {
			step();
		}
	}

	private void read(Running request) {
		request.unread -= request.chunk;
		this.reads.read(request.chunk);
		if (request.unread == 0) {
			List<PromptPart> prompt = request.entry.call().prompt();
			List<PromptPart> fresh = prompt.subList(request.used.size(), prompt.size());
			this.uncachedTokens -= fresh.stream().mapToInt(PromptPart::tokens).sum();
			this.cache.use(fresh);
			this.reads.finished(fresh);
			request.used = prompt;
		}
	}

	// ---- Memory

	private int freeTokens() {
		return this.shape.memoryTokens() - this.uncachedTokens - this.cache.tokens();
	}

	private boolean ensureFreeTokens(int tokens) {
		int missing = tokens - freeTokens();
		if (missing > this.cache.unusedTokens()) {
			return false;
		}
		if (missing > 0) {
			this.cache.evict(missing);
		}
		return true;
	}

	private void allocate(int tokens) {
		this.uncachedTokens += tokens;
		this.peakTokens = Math.max(this.peakTokens, this.uncachedTokens + this.cache.tokens());
	}

	// Frees memory for the next token of each request whose prompt is complete.
	private void preempt() {
		while (!ensureFreeTokens((int) this.running.stream().filter(Running::generates).count())) {
			Running newest = this.running.remove(this.running.size() - 1);
			free(newest);
			this.reads.preempted();
			requeue((newest.generated != 0) ? newest.entry.resumed(newest.generated) : newest.entry);
		}
	}

	private void free(Running request) {
		List<PromptPart> prompt = request.entry.call().prompt();
		this.uncachedTokens -= request.generated
				+ prompt.subList(request.used.size(), prompt.size()).stream().mapToInt(PromptPart::tokens).sum();
		this.cache.release(request.used);
	}

	/**
	 * A running request.
	 */
	private static final class Running {

		private final Waiting entry;

		private List<PromptPart> used;

		private int unread;

		private int generated;

		private int chunk;

		private boolean inStep;

		private Running(Waiting entry, List<PromptPart> used, int unread) {
			this.entry = entry;
			this.used = used;
			this.generated = entry.generated();
			this.unread = unread + entry.generated();
		}

		// A request that was started during a step takes part from the next step on.
		private boolean generates() {
			return this.inStep && (this.unread == 0);
		}

	}

}
